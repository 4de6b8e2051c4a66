//! Capacity for new requests of a target that has turned cold.

use std::time::{Duration, Instant};

use tarragon_cluster::{digest::LoadTable, prelude::*};
use tarragon_protocol::{peer::LoadEntry, platform::PublishedTarget};

struct ReportStep {
    /// Seconds since the start.
    second: u64,
    state: TargetState,
    restart: u64,
    bears: u32,
    occupied: u32,
    /// Capacity for new requests after the report.
    expected: u32,
}

struct ColdCase {
    failure: &'static str,
    steps: Vec<ReportStep>,
}

fn report_step(
    second: u64,
    state: TargetState,
    restart: u64,
    bears: u32,
    occupied: u32,
    expected: u32,
) -> ReportStep {
    ReportStep { second, state, restart, bears, occupied, expected }
}

use TargetState::{Cold, Warm};

/// Guards against new requests at a cold target on top of those that it still runs from its warm time:
/// their senders no longer have slots, so the slots alone do not count them.
#[test]
fn requests_from_the_warm_time_count_against_a_cold_target() {
    let cases = [
        ColdCase {
            failure: "an old request runs on while two VMs use their slots",
            steps: vec![
                report_step(1, Warm, 1, 16, 1, 16),
                report_step(2, Cold, 1, 2, 1, 0),
                report_step(5, Cold, 1, 2, 1, 1),
                report_step(6, Cold, 1, 2, 0, 2),
            ],
        },
        ColdCase {
            failure: "requests in transit when the VMs learn of the cold target are not in the first reports",
            steps: vec![
                report_step(1, Warm, 1, 16, 0, 16),
                report_step(2, Cold, 1, 2, 0, 0),
                report_step(3, Cold, 1, 2, 0, 0),
                report_step(5, Cold, 1, 2, 3, 0),
                report_step(6, Cold, 1, 2, 1, 1),
            ],
        },
        ColdCase {
            failure: "VMs that had nothing there learn of a restart late",
            steps: vec![
                report_step(1, Warm, 1, 16, 4, 16),
                report_step(2, Cold, 2, 2, 0, 0),
                report_step(5, Cold, 2, 2, 0, 2),
            ],
        },
        ColdCase {
            failure: "a target that was never warm has no old requests",
            steps: vec![report_step(1, Cold, 1, 2, 0, 2), report_step(4, Cold, 1, 2, 1, 2)],
        },
        ColdCase {
            failure: "a warm target is bounded by its report alone",
            steps: vec![
                report_step(1, Cold, 1, 2, 2, 0),
                report_step(5, Warm, 1, 16, 2, 2),
                report_step(6, Warm, 1, 16, 2, 16),
            ],
        },
    ];
    let start = current_time();
    for case in cases {
        let mut table = LoadTable::default();
        let name: TargetName = "engine-1".into();
        table.set_targets(&[target(&name)], start);
        for (index, report) in case.steps.iter().enumerate() {
            let now = start + Duration::from_secs(report.second);
            table.apply(&entry(&name, report), now);
            let left = table.capacity(&name, now).capacity;
            assert_eq!(left, report.expected, "{}, step {index}", case.failure);
        }
    }
}

fn current_time() -> Instant {
    tokio::time::Instant::now().into_std()
}

fn target(name: &TargetName) -> PublishedTarget {
    PublishedTarget {
        target: name.clone(),
        service: "model-pool".into(),
        address: "127.0.0.1:9000".to_owned(),
        hardware: None,
        checks_fencing: false,
    }
}

fn entry(name: &TargetName, report: &ReportStep) -> LoadEntry {
    let ReportStep { state, restart, bears, occupied, .. } = *report;
    LoadEntry {
        target: name.clone(),
        restart_id: restart,
        state,
        capacity: bears,
        occupied,
        age_ms: 0,
    }
}

//! Builds of the recent past, from changes of registrations.

use std::time::Duration;

use tarragon_fleet::{
    build::history::{
        BuildHistory, HistoryClock, RegistrationChange, RegistrationContent, RegistrationLog,
    },
    prelude::*,
};

const HEARTBEAT: Duration = Duration::from_millis(1_000);
/// Time of day of the reading process, in milliseconds.
const NOW: u64 = 1_000_000;

/// A registration in the service `pool`, written at a revision.
fn target(instance: &str, build: &str, born: u64, sequence: u64, revision: u64) -> ListedTarget {
    ListedTarget {
        instance: instance.into(),
        service: "pool".into(),
        address: "10.0.0.1:80".into(),
        data_centre: "north".into(),
        build: build.into(),
        slots: 4,
        leaving: false,
        cold_left: Duration::ZERO,
        started_ms: born,
        revision,
        sequence,
    }
}

fn change(instance: &str, revision: u64, content: RegistrationContent) -> RegistrationChange {
    RegistrationChange { instance: instance.into(), revision, content }
}

fn written(target: ListedTarget, created: bool) -> RegistrationChange {
    let (instance, revision) = (target.instance.clone(), target.revision);
    let content = RegistrationContent::Written { target: Box::new(target), created };
    change(&instance, revision, content)
}

fn deleted(instance: &str, revision: u64) -> RegistrationChange {
    change(instance, revision, RegistrationContent::Deleted)
}

fn unreadable(instance: &str, revision: u64, created: bool) -> RegistrationChange {
    change(instance, revision, RegistrationContent::Unreadable { created })
}

struct HistoryCase {
    name: &'static str,
    listing: Vec<ListedTarget>,
    changes: Vec<RegistrationChange>,
    builds: &'static [&'static str],
    /// Revision from which on the history counts. The log begins after revision 10.
    complete_after: Option<u64>,
    /// In milliseconds.
    span: u64,
}

fn cases() -> Vec<HistoryCase> {
    let listed = |revision| vec![target("a", "v1", NOW - 60_000, 1, revision)];
    let late = || target("b", "v2", NOW - 20_000, 1, 12);
    vec![
        HistoryCase {
            name: "no change since the last write of a listed target",
            listing: listed(10),
            changes: vec![],
            builds: &["v1"],
            complete_after: None,
            // Written 1.25 s after its start at the latest; the clocks may differ by 5 s.
            span: 60_000 - 1_250 - 5_000,
        },
        HistoryCase {
            name: "the last change is older than all entries and of an unknown time",
            listing: listed(8),
            changes: vec![],
            builds: &["v1"],
            complete_after: None,
            span: 0,
        },
        HistoryCase {
            name: "a build that has come and gone",
            listing: listed(8),
            changes: vec![written(late(), true), deleted("b", 13)],
            builds: &["v1", "v2"],
            complete_after: None,
            span: 20_000 - 1_250 - 5_000,
        },
        HistoryCase {
            name: "a target of an unknown build has gone",
            listing: listed(8),
            changes: vec![written(late(), true), deleted("c", 13)],
            builds: &["v1", "v2"],
            complete_after: Some(13),
            span: 0,
        },
        HistoryCase {
            name: "a build that was gone before the history counts",
            listing: vec![target("d", "v3", NOW - 9_000, 1, 15)],
            changes: vec![
                written(late(), true),
                deleted("b", 13),
                deleted("c", 14),
                written(target("d", "v3", NOW - 9_000, 1, 15), true),
            ],
            builds: &["v3"],
            complete_after: Some(14),
            span: 9_000 - 1_250 - 5_000,
        },
        HistoryCase {
            name: "a target wrote that it leaves, and has gone",
            listing: listed(8),
            changes: vec![
                written(target("e", "v2", NOW - 90_000, 70, 12), false),
                deleted("e", 13),
            ],
            builds: &["v1", "v2"],
            complete_after: None,
            span: 0,
        },
        HistoryCase {
            name: "an instance has started again under its name",
            listing: vec![target("a", "v2", NOW - 3_000, 2, 13)],
            changes: vec![
                written(target("a", "v2", NOW - 3_000, 1, 12), false),
                written(target("a", "v2", NOW - 3_000, 2, 13), false),
            ],
            builds: &["v2"],
            complete_after: Some(12),
            span: 0,
        },
        HistoryCase {
            name: "another writer has replaced an entry",
            listing: listed(8),
            changes: vec![unreadable("f", 12, false)],
            builds: &["v1"],
            complete_after: Some(12),
            span: 0,
        },
        HistoryCase {
            name: "another writer has created and deleted an entry",
            listing: listed(10),
            changes: vec![unreadable("f", 12, true), deleted("f", 13)],
            builds: &["v1"],
            complete_after: None,
            span: 60_000 - 1_250 - 5_000,
        },
        HistoryCase {
            name: "start times are not reported: only sequence numbers tell the time",
            listing: vec![target("a", "v1", 0, 22, 13)],
            changes: vec![
                written(target("a", "v1", 0, 11, 12), false),
                written(target("a", "v1", 0, 22, 13), false),
            ],
            builds: &["v1"],
            complete_after: None,
            // Ten heartbeats that are 0.8 s apart at least.
            span: 8_000,
        },
        HistoryCase {
            name: "sequence numbers of two starts don't tell a time",
            listing: vec![target("a", "v1", 7, 40, 14)],
            changes: vec![
                written(target("a", "v1", 5, 2, 12), false),
                written(target("a", "v1", 7, 40, 14), false),
            ],
            builds: &["v1"],
            complete_after: None,
            span: NOW - 5 - 2_500 - 5_000,
        },
        HistoryCase {
            name: "a start time that contradicts earlier changes",
            listing: listed(8),
            changes: vec![written(late(), true), written(target("g", "v2", 1, 1, 13), true)],
            builds: &["v1", "v2"],
            complete_after: None,
            span: 20_000 - 1_250 - 5_000,
        },
        HistoryCase {
            name: "numbers that overflow when they are multiplied or added",
            listing: listed(8),
            changes: vec![written(target("g", "v2", u64::MAX, u64::MAX, 13), true)],
            builds: &["v1", "v2"],
            complete_after: None,
            span: 0,
        },
    ]
}

/// Guards against a build that served recently and is missing, and against a span that is longer than what the
/// history covers.
#[test]
fn a_history_claims_no_more_time_than_its_changes_prove() {
    for case in cases() {
        let log = RegistrationLog { after: 10, changes: case.changes };
        let clock = HistoryClock { heartbeat: HEARTBEAT, now_ms: NOW };
        let history = BuildHistory::assemble(&case.listing, &log, clock);
        let mut builds: Vec<&str> = history.builds_of("pool").map(|build| &**build).collect();
        builds.sort_unstable();
        assert_eq!(builds, case.builds, "{}", case.name);
        assert_eq!(log.last_unexplained(), case.complete_after, "{}", case.name);
        assert_eq!(history.span, Duration::from_millis(case.span), "{}", case.name);
    }
}

//! Fair queueing and limits of workspaces.

use super::*;
use std::{sync::Arc, time::Duration};
use tarragon_config::rules::{RuleSet, WorkspaceRule};
use tarragon_protocol::peer::PeerIdentity;

fn driver_with_rule(rule: WorkspaceRule) -> Driver {
    let mut driver = Driver::with_targets(1, 8);
    let mut rules = RuleSet::default();
    rules.workspaces.insert("depot".into(), rule);
    driver.handle(SchedulerEvent::RulesChanged(Arc::new(rules)));
    driver
}

fn report_peers(driver: &mut Driver, peers: u64, waiting: u32) {
    for incarnation in 0..peers {
        let peer = PeerIdentity { vm: format!("vm{incarnation}").into(), incarnation };
        let received = driver.now;
        let pressure =
            PeerPressure { peer, shed_floor: Tier::Routine, waiting: [waiting, 0, 0, 0], received };
        driver.handle(SchedulerEvent::PeerReported(pressure));
    }
    driver.handle(SchedulerEvent::Tick);
}

/// Guards against small workspaces that starve behind a large one.
#[test]
fn workspaces_share_by_weight() {
    let mut driver =
        driver_with_rule(WorkspaceRule { weight: Some(3), ..WorkspaceRule::default() });
    let occupying: Vec<_> = (0..8).map(|_| driver.send(Call::tier(Tier::Urgent))).collect();
    for _ in 0..40 {
        driver.send(Call::default());
    }
    for _ in 0..40 {
        driver.send(Call { workspace: "crew", ..Call::default() });
    }
    let mut served = [0, 0];
    let mut running = occupying;
    for _ in 0..40 {
        let request = running.remove(0);
        let attempt = 1;
        driver.end(request, attempt, AttemptEnd::Finished);
        for (request, ..) in driver.dispatched() {
            served[usize::from(request > 48)] += 1;
            running.push(request);
        }
    }
    assert_eq!(served, [30, 10]);
}

struct LimitCase {
    name: &'static str,
    rule: fn() -> WorkspaceRule,
    /// Requests of 1,000 predicted tokens or more that are sent at once, with their tier.
    tier: Tier,
    /// Number dispatched, waiting and refused of 12 requests.
    expected: (usize, u32, u64),
}

const LIMITS: &[LimitCase] = &[
    LimitCase {
        name: "no limit",
        rule: WorkspaceRule::default,
        tier: Tier::Normal,
        expected: (8, 4, 0),
    },
    LimitCase {
        name: "rate",
        rule: || WorkspaceRule { rate: Some(5.0), ..WorkspaceRule::default() },
        tier: Tier::Normal,
        expected: (5, 0, 7),
    },
    LimitCase {
        name: "concurrency",
        rule: || WorkspaceRule { concurrency: Some(3), ..WorkspaceRule::default() },
        tier: Tier::Normal,
        expected: (3, 9, 0),
    },
    LimitCase {
        name: "suspended",
        rule: || WorkspaceRule { concurrency: Some(0), ..WorkspaceRule::default() },
        tier: Tier::Normal,
        expected: (0, 0, 12),
    },
    LimitCase {
        name: "queued tokens",
        rule: || WorkspaceRule { queued_tokens: Some(2_600), ..WorkspaceRule::default() },
        tier: Tier::Normal,
        expected: (8, 2, 2),
    },
    LimitCase {
        name: "tier",
        rule: || WorkspaceRule { tier: Some(Tier::Normal), ..WorkspaceRule::default() },
        tier: Tier::Urgent,
        expected: (0, 0, 12),
    },
];

/// Guards against a workspace that exceeds its limits, and against limits that affect other workspaces.
#[test]
fn limits_hold_for_each_workspace() {
    for case in LIMITS {
        let mut driver = driver_with_rule((case.rule)());
        let mut dispatched = 0;
        for _ in 0..12 {
            driver.send(Call { prompt: 1_000, ..Call::tier(case.tier) });
            dispatched += driver.dispatched().len();
        }
        let refused = driver.scheduler.statistics().refusals(RefusalCode::LimitReached);
        assert_eq!((dispatched, driver.waiting(), refused), case.expected, "{}", case.name);
        // Another workspace is not affected.
        driver.send(Call { workspace: "crew", ..Call::default() });
        assert!(driver.refused().is_empty(), "{}", case.name);
    }
}

/// Guards against requests that stay parked although their workspace is below its limit again.
#[test]
fn requests_above_the_concurrency_limit_start_one_by_one() {
    let mut driver =
        driver_with_rule(WorkspaceRule { concurrency: Some(1), ..WorkspaceRule::default() });
    let requests: Vec<_> = (0..4).map(|_| driver.send(Call::default())).collect();
    driver.handle(SchedulerEvent::Disconnected(requests[1]));
    for (finished, next) in [(0, 2), (2, 3)] {
        driver.end(requests[finished], 1, AttemptEnd::Finished);
        let dispatched: Vec<_> = driver.dispatched().iter().map(|(id, ..)| *id).collect();
        assert_eq!(dispatched, [requests[next]]);
    }
}

struct DivisionCase {
    name: &'static str,
    peers: u64,
    waiting: u32,
    silent: Duration,
    /// How many of 16 requests this process dispatches under a deployment-wide limit of 16 in flight.
    expected: usize,
}

const DIVISIONS: &[DivisionCase] = &[
    DivisionCase { name: "alone", peers: 0, waiting: 0, silent: Duration::ZERO, expected: 8 },
    DivisionCase { name: "equal", peers: 3, waiting: 0, silent: Duration::ZERO, expected: 4 },
    DivisionCase { name: "demand", peers: 3, waiting: 50, silent: Duration::ZERO, expected: 2 },
    DivisionCase {
        name: "silent peers count as equal",
        peers: 3,
        waiting: 50,
        silent: Duration::from_secs(11),
        expected: 4,
    },
];

/// Guards against a deployment-wide limit that each VM grants in full.
#[test]
fn limits_are_divided_between_processes() {
    for case in DIVISIONS {
        let mut driver =
            driver_with_rule(WorkspaceRule { concurrency: Some(16), ..Default::default() });
        report_peers(&mut driver, case.peers, case.waiting);
        if !case.silent.is_zero() {
            driver.advance(case.silent);
        }
        let mut dispatched = 0;
        for _ in 0..16 {
            driver.send(Call::default());
            dispatched += driver.dispatched().len();
        }
        assert_eq!(dispatched, case.expected, "{}", case.name);
    }
}

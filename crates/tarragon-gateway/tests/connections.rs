//! Which idle connections a process closes when they run low, and when it leaves the load balancer.

use std::time::Duration;

use tarragon_fleet::prelude::CallerLimits;
use tarragon_gateway::{
    connection::{ConnectionWatch, IdleState},
    connections::{ConnectionBounds, ConnectionTable, IdleBounds, choose_idle},
};
use tokio::time::{Instant, advance};

struct IdleCase {
    name: &'static str,
    /// Id, idle time in ms, and whether a request has come on it.
    idle: &'static [(u64, u64, bool)],
    open: usize,
    target: usize,
    closed: &'static [u64],
}

/// Bounds with the default limits: 3.5 s for unused connections, 12.5 s for used ones.
const CASES: &[IdleCase] = &[
    IdleCase {
        name: "longest idle first",
        idle: &[(1, 13_000, true), (2, 14_900, true), (3, 14_000, true)],
        open: 12,
        target: 10,
        closed: &[2, 3],
    },
    IdleCase {
        name: "a caller may still send on a connection that has been used",
        idle: &[(1, 12_000, true), (2, 12_499, true), (3, 12_500, true)],
        open: 100,
        target: 10,
        closed: &[3],
    },
    IdleCase {
        name: "the first request may still come",
        idle: &[(1, 3_400, false), (2, 3_500, false), (3, 5_000, true)],
        open: 100,
        target: 10,
        closed: &[2],
    },
    IdleCase {
        name: "enough are free",
        idle: &[(1, 14_000, true)],
        open: 9,
        target: 10,
        closed: &[],
    },
];

/// Guards against requests that are lost because their connection is closed while they are sent.
#[test]
fn idle_connections_are_closed_longest_idle_first() {
    let bounds = IdleBounds::of(&CallerLimits::default());
    let start = Instant::now();
    let now = start + Duration::from_secs(60);
    for case in CASES {
        let idle = case.idle.iter().map(|(id, idle_ms, was_used)| {
            (*id, IdleState { since: now - Duration::from_millis(*idle_ms), was_used: *was_used })
        });
        let closed = choose_idle(idle, (case.open, case.target), bounds, now);
        assert_eq!(closed, case.closed, "{}", case.name);
    }
}

/// Guards against bounds that leave no descriptors for targets, and against a smaller number than was allowed before
/// on a machine with 4,100 descriptors.
#[test]
fn bounds_follow_from_the_descriptors() {
    assert_eq!(ConnectionBounds::for_descriptors(4_100).most, 3_000);
    assert_eq!(ConnectionBounds::for_descriptors(4_100).peers, 512);
    for descriptors in [128, 400, 1_024, 4_100, 65_536] {
        let bounds = ConnectionBounds::for_descriptors(descriptors);
        assert!(bounds.low < bounds.high && bounds.high < bounds.most, "{bounds:?}");
        assert!(bounds.most + bounds.peers < descriptors, "{bounds:?}");
    }
}

/// Guards against a process that stays in the load balancer while it accepts no more connections, and against one
/// that goes in and out with each connection.
#[tokio::test(start_paused = true)]
async fn readiness_is_withdrawn_before_connections_run_out() {
    let bounds = ConnectionBounds::for_descriptors(128);
    let table = ConnectionTable::new(bounds);
    let limits = IdleBounds::of(&CallerLimits::default());
    let busy = ConnectionWatch::default();
    busy.open_request();
    let mut open = vec![table.open(busy)];
    while open.len() < bounds.high {
        assert!(!table.is_low());
        open.push(table.open(ConnectionWatch::default()));
    }
    assert!(table.is_low());
    assert_eq!(table.close_idle(limits, Instant::now()), 0, "all of them may be sending");
    advance(limits.unused).await;
    let closed = table.close_idle(limits, Instant::now());
    assert_eq!(bounds.high - closed, bounds.low - 1);
    assert!(!open[0].close.is_cancelled(), "a request is open on it");
    assert!(table.is_low(), "until they are closed");
    open.retain(|connection| !connection.close.is_cancelled());
    assert!(!table.is_low());
}

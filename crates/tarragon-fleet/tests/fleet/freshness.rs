//! The times of the calls to the store, against the bounds of deployments.

use std::time::Duration;

use tarragon_fleet::freshness::{FreshnessBounds, ReadTimes};

/// Part of each bound that is left for the way to other processes and for a slow processor that has no turn.
const MARGIN_SHARE: f64 = 0.08;

struct BoundsCase {
    name: &'static str,
    change_ms: u64,
    contact_ms: u64,
    leave_ms: u64,
}

const BOUNDS: &[BoundsCase] = &[
    BoundsCase { name: "small", change_ms: 2_000, contact_ms: 3_000, leave_ms: 2_000 },
    BoundsCase { name: "grown", change_ms: 3_000, contact_ms: 4_000, leave_ms: 3_000 },
    BoundsCase { name: "large", change_ms: 4_000, contact_ms: 5_000, leave_ms: 4_000 },
    BoundsCase { name: "tight", change_ms: 1_000, contact_ms: 1_500, leave_ms: 1_000 },
];

/// Guards against constants whose sum is more than the time in which a change has to be in force, or more than the
/// time after an outage or the loss of all connections in which the bounds hold again.
#[test]
fn changes_are_in_force_in_time_whatever_has_fallen_silent() {
    for case in BOUNDS {
        let bounds = FreshnessBounds {
            change: Duration::from_millis(case.change_ms),
            contact: Duration::from_millis(case.contact_ms),
            leave: Duration::from_millis(case.leave_ms),
        };
        let times = ReadTimes::of(&bounds);
        let sums = [
            ("silent watch", times.silent_watch(), bounds.change),
            ("standby, operators", times.standby_change(), bounds.change),
            ("silent listing", times.silent_listing(), bounds.leave),
            ("outage", times.after_outage(), bounds.contact),
        ];
        for (what, sum, bound) in sums {
            let limit = bound.mul_f64(1.0 - MARGIN_SHARE);
            assert!(sum <= limit, "{}, {what}: {sum:?} of {bound:?}", case.name);
        }
        let standby = times.standby_listing();
        assert!(standby <= bounds.leave, "{}, standby, targets: {standby:?}", case.name);
        assert!(times.watch < times.max_operator_age, "{}", case.name);
    }
}

/// Guards against watches of all processes that wait from one change on and end at one moment.
#[test]
fn watches_end_at_different_times() {
    let times = ReadTimes::of(&FreshnessBounds::default());
    let (first, last) = (times.next_watch(0.0), times.next_watch(1.0));
    assert!(first.mul_f64(1.5) < last && last <= times.watch, "{first:?} to {last:?}");
}

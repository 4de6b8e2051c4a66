//! Times of a shutdown.

use std::time::Duration;

use tarragon_gateway::shutdown::ShutdownPlan;

/// Guards against a shutdown that has no time for final answers, gives them while requests could still be completed,
/// or outlasts a short grace period.
#[test]
fn all_times_of_a_shutdown_fit_into_the_grace_period() {
    for grace_ms in [0, 1, 50, 300, 1_000, 2_000, 4_000, 8_000, 30_000, 600_000] {
        let grace = Duration::from_millis(grace_ms);
        let plan = ShutdownPlan::of(grace);
        let ShutdownPlan { accept, work, reserve, exit } = plan;
        assert!(accept <= work && work <= exit && exit <= grace, "{plan:?}");
        assert!(work >= grace.mul_f64(5.0 / 6.0), "work ends in the last sixth: {plan:?}");
        assert!(reserve <= grace / 4, "{plan:?}");
        assert_eq!(work < exit && exit < grace, grace_ms > 0, "{plan:?}");
    }
}

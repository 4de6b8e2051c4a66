//! Cost and speed of configuration changes at several sizes: calls of the configuration service and the time
//! until a change is in force.

use std::{fmt::Write as _, time::Duration};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    load::quantiles,
    soak::{
        fault::FaultStep,
        topology::Topology,
        world::{World, WorldEvent},
    },
    workload::Workload,
};

/// Entry VMs of the measured fleets; the last one has 31 in each of three data centres.
const FLEETS: [usize; 4] = [6, 12, 48, 93];
/// Time between two changes: 69,000 a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1_250);
/// Changes of one measurement.
const CHANGES: u32 = 100;
/// Time before the first change.
const START_TIME: Duration = Duration::from_secs(20);
/// Time after the last change in which it must be in force.
const TAIL_TIME: Duration = Duration::from_secs(15);

/// Measures fleets without traffic and returns a table.
pub fn control_table(seed: u64) -> anyhow::Result<String> {
    let mut table = String::from(
        "| VMs | data centres | calls | calls per change and data centre | in force p50/p95/p99 ms | \
         latest ms | violations |\n|---|---|---|---|---|---|---|\n",
    );
    for vms in FLEETS {
        let workload = Workload::named("oshana")?;
        let homes = workload.data_centres.len();
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let topology = Topology::new(workload, vms, &mut random);
        let mut world = World::new(topology, seed, None, false);
        for change in 0..CHANGES {
            let at = START_TIME + CHANGE_INTERVAL * change;
            world.schedule(at, WorldEvent::Fault(FaultStep::Publish));
        }
        world.run_until(START_TIME);
        let before = world.platform.calls;
        world.run_until(START_TIME + CHANGE_INTERVAL * CHANGES);
        let calls = world.platform.calls - before;
        world.run_until(world.now + TAIL_TIME);
        let violations = world.observer.take_violations().len();
        let delays = &world.figures.applied;
        let latest = delays.max() as f64 / 1_000.0;
        let per_change = calls as f64 / f64::from(CHANGES) / homes as f64;
        let delays = quantiles(delays);
        writeln!(
            table,
            "| {vms} | {homes} | {calls} | {per_change:.2} | {delays} | {latest:.1} | {violations} |"
        )?;
    }
    Ok(table)
}

//! Faults of section 1.4 of the design and their schedule: alone and two at a time.

use std::time::Duration;

use rand::{Rng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use super::topology::Topology;

/// Start of the first fault.
const FIRST_FAULT: Duration = Duration::from_secs(20);
/// Shortest distance of two starts.
const FAULT_DISTANCE: Duration = Duration::from_secs(25);

/// A change of the world.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum FaultStep {
    /// A process dies.
    Kill(usize),
    /// A process starts on a VM that has none.
    Start(usize),
    /// A process dies and another one takes its address at once.
    Replace(usize),
    /// A process is paused; with `true`, its VM is suspended.
    Pause(usize, Duration, bool),
    /// A paused process resumes.
    Resume(usize),
    /// Requests arrive faster by a factor.
    Burst(f64),
    /// A target slows down by a factor.
    Slow(usize, f64),
    /// A target turns cold without a restart.
    Chill(usize),
    /// A target restarts after it was down for a time.
    Restart(usize, Duration),
    /// A target starts to leave and ends after a time.
    Leave(usize, Duration),
    /// The configuration service does not answer, or answers again.
    ServiceDown(bool),
    /// The configuration service answers with this much older a version, or with the newest again.
    ServiceStale(Option<usize>),
    /// The VM list does not answer, or answers again.
    ListDown(bool),
    /// The VM list lags.
    ListLag(Duration),
    /// So many of the next calls crash their targets.
    Poison(u32),
    /// Two data centres are cut off from each other, or reach each other again.
    Cut(usize, usize, bool),
    /// A VM is cut off from all others, or not.
    Isolate(usize, bool),
    /// A VM is cut off from the platform, or not.
    CutPlatform(usize, bool),
    /// A data centre is taken out of service, or put in.
    Out(usize, bool),
    /// A VM drains.
    Drain(usize),
    /// Messages get lost, doubled and reordered, or not.
    Lossy(bool),
    /// This part of the answers to callers gets lost.
    LoseAnswers(f64),
    /// The configuration is published again with a change.
    Publish,
}

/// Kinds of faults that a schedule draws from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FaultKind {
    Kill,
    Replace,
    Pause,
    Burst,
    Slow,
    Chill,
    Restart,
    Leave,
    ServiceDown,
    ServiceStale,
    ListDown,
    ListLag,
    Poison,
    Cut,
    Isolate,
    CutPlatform,
    Out,
    Drain,
    Lossy,
    LoseAnswers,
    Publish,
}

const KINDS: [FaultKind; 21] = [
    FaultKind::Kill,
    FaultKind::Replace,
    FaultKind::Pause,
    FaultKind::Burst,
    FaultKind::Slow,
    FaultKind::Chill,
    FaultKind::Restart,
    FaultKind::Leave,
    FaultKind::ServiceDown,
    FaultKind::ServiceStale,
    FaultKind::ListDown,
    FaultKind::ListLag,
    FaultKind::Poison,
    FaultKind::Cut,
    FaultKind::Isolate,
    FaultKind::CutPlatform,
    FaultKind::Out,
    FaultKind::Drain,
    FaultKind::Lossy,
    FaultKind::LoseAnswers,
    FaultKind::Publish,
];

/// A schedule of faults up to a moment. Even faults come alone, odd ones together with a second fault
/// that starts within a few seconds of the first.
pub(crate) fn schedule(
    topology: &Topology,
    length: Duration,
    random: &mut ChaCha8Rng,
) -> Vec<(Duration, FaultStep)> {
    let mut steps = Vec::new();
    let mut at = FIRST_FAULT;
    let mut paired = false;
    while at < length {
        steps.extend(draw(topology, at, random));
        if paired {
            let later = Duration::from_millis(random.random_range(0..8_000));
            steps.extend(draw(topology, at + later, random));
        }
        paired = !paired;
        at += FAULT_DISTANCE + Duration::from_millis(random.random_range(0..15_000));
    }
    steps
}

fn draw(topology: &Topology, at: Duration, random: &mut ChaCha8Rng) -> Vec<(Duration, FaultStep)> {
    let vm = random.random_range(0..topology.vms.len());
    let target = random.random_range(0..topology.targets.len());
    let homes = topology.workload.data_centres.len();
    let home = random.random_range(0..homes);
    let other = (home + 1) % homes;
    let length = Duration::from_millis(random.random_range(5_000..30_000));
    let end = at + length;
    let kind = *KINDS.choose(random).unwrap_or(&FaultKind::Publish);
    match kind {
        FaultKind::Kill => vec![(at, FaultStep::Kill(vm)), (end, FaultStep::Start(vm))],
        FaultKind::Replace => vec![(at, FaultStep::Replace(vm))],
        FaultKind::Pause => {
            let length = Duration::from_secs(30);
            let suspend = random.random_bool(0.5);
            vec![(at, FaultStep::Pause(vm, length, suspend)), (at + length, FaultStep::Resume(vm))]
        }
        FaultKind::Burst => {
            let factor = random.random_range(2.0..6.0);
            vec![(at, FaultStep::Burst(factor)), (end, FaultStep::Burst(1.0))]
        }
        FaultKind::Slow => {
            let factor = random.random_range(2.0..8.0);
            vec![(at, FaultStep::Slow(target, factor)), (end, FaultStep::Slow(target, 1.0))]
        }
        FaultKind::Chill => vec![(at, FaultStep::Chill(target))],
        FaultKind::Restart => {
            let down = Duration::from_millis(random.random_range(0..5_000));
            vec![(at, FaultStep::Restart(target, down))]
        }
        FaultKind::Leave => vec![(at, FaultStep::Leave(target, length))],
        FaultKind::ServiceDown => {
            vec![
                (at, FaultStep::ServiceDown(true)),
                (at + length / 2, FaultStep::Publish),
                (end, FaultStep::ServiceDown(false)),
            ]
        }
        FaultKind::ServiceStale => {
            vec![
                (at, FaultStep::Publish),
                (at + length / 2, FaultStep::ServiceStale(Some(1))),
                (end, FaultStep::ServiceStale(None)),
            ]
        }
        FaultKind::ListDown => {
            vec![(at, FaultStep::ListDown(true)), (end, FaultStep::ListDown(false))]
        }
        FaultKind::ListLag => {
            let lag = Duration::from_millis(random.random_range(1_000..20_000));
            vec![(at, FaultStep::ListLag(lag)), (end, FaultStep::ListLag(Duration::from_secs(1)))]
        }
        FaultKind::Poison => vec![(at, FaultStep::Poison(1))],
        FaultKind::Cut => {
            vec![(at, FaultStep::Cut(home, other, true)), (end, FaultStep::Cut(home, other, false))]
        }
        FaultKind::Isolate => {
            vec![(at, FaultStep::Isolate(vm, true)), (end, FaultStep::Isolate(vm, false))]
        }
        FaultKind::CutPlatform => {
            vec![(at, FaultStep::CutPlatform(vm, true)), (end, FaultStep::CutPlatform(vm, false))]
        }
        FaultKind::Out => vec![
            (at, FaultStep::Out(home, true)),
            (end + FAULT_DISTANCE, FaultStep::Out(home, false)),
        ],
        FaultKind::Drain => vec![(at, FaultStep::Drain(vm))],
        FaultKind::Lossy => vec![(at, FaultStep::Lossy(true)), (end, FaultStep::Lossy(false))],
        FaultKind::LoseAnswers => {
            vec![(at, FaultStep::LoseAnswers(0.2)), (end, FaultStep::LoseAnswers(0.0))]
        }
        FaultKind::Publish => vec![(at, FaultStep::Publish)],
    }
}

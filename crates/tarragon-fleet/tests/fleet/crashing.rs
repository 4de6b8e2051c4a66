//! A request that crashes each target that runs it, beside crashes for other causes.

use std::time::Duration;

use tarragon_protocol::peer::SuspectEntry;

use crate::{
    crash_world::{CULPRIT, CrashPlan, CrashWorld},
    support::*,
};

/// Sendings that the users allow later than the bound after the third crash.
const ALLOWED: usize = 3;
const SEEDS: u64 = 12;

fn seeds() -> u64 {
    std::env::var("CRASH_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

/// Plays a plan with several seeds and tells those in which the request was sent too often.
fn overruns(plan: &CrashPlan, seeds: std::ops::Range<u64>) -> Vec<(u64, usize, usize)> {
    let play = |seed| (seed, CrashWorld::play(plan, seed));
    let tallies = seeds.map(play);
    tallies
        .inspect(|(_, tally)| assert!(tally.crashes.len() >= 2, "{}: it never ran", plan.name))
        .map(|(seed, tally)| (seed, tally.crashes.len(), tally.late()))
        .filter(|(.., late)| *late > ALLOWED)
        .collect()
}

fn assert_bounded(plan: &CrashPlan) {
    let found = overruns(plan, 0..seeds());
    assert!(found.is_empty(), "{}: (seed, crashes, late sendings) {found:?}", plan.name);
}

/// Guards against a request that is sent to one target after the other beside crashes for other causes.
#[test]
fn a_crashing_request_is_stopped_beside_other_crashes() {
    assert_bounded(&CrashPlan::default());
}

/// Guards against a crash that nobody counts, since its target is away until its entry lapses.
#[test]
fn a_crashing_request_is_stopped_if_entries_lapse() {
    let away_ms = (5_000, 8_000);
    assert_bounded(&CrashPlan { name: "long absence", away_ms, ..CrashPlan::default() });
}

/// Guards against crashes that are noticed only when callers give up, after the target's return.
#[test]
fn a_crashing_request_is_stopped_if_targets_die_silently() {
    assert_bounded(&CrashPlan { name: "silent", silent: true, ..CrashPlan::default() });
}

/// Guards against copies that run at other processes until the first restart is listed.
#[test]
fn a_crashing_request_is_stopped_if_it_comes_quickly_and_in_copies() {
    let repeat = Duration::from_millis(200);
    assert_bounded(&CrashPlan { name: "copies", repeat, copies: 3, ..CrashPlan::default() });
}

/// Guards against verdicts that are lost with the processes that have found them.
#[test]
fn a_crashing_request_is_stopped_while_processes_restart() {
    let process_restarts = Duration::from_secs(2);
    assert_bounded(&CrashPlan { name: "restarts", process_restarts, ..CrashPlan::default() });
}

struct ReturnCase {
    name: &'static str,
    /// What the target is listed as after its return.
    listed: fn() -> ListedTarget,
    crash: bool,
}

const RETURNS: &[ReturnCase] = &[
    ReturnCase {
        name: "a new name",
        listed: || ListedTarget { instance: "i-new".into(), started_ms: 9_000, ..listed(1) },
        crash: true,
    },
    ReturnCase {
        name: "the old name",
        listed: || ListedTarget { started_ms: 9_000, ..listed(1) },
        crash: true,
    },
    ReturnCase { name: "the same process", listed: || listed(1), crash: false },
];

/// Guards against a crash that is taken for a survival, since the new process answers before it is listed.
#[test]
fn an_answer_before_the_listing_doesnt_hide_a_crash() {
    for case in RETURNS {
        let mut fleet = Fleet::start(2, 1);
        let asked = fleet.ask_again(0, 100, CULPRIT);
        let target = dispatched(&asked).remove(0);
        fleet.finish(0, &asked[0], AttemptEnd::Broken);
        fleet.advance(Duration::from_secs(1));
        for _ in 0..3 {
            let now = fleet.now;
            let load = AnswerLoad::default();
            fleet.nodes[0].update_target_load(now, &target, load, &mut Vec::new());
            fleet.advance(Duration::from_millis(200));
        }
        fleet.publish(2, 1, vec![(case.listed)()]);
        fleet.advance(Duration::from_secs(1));
        let suspects = fleet.nodes[0].scheduler().suspect_count();
        assert_eq!(suspects, usize::from(case.crash), "{}", case.name);
    }
}

/// Guards against crashes that are counted only when callers lose patience, while quick copies go on.
#[test]
fn a_crashing_request_is_stopped_on_an_idle_fleet_of_silent_targets() {
    let repeat = Duration::from_millis(200);
    let plan = CrashPlan { name: "idle", load: 2, silent: true, repeat, ..CrashPlan::default() };
    assert_bounded(&plan);
}

/// Guards against verdicts that get stuck where digests go to a few peers at a time and relays pass them on.
#[test]
fn a_crashing_request_is_stopped_in_a_large_fleet() {
    for (name, processes, targets) in [("in turns", 60, 60), ("relayed", 150, 120)] {
        let plan = CrashPlan {
            name,
            time: Duration::from_secs(15),
            processes,
            targets,
            load: u32::from(processes),
            repeat: Duration::from_millis(400),
            other_crashes: Duration::from_millis(500),
            ..CrashPlan::default()
        };
        // A play of a large fleet takes as long as twelve others.
        let found = overruns(&plan, 0..seeds().div_ceil(12));
        assert!(found.is_empty(), "{name}: (seed, crashes, late sendings) {found:?}");
    }
}

fn suspect(fingerprint: Fingerprint, convicted: bool) -> SchedulerEvent {
    let crash = |restart| (TargetName::from("10.9.0.1:80"), restart);
    let crashes = (0..1 + u64::from(convicted)).map(crash);
    SchedulerEvent::SuspectReported(SuspectEntry {
        convicted,
        age_ms: 100,
        ..SuspectEntry::of_request(fingerprint, crashes)
    })
}

/// Guards against a verdict that stays with the process that has found it, since older suspects fill its
/// digests.
#[test]
fn a_verdict_is_told_beside_many_older_suspects() {
    let mut fleet = Fleet::start(2, 1);
    let now = fleet.now;
    for fingerprint in 1_000..1_040 {
        fleet.nodes[0].handle(now, suspect(fingerprint, false), &mut Vec::new());
    }
    fleet.advance(Duration::from_secs(6));
    let known = fleet.nodes[1].scheduler().suspect_count();
    assert_eq!(known, 40, "each suspect is told in its turn");
    let now = fleet.now;
    fleet.nodes[0].handle(now, suspect(CULPRIT, true), &mut Vec::new());
    fleet.gossip();
    let asked = fleet.ask_again(1, 100, CULPRIT);
    let refused = asked.iter().any(|action| match action {
        SchedulerAction::Refuse { refusal, .. } => refusal.code == RefusalCode::CrashesTargets,
        _ => false,
    });
    assert!(refused, "the next digest tells a verdict: {asked:?}");
}

/// Guards against a process that has just started and runs what its peers have convicted.
#[test]
fn an_answer_to_a_first_digest_tells_verdicts() {
    let mut fleet = Fleet::start(2, 1);
    let now = fleet.now;
    for fingerprint in 1_000..1_060 {
        fleet.nodes[0].handle(now, suspect(fingerprint, true), &mut Vec::new());
    }
    assert_eq!(fleet.nodes[0].answer_digest(address(2), now).suspects.len(), 60);
    let bytes = fleet.nodes[0].answer_digest(address(2), now).to_bytes().unwrap().len();
    assert!(bytes < 16 << 10, "{bytes} bytes don't fit into a datagram");
}

/// Guards against a request that is sent on and on beside so many crashes that hundreds of others are
/// suspected.
#[test]
fn a_crashing_request_is_stopped_beside_many_suspects() {
    let other_crashes = Duration::from_millis(700);
    let plan = CrashPlan { name: "many", other_crashes, load: 100, ..CrashPlan::default() };
    assert_bounded(&plan);
}

//! Choice of targets: plug-ins, cost, affinity, pre-emption and early refusal.

use super::*;
use std::{sync::Arc, time::Duration};
use tarragon_config::rules::{PolicyRule, RuleSet};
use tarragon_protocol::engine::{CacheChange, CacheEvent};
use tarragon_scheduler::policy::unknown_plugins;

fn policy(choose: &str, admission: &str) -> RuleSet {
    let mut rules = RuleSet::default();
    let rule = PolicyRule {
        choose: Some(choose.to_owned()),
        admission: Some(admission.to_owned()),
        ..PolicyRule::default()
    };
    rules.policies.insert("pool".into(), rule);
    rules
}

/// Guards against a misspelt plug-in name in a rule that is accepted silently.
#[test]
fn unknown_plugins_fall_back_and_are_listed() {
    let rules = policy("fastest", "tiered");
    let unknown = unknown_plugins(&rules);
    assert_eq!(unknown.len(), 1);
    assert_eq!((unknown[0].key, &*unknown[0].name), ("choose", "fastest"));
    assert_eq!(unknown[0].known, ["least-cost", "least-requests", "random", "round-robin"]);
    let mut driver = Driver::with_targets(2, 2);
    driver.handle(SchedulerEvent::RulesChanged(Arc::new(rules)));
    driver.send(Call::default());
    assert_eq!(driver.dispatched().len(), 1);
}

/// Guards against plug-ins that are linked but that rules can't select.
#[test]
fn rules_select_plugins() {
    for name in ["least-cost", "least-requests", "random", "round-robin"] {
        let mut driver = Driver::with_targets(4, 2);
        driver.handle(SchedulerEvent::RulesChanged(Arc::new(policy(name, "first-come"))));
        let mut targets = Vec::new();
        for _ in 0..4 {
            driver.send(Call::default());
            targets.extend(driver.dispatched().into_iter().map(|(.., target)| target));
        }
        assert_eq!(targets.len(), 4, "{name}");
        targets.sort();
        targets.dedup();
        if name == "round-robin" || name == "least-requests" {
            assert_eq!(targets.len(), 4, "{name}");
        }
        let profile = profile(&driver);
        let explanation = driver.scheduler.explain(&profile, driver.now);
        assert_eq!((explanation.choose, explanation.admission), (name, "first-come"));
    }
}

fn profile(driver: &Driver) -> RequestProfile {
    RequestProfile {
        parts: Vec::new(),
        request: 9_999,
        workspace: "depot".into(),
        service: "pool".into(),
        tier: Tier::Normal,
        deadline: driver.now + Duration::from_secs(30),
        idempotent: true,
        fingerprint: 1,
        kind: CallKind::Model(ModelCall {
            model: "assess".into(),
            prompt_tokens: 2_048,
            max_tokens: 100,
            blocks: (0..32).collect(),
        }),
        options: CallOptions::default(),
    }
}

fn report_stored_blocks(driver: &mut Driver, target: &str, sequence: u64) {
    let event = CacheEvent { sequence, change: CacheChange::Stored, blocks: (0..32).collect() };
    driver.handle(SchedulerEvent::CacheReported(target.into(), vec![event]));
}

fn cached_tokens(driver: &Driver, target: &str) -> u32 {
    let explanation = driver.scheduler.explain(&profile(driver), driver.now);
    let found = explanation.targets.iter().find(|found| &*found.target == target);
    found.and_then(|found| found.cached_tokens).unwrap_or(0)
}

/// Guards against repeated prefill although another target holds the prefix, and against relying on an index
/// that has lost events.
#[test]
fn cached_prefixes_attract_and_gaps_lower_trust() {
    let mut driver = Driver::with_targets(4, 4);
    report_stored_blocks(&mut driver, "t2", 1);
    assert_eq!(cached_tokens(&driver, "t2"), 2_048);
    let explanation = driver.scheduler.explain(&profile(&driver), driver.now);
    assert_eq!(explanation.chosen.as_deref(), Some("t2"));
    report_stored_blocks(&mut driver, "t2", 9);
    assert_eq!(cached_tokens(&driver, "t2"), 1_024);
    assert_eq!(driver.scheduler.statistics().cache_gaps, 1);
    driver.advance(Duration::from_secs(31));
    assert_eq!(cached_tokens(&driver, "t2"), 2_048);
    driver.report("t2", 2, tarragon_protocol::load::TargetState::Warm);
    assert_eq!(cached_tokens(&driver, "t2"), 0, "a restart empties the cache");
}

/// Guards against repeated prefill under load, when targets open one by one, and against requests without a
/// cached prompt that are overtaken for ever.
#[test]
fn a_request_with_a_cached_prompt_goes_first_when_one_target_opens() {
    let mut driver = Driver::with_targets(1, 1);
    report_stored_blocks(&mut driver, "t0", 1);
    let mut running = driver.send(Call::default());
    let plain = driver.send(Call { prompt: 2_048, ..Call::default() });
    let cached: Vec<_> = (0..6)
        .map(|_| driver.send(Call { prompt: 2_048, blocks: (0..32).collect(), ..Call::default() }))
        .collect();
    let mut order = Vec::new();
    for _ in 0..7 {
        driver.end(running, 1, AttemptEnd::Finished);
        running = driver.dispatched()[0].0;
        order.push(running);
    }
    assert_eq!(order[..4], cached[..4], "{order:?}");
    assert_eq!(order[4], plain, "at most four go before it");
}

/// Guards against a common prefix that piles all work on one target.
#[test]
fn affinity_is_bounded_by_load() {
    let mut driver = Driver::with_targets(4, 8);
    let mut counts = indexmap::IndexMap::<TargetName, u32>::new();
    for _ in 0..16 {
        driver.send(Call { prompt: 2_048, blocks: (0..32).collect(), ..Call::default() });
        for (.., target) in driver.dispatched() {
            *counts.entry(target).or_default() += 1;
        }
    }
    assert!(counts.values().all(|count| *count <= 7), "{counts:?}");
    assert!(counts.len() >= 2, "{counts:?}");
}

/// Guards against urgent work that waits behind long routine streams, and against streams that are cancelled
/// again and again.
#[test]
fn urgent_work_preempts_a_routine_stream_a_bounded_number_of_times() {
    let mut driver = Driver::with_targets(1, 1);
    let routine = driver.send(Call::tier(Tier::Routine));
    for attempt in 1..=3 {
        driver.progress(routine, attempt, attempt, 60);
        driver.advance(Duration::from_millis(100));
        let urgent = driver.send(Call::tier(Tier::Urgent));
        if attempt == 3 {
            assert!(driver.actions.is_empty(), "pre-empted twice already");
            return;
        }
        let cancel = SchedulerAction::Cancel { request: routine, attempt };
        assert_eq!(driver.actions, [cancel]);
        driver.end(routine, attempt, AttemptEnd::Cancelled);
        assert_eq!(driver.dispatched()[0].0, urgent);
        driver.progress(urgent, 1, 1, 60);
        driver.end(urgent, 1, AttemptEnd::Finished);
        assert_eq!(driver.dispatched()[0].0, routine, "it goes on afterwards");
    }
}

struct PreemptCase {
    name: &'static str,
    running: fn() -> Call,
    first_token_ms: u64,
    arriving: Tier,
}

const NOT_PREEMPTED: &[PreemptCase] = &[
    PreemptCase {
        name: "must not run twice",
        running: || Call { idempotent: false, ..Call::tier(Tier::Routine) },
        first_token_ms: 60,
        arriving: Tier::Urgent,
    },
    PreemptCase {
        name: "not routine",
        running: || Call::tier(Tier::Normal),
        first_token_ms: 60,
        arriving: Tier::Urgent,
    },
    PreemptCase {
        name: "not for work that is not urgent",
        running: || Call::tier(Tier::Routine),
        first_token_ms: 60,
        arriving: Tier::High,
    },
    PreemptCase {
        name: "the prefill is worth more than the wait",
        running: || Call { prompt: 200_000, ..Call::tier(Tier::Routine) },
        first_token_ms: 20_000,
        arriving: Tier::Urgent,
    },
];

/// Guards against running a non-idempotent request twice, and against wasted prefill.
#[test]
fn some_streams_are_not_preempted() {
    for case in NOT_PREEMPTED {
        let mut driver = Driver::with_targets(1, 1);
        let running = driver.send((case.running)());
        driver.progress(running, 1, 1, case.first_token_ms);
        driver.send(Call::tier(case.arriving));
        assert!(driver.actions.is_empty(), "{}: {:?}", case.name, driver.actions);
    }
}

/// One target that answers a request in about four seconds, with its slot taken and another request
/// waiting.
fn driver_with_busy_target() -> Driver {
    let mut driver = Driver::with_targets(1, 1);
    let mut request = driver.send(Call::default());
    for _ in 0..12 {
        let next = driver.send(Call::default());
        driver.progress(request, 1, 1, 100);
        for second in 1..=4 {
            driver.advance(Duration::from_secs(1));
            driver.progress(request, 1, 25 * second, 100);
        }
        driver.end(request, 1, AttemptEnd::Finished);
        request = next;
    }
    driver.send(Call { deadline: Duration::from_secs(5_000), ..Call::default() });
    driver
}

/// Guards against callers that wait until their deadline although their answer can't arrive in time.
#[test]
fn requests_that_cannot_meet_their_deadline_are_refused_early() {
    let mut driver = driver_with_busy_target();
    let late = driver.send(Call { deadline: Duration::from_millis(500), ..Call::default() });
    assert_eq!(driver.refused(), [(late, RefusalCode::DeadlineExceeded, CallOutcome::NotRun)]);
}

/// Guards against routine callers that wait until their deadline while work of higher tiers is served first.
#[test]
fn starved_requests_are_refused_before_their_deadline() {
    let mut driver = driver_with_busy_target();
    let routine =
        driver.send(Call { deadline: Duration::from_secs(300), ..Call::tier(Tier::Routine) });
    assert!(driver.actions.is_empty());
    for _ in 0..100 {
        driver.send(Call { deadline: Duration::from_secs(5_000), ..Call::tier(Tier::High) });
    }
    driver.advance(Duration::from_millis(100));
    assert_eq!(driver.refused(), [(routine, RefusalCode::DeadlineExceeded, CallOutcome::NotRun)]);
}

/// Guards against a failing service that is flooded with retries.
#[test]
fn retries_end_with_the_budget() {
    let mut driver = Driver::with_targets(2, 64);
    let requests: Vec<_> = (0..20).map(|_| driver.send(Call::default())).collect();
    for request in requests {
        driver.end(request, 1, AttemptEnd::Failed);
    }
    let statistics = driver.scheduler.statistics();
    assert_eq!((statistics.retries, statistics.retries_denied), (5, 15));
}

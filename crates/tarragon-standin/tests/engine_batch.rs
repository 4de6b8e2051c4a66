//! The engine without I/O: batching, cache, cold start and orders.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tarragon_protocol::prelude::*;
use tarragon_standin::engine::{
    EngineBatch, EngineEvent, EngineSettings, EngineSubmission, HardwareProfile, PrefixCache,
    answer_length, answer_token,
};
use tokio::sync::mpsc::UnboundedReceiver;

fn settings() -> EngineSettings {
    EngineSettings::new("runner", HardwareProfile::first_generation(), "m")
}

fn submission(id: &str, prompt: &str) -> EngineSubmission {
    EngineSubmission {
        request_id: id.to_owned(),
        model: Arc::from("m"),
        prompt: prompt.to_owned(),
        resume_from: 0,
        delivered: String::new(),
        max_tokens: None,
    }
}

/// Runs until nothing is left to do and returns the time that this took.
fn run(batch: &mut EngineBatch, mut now: Instant) -> Duration {
    let start = now;
    for _ in 0..100_000 {
        let Some(step) = batch.begin_step(now) else { return now - start };
        now += step;
        batch.finish_step(now);
    }
    panic!("the engine does not come to an end");
}

fn text_of(events: &mut UnboundedReceiver<EngineEvent>) -> String {
    let mut whole = String::new();
    while let Ok(event) = events.try_recv() {
        if let EngineEvent::Token { text, .. } = event {
            whole.push_str(&text);
        }
    }
    whole
}

/// A resumed answer that differed from an uninterrupted one could not be checked for completeness.
#[test]
fn a_resumed_answer_continues_the_same_text() {
    let now = Instant::now();
    let prompt = "which channel first? [answer=40]";
    let whole: String =
        (0..answer_length(prompt)).map(|index| answer_token(prompt, index)).collect();
    let mut first = EngineBatch::new(settings(), 1, now);
    let mut events = first.submit(submission("a", prompt), now);
    run(&mut first, now);
    assert_eq!(text_of(&mut events), whole);
    let mut second = EngineBatch::new(settings(), 1, now);
    let delivered = whole[..4 * 15].to_owned();
    let resumed = EngineSubmission { resume_from: 15, delivered, ..submission("a", prompt) };
    let mut events = second.submit(resumed, now);
    run(&mut second, now);
    assert_eq!(text_of(&mut events), whole[4 * 15..]);
}

#[test]
fn a_step_takes_longer_with_a_larger_batch() {
    let now = Instant::now();
    let mut alone = EngineBatch::new(settings(), 1, now);
    let _one = alone.submit(submission("a", "[answer=50]"), now);
    let mut full = EngineBatch::new(settings(), 1, now);
    let _many: Vec<_> =
        (0..16).map(|id| full.submit(submission(&id.to_string(), "[answer=50]"), now)).collect();
    let (alone, full) = (run(&mut alone, now), run(&mut full, now));
    assert!(full > alone.mul_f64(1.3) && full < alone * 3, "{alone:?} {full:?}");
}

#[test]
fn a_repeated_prefix_is_not_computed_again() {
    let now = Instant::now();
    let mut batch = EngineBatch::new(settings(), 1, now);
    let prefix = "the culverts of the northern channels ".repeat(100);
    let mut computed = Vec::new();
    for id in ["a", "b"] {
        let mut events = batch.submit(submission(id, &format!("{prefix}{id}[answer=1]")), now);
        run(&mut batch, now);
        let Ok(EngineEvent::Token { prefill: Some((fresh, cached)), .. }) = events.try_recv()
        else {
            panic!("the first token tells what was computed");
        };
        assert!(fresh > 0);
        computed.push((fresh, cached));
    }
    assert_eq!(computed[0].1, 0);
    // 14 full blocks of 64 tokens are shared; the rest of the prompt is computed.
    assert!(computed[1].1 == 14 * 64 && computed[1].0 < 64, "{computed:?}");
}

#[test]
fn the_cache_drops_what_was_not_used_for_longest() {
    let now = Instant::now();
    let mut cache = PrefixCache::new(3, Duration::from_secs(1), 0);
    cache.store(&[1, 2], now);
    cache.store(&[3], now);
    cache.use_prefix(&[1]);
    cache.store(&[4], now);
    assert_eq!(cache.held(&[1, 2, 3, 4]), [1, 3, 4]);
    assert_eq!(cache.events_after(0, now), []);
    let later = now + Duration::from_secs(1);
    assert_eq!(cache.events_after(0, later).len(), 4);
    assert_eq!(cache.events_after(3, later).len(), 1);
}

#[test]
fn lost_cache_events_leave_a_gap_in_the_numbers() {
    let now = Instant::now();
    let mut cache = PrefixCache::new(9, Duration::ZERO, 2);
    for block in 0..4 {
        cache.store(&[block], now);
    }
    let numbers: Vec<u64> = cache.events_after(0, now).iter().map(|event| event.sequence).collect();
    assert_eq!(numbers, [1, 3]);
}

/// The invariant on cold targets is checked against these counters.
#[test]
fn a_cold_engine_bears_little_and_collapses_above_it() {
    let now = Instant::now();
    let mut batch = EngineBatch::new(EngineSettings { start_cold: true, ..settings() }, 1, now);
    assert_eq!(batch.load_report(now).capacity, 2);
    let mut events: Vec<_> =
        (0..4).map(|id| batch.submit(submission(&id.to_string(), "[answer=2]"), now)).collect();
    assert_eq!((batch.counters().cold_peak, batch.counters().cold_overloads), (3, 2));
    // Of two overloads one fails at once and one waits for the collapsed engine.
    let failed = events.iter_mut().filter_map(|events| events.try_recv().ok());
    assert_eq!(failed.filter(|event| matches!(event, EngineEvent::Failed(_))).count(), 1);
    let step = batch.begin_step(now).unwrap();
    assert!(step >= Duration::from_secs(2), "{step:?}");
    let later = now + Duration::from_secs(9);
    assert!(batch.is_cold(later), "the overload starts the cold time again");
    assert!(!batch.is_cold(now + Duration::from_secs(30)));
}

#[test]
fn cancelled_and_abandoned_requests_leave() {
    let now = Instant::now();
    let mut batch = EngineBatch::new(settings(), 1, now);
    let mut cancelled = batch.submit(submission("a", "[answer=500]"), now);
    let abandoned = batch.submit(submission("b", "[answer=500]"), now);
    batch.begin_step(now);
    assert!(batch.cancel("a") && !batch.cancel("a"));
    drop(abandoned);
    assert_eq!(batch.begin_step(now), None);
    assert_eq!(batch.counters().cancelled, 2);
    assert_eq!(cancelled.try_recv(), Ok(EngineEvent::Cancelled));
}

#[test]
fn a_crash_loses_everything_and_changes_the_restart_id() {
    let now = Instant::now();
    let crash_text = Some("poison".to_owned());
    let mut batch = EngineBatch::new(EngineSettings { crash_text, ..settings() }, 1, now);
    let _beside = batch.submit(submission("a", "[answer=500]"), now);
    let _crasher = batch.submit(submission("b", "poison"), now);
    let before = batch.load_report(now);
    let step = batch.begin_step(now).unwrap();
    assert!(batch.finish_step(now + step));
    batch.crash(now);
    let after = batch.load_report(now);
    assert_ne!(before.restart_id, after.restart_id);
    assert_eq!((after.state, batch.occupied()), (TargetState::Cold, 0));
}

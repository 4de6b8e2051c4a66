//! Reads published values from the store: watches the operator state, and lists the targets at intervals.
//! While the store does not answer, newer values are pulled from peers.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use tarragon_fleet::prelude::*;
use tokio::time::{Instant, sleep, timeout};

use crate::{
    context::GatewayContext,
    origins::send_messages,
    platform::{OperatorChange, OperatorChanges, PublishedStore, StoreFault, StoreRead},
};

/// Longest wait of a watch. A dead connection is detected after this time plus [`ANSWER_TIMEOUT`], within the
/// time limit for a change to become active.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longest wait for an answer of the store. A healthy store answers within milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval of listings. A target must get no new requests later than two seconds after it has announced that
/// it leaves.
const LISTING_INTERVAL: Duration = Duration::from_millis(900);
/// Interval at which a process that doesn't read the store itself checks whether it has to.
const STANDBY_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Delay before a failed call is retried; it doubles with each failure up to the maximum.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Time after the start for which the builds of the past are of interest, and for which peers may tell them
/// before the store is asked.
const HISTORY_TIME: Duration = Duration::from_secs(15);
const PEER_TIME: Duration = Duration::from_millis(250);

/// Longest delay before a complete read in place of a watch that can't continue.
const MAX_REREAD_DELAY: Duration = Duration::from_millis(200);

/// State of the watch on the operator state.
#[derive(Default)]
struct OperatorWatch {
    state: Option<OperatorState>,
    /// Revision after which the watch continues; 0 to start with a complete read.
    after: u64,
}

impl OperatorWatch {
    /// Applies a complete read. An unchanged state keeps its revision, so that peers with the same state
    /// don't pull it.
    fn apply_snapshot(&mut self, snapshot: OperatorState) -> Option<OperatorState> {
        self.after = snapshot.revision;
        let same = self.state.as_ref().is_some_and(|known| {
            known.era == snapshot.era
                && known.configuration == snapshot.configuration
                && known.evacuated == snapshot.evacuated
        });
        if same {
            return None;
        }
        self.state = Some(snapshot.clone());
        Some(snapshot)
    }

    fn apply_changes(&mut self, changes: OperatorChanges) -> Option<OperatorState> {
        self.after = self.after.max(changes.next);
        let state = self.state.as_mut()?;
        let revision = changes.revision?;
        for change in changes.changes {
            match change {
                OperatorChange::Configuration(configuration) => {
                    state.configuration = Some(configuration);
                }
                OperatorChange::Evacuated(name) => {
                    state.evacuated.insert(name);
                }
                OperatorChange::Restored(name) => {
                    state.evacuated.shift_remove(&name);
                }
            }
        }
        state.revision = revision.max(state.revision);
        Some(state.clone())
    }
}

/// Logs when calls to the store start to fail and when they succeed again, and computes the retry delay.
struct StoreRetry {
    call: &'static str,
    failed_since: Option<Instant>,
    delay: Duration,
}

impl StoreRetry {
    fn new(call: &'static str) -> StoreRetry {
        StoreRetry { call, failed_since: None, delay: MIN_RETRY_DELAY }
    }

    fn record_success(&mut self) {
        if let Some(since) = self.failed_since.take() {
            let away_ms = since.elapsed().as_millis() as u64;
            tracing::info!(call = self.call, away_ms, "store answers again");
        }
        self.delay = MIN_RETRY_DELAY;
    }

    /// Returns the delay before the next call, with jitter.
    fn record_failure(&mut self, fault: StoreFault) -> Duration {
        if self.failed_since.is_none() {
            tracing::warn!(call = self.call, fault = fault.name(), "store call failed");
            self.failed_since = Some(Instant::now());
        }
        let delay = self.delay;
        self.delay = (delay * 2).min(MAX_RETRY_DELAY);
        delay.mul_f64(rand::rng().random_range(0.7..1.3))
    }
}

/// Watches the operator state in the store, until the process ends.
pub async fn follow_operator<D, S>(context: Arc<GatewayContext<D>>, store: Arc<S>)
where
    S: PublishedStore,
{
    let mut watch = OperatorWatch::default();
    let mut retry = StoreRetry::new("operator");
    // Whether the last watch couldn't be decoded. The read after it doesn't end that.
    let mut unreadable = false;
    loop {
        if !context.node.run(|node, now, _| node.reads_operator(now)) {
            // Meanwhile changes come from peers; the next watch starts with a complete read.
            watch.after = 0;
            sleep(STANDBY_CHECK_INTERVAL).await;
            continue;
        }
        let is_watch = watch.after != 0;
        let fault = match next_change(&mut watch, &*store).await {
            Ok(StoreRead { value: state, skipped }) => {
                context.metrics.store_calls.with_label_values(&["operator", "answered"]).inc();
                context.metrics.count_skipped_entries("operator", skipped);
                if is_watch || !unreadable {
                    retry.record_success();
                    unreadable = false;
                }
                if let Some(state) = state {
                    apply_operator_state(&context, state, "store");
                }
                context.node.run(|node, now, _| node.confirm_operator_state(now));
                continue;
            }
            Err(fault) => fault,
        };
        context.metrics.store_calls.with_label_values(&["operator", fault.name()]).inc();
        if matches!(fault, StoreFault::Compacted | StoreFault::Restored) {
            tracing::info!(
                after = watch.after,
                fault = fault.name(),
                "watch can't continue; reading the operator state again"
            );
            watch.after = 0;
            // All readers learn of it at the same time.
            let delay = MAX_REREAD_DELAY.mul_f64(rand::rng().random_range(0.0..1.0));
            sleep(delay).await;
            continue;
        }
        if fault == StoreFault::Malformed {
            // Events that can't be read may be in each answer until the watch starts after them.
            watch.after = 0;
            unreadable |= is_watch;
        }
        sleep(retry.record_failure(fault)).await;
    }
}

async fn next_change<S>(
    watch: &mut OperatorWatch,
    store: &S,
) -> Result<StoreRead<Option<OperatorState>>, StoreFault>
where
    S: PublishedStore,
{
    if watch.after == 0 || watch.state.is_none() {
        let StoreRead { value: snapshot, skipped } =
            with_timeout(ANSWER_TIMEOUT, store.read_operator()).await?;
        return Ok(StoreRead { value: watch.apply_snapshot(snapshot), skipped });
    }
    let limit = WATCH_TIMEOUT + ANSWER_TIMEOUT;
    let StoreRead { value: changes, skipped } =
        with_timeout(limit, store.watch_operator(watch.after, WATCH_TIMEOUT)).await?;
    if watch.state.as_ref().is_some_and(|known| known.era != changes.era) {
        return Err(StoreFault::Restored);
    }
    Ok(StoreRead { value: watch.apply_changes(changes), skipped })
}

/// Makes an operator state active.
pub fn apply_operator_state<D>(context: &GatewayContext<D>, state: OperatorState, source: &str) {
    let (new, version) = context.node.run(|node, now, actions| {
        let new = node.apply_operator_state(now, state, source, actions);
        (new, node.operator_state().version())
    });
    if new {
        context.node.urgent_digest.notify_one();
    }
    context.metrics.configuration_version.set(i64::try_from(version).unwrap_or(i64::MAX));
}

/// Reads the target listing from the store at intervals, until the process ends.
pub async fn follow_targets<D, S>(context: Arc<GatewayContext<D>>, store: Arc<S>)
where
    S: PublishedStore,
{
    let mut retry = StoreRetry::new("targets");
    loop {
        if !context.node.run(|node, now, _| node.reads_targets(now)) {
            sleep(STANDBY_CHECK_INTERVAL).await;
            continue;
        }
        let started = Instant::now();
        let pause = match with_timeout(ANSWER_TIMEOUT, store.read_targets()).await {
            Ok(StoreRead { value: listing, skipped }) => {
                context.metrics.store_calls.with_label_values(&["targets", "answered"]).inc();
                context.metrics.count_skipped_entries("targets", skipped);
                retry.record_success();
                // The listing may be as old as the start of the call.
                apply_listing(&context, &listing, started.elapsed());
                send_messages(&context).await;
                LISTING_INTERVAL.mul_f64(rand::rng().random_range(0.9..1.1))
            }
            Err(fault) => {
                context.metrics.store_calls.with_label_values(&["targets", fault.name()]).inc();
                retry.record_failure(fault)
            }
        };
        sleep(pause).await;
    }
}

/// Reads which builds were registered before the start of this process, unless peers tell it.
pub async fn read_build_history<D, S>(context: Arc<GatewayContext<D>>, store: Arc<S>)
where
    S: PublishedStore,
{
    let end = Instant::now() + HISTORY_TIME;
    let mut retry = StoreRetry::new("build_history");
    let mut pause = PEER_TIME;
    while Instant::now() < end {
        sleep(pause).await;
        pause = STANDBY_CHECK_INTERVAL;
        if !context.node.run(|node, now, _| node.lacks_builds(now) && node.reads_targets(now)) {
            continue;
        }
        match with_timeout(ANSWER_TIMEOUT, store.read_build_history()).await {
            Ok(history) => {
                context.metrics.store_calls.with_label_values(&["build_history", "answered"]).inc();
                retry.record_success();
                context.node.run(|node, now, _| node.merge_build_history(now, &history));
                return;
            }
            Err(fault) => {
                context
                    .metrics
                    .store_calls
                    .with_label_values(&["build_history", fault.name()])
                    .inc();
                pause = retry.record_failure(fault);
            }
        }
    }
}

/// Applies a listing that was read `age` ago, and closes idle connections to targets that it no longer has.
pub fn apply_listing<D>(context: &GatewayContext<D>, listing: &TargetListing, age: Duration) {
    context.node.run(|node, now, actions| node.apply_listing(now, listing, age, actions));
    context.node.view(|node| {
        context.pool.retain(|address| node.directory().get(address).is_some());
    });
}

async fn with_timeout<T, F>(limit: Duration, call: F) -> Result<T, StoreFault>
where
    F: Future<Output = Result<T, StoreFault>>,
{
    timeout(limit, call).await.unwrap_or(Err(StoreFault::TimedOut))
}

//! Reads published values from the store: watches the operator state, and lists the targets at intervals.
//! While the store does not answer, newer values are pulled from peers.

use std::{future::Future, sync::Arc, time::Duration};

use rand::Rng;
use tarragon_fleet::{
    freshness::{LISTING_JITTER, RETRY_JITTER},
    prelude::*,
};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    context::GatewayContext,
    origins::send_messages,
    platform::{OperatorChange, OperatorChanges, PublishedStore, StoreFault, StoreRead},
};

/// Delay before a failed call is retried; it doubles with each failure up to the maximum.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time after the start for which the builds of the past are of interest, and for which peers may tell them
/// before the store is asked.
const HISTORY_TIME: Duration = Duration::from_secs(15);
const PEER_TIME: Duration = Duration::from_millis(250);

/// Longest delay before a complete read in place of a watch that can't continue.
const MAX_REREAD_DELAY: Duration = Duration::from_millis(200);

/// State of the watch on the operator state.
#[derive(Default)]
pub struct OperatorWatch {
    state: Option<OperatorState>,
    /// Revision after which the watch continues; 0 to start with a complete read.
    after: u64,
}

/// What an answer of the store tells of the operator state.
enum OperatorNews {
    /// All of it.
    Snapshot(StoreRead<OperatorState>),
    /// Changes since the last answer.
    Changes(StoreRead<OperatorChanges>),
}

impl OperatorWatch {
    /// Waits for the next answer of the store, and returns the operator state if it has changed. After a failure the
    /// state has to be read completely: a short call shows at once whether the store is back, while a watch may
    /// hang until long after that.
    pub async fn next<S>(
        &mut self,
        store: &S,
        times: &ReadTimes,
        link: StoreLink,
    ) -> Result<StoreRead<Option<OperatorState>>, StoreFault>
    where
        S: PublishedStore,
    {
        let is_watch = self.is_watch();
        // If the call fails, or is dropped, the next one is a complete read.
        let after = std::mem::take(&mut self.after);
        let snapshot = || async { store.read_operator().await.map(OperatorNews::Snapshot) };
        let news = match is_watch {
            false => read_store("operator", store, times, link, snapshot).await?,
            true => {
                let limit = times.next_watch(rand::rng().random_range(0.0..1.0));
                let watch =
                    async { store.watch_operator(after, limit).await.map(OperatorNews::Changes) };
                let patience = limit + times.patience;
                let whole = patience + times.answer;
                with_timeout(whole, hedge("operator", store, patience, watch, snapshot)).await?
            }
        };
        match news {
            OperatorNews::Snapshot(StoreRead { value: snapshot, skipped }) => {
                Ok(StoreRead { value: self.apply_snapshot(snapshot), skipped })
            }
            OperatorNews::Changes(StoreRead { value: changes, skipped }) => {
                if self.state.as_ref().is_some_and(|known| known.era != changes.era) {
                    return Err(StoreFault::Restored);
                }
                self.after = after;
                Ok(StoreRead { value: self.apply_changes(changes), skipped })
            }
        }
    }

    /// Whether the next call waits for changes.
    pub fn is_watch(&self) -> bool {
        self.after != 0 && self.state.is_some()
    }

    /// The next call reads the state completely.
    pub fn restart(&mut self) {
        self.after = 0;
    }

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
    max_delay: Duration,
}

/// Whether calls to the store may use a connection that earlier ones have left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreLink {
    /// The last call was answered.
    Kept,
    /// The last call failed: the next one needs a new connection.
    Lost,
}

impl StoreRetry {
    fn new(call: &'static str, max_delay: Duration) -> StoreRetry {
        StoreRetry { call, failed_since: None, delay: MIN_RETRY_DELAY, max_delay }
    }

    fn link(&self) -> StoreLink {
        match self.failed_since {
            None => StoreLink::Kept,
            Some(_) => StoreLink::Lost,
        }
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
        let delay = self.delay.min(self.max_delay);
        self.delay = delay * 2;
        delay.mul_f64(rand::rng().random_range(RETRY_JITTER))
    }
}

/// Watches the operator state in the store, until the process ends.
pub async fn follow_operator<D, S>(context: Arc<GatewayContext<D>>, store: Arc<S>)
where
    S: PublishedStore,
{
    let times = context.node.view(FleetNode::read_times);
    let mut watch = OperatorWatch::default();
    let mut retry = StoreRetry::new("operator", times.max_retry_delay);
    // Whether the last watch couldn't be decoded. The read after it doesn't end that.
    let mut unreadable = false;
    loop {
        if !context.node.run(|node, now, _| node.reads_operator(now)) {
            // Meanwhile changes come from peers; the next watch starts with a complete read.
            watch.restart();
            sleep(times.standby_check).await;
            continue;
        }
        let is_watch = watch.is_watch();
        let fault = match watch.next(&*store, &times, retry.link()).await {
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
                fault = fault.name(),
                "watch can't continue; reading the operator state again"
            );
            // All readers learn of it at the same time.
            let delay = MAX_REREAD_DELAY.mul_f64(rand::rng().random_range(0.0..1.0));
            sleep(delay).await;
            continue;
        }
        if fault == StoreFault::Malformed {
            // Events that can't be read may be in each answer until the watch starts after them.
            unreadable |= is_watch;
        }
        sleep(retry.record_failure(fault)).await;
    }
}

/// Makes a read. If the store is silent, it is asked a second time over a new connection beside the first call: a
/// slow store answers either of them, while a connection that has fallen silent never does.
async fn read_store<T, S, C, F>(
    call: &'static str,
    store: &S,
    times: &ReadTimes,
    link: StoreLink,
    read: C,
) -> Result<T, StoreFault>
where
    S: PublishedStore,
    C: Fn() -> F,
    F: Future<Output = Result<T, StoreFault>>,
{
    match link {
        StoreLink::Kept => {
            let answer = hedge(call, store, times.patience, read(), &read);
            with_timeout(times.answer, answer).await
        }
        StoreLink::Lost => {
            store.close_idle();
            with_timeout(times.answer, read()).await
        }
    }
}

/// Waits for a call, and from `patience` on for another one beside it over a new connection, whichever succeeds.
async fn hedge<T, S, A, C, B>(
    call: &'static str,
    store: &S,
    patience: Duration,
    first: A,
    second: C,
) -> Result<T, StoreFault>
where
    S: PublishedStore,
    A: Future<Output = Result<T, StoreFault>>,
    C: FnOnce() -> B,
    B: Future<Output = Result<T, StoreFault>>,
{
    tokio::pin!(first);
    if let Ok(answer) = timeout(patience, &mut first).await {
        return answer;
    }
    tracing::info!(
        call,
        silent_ms = patience.as_millis() as u64,
        "store is silent; asking it again over a new connection"
    );
    store.close_idle();
    let second = second();
    tokio::pin!(second);
    tokio::select! {
        answer = &mut first => match answer {
            Ok(value) => Ok(value),
            Err(_) => second.await,
        },
        answer = &mut second => match answer {
            Ok(value) => Ok(value),
            Err(_) => first.await,
        },
    }
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
    let times = context.node.view(FleetNode::read_times);
    let mut retry = StoreRetry::new("targets", times.max_retry_delay);
    loop {
        if !context.node.run(|node, now, _| node.reads_targets(now)) {
            sleep(times.standby_check).await;
            continue;
        }
        let started = Instant::now();
        let read = || store.read_targets();
        let pause = match read_store("targets", &*store, &times, retry.link(), read).await {
            Ok(StoreRead { value: listing, skipped }) => {
                context.metrics.store_calls.with_label_values(&["targets", "answered"]).inc();
                context.metrics.count_skipped_entries("targets", skipped);
                retry.record_success();
                // The listing may be as old as the start of the call.
                apply_listing(&context, &listing, started.elapsed());
                send_messages(&context).await;
                times.listing_interval.mul_f64(rand::rng().random_range(LISTING_JITTER))
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
    let times = context.node.view(FleetNode::read_times);
    let mut retry = StoreRetry::new("build_history", times.max_retry_delay);
    let mut pause = PEER_TIME;
    while Instant::now() < end {
        sleep(pause).await;
        pause = times.standby_check;
        if !context.node.run(|node, now, _| node.lacks_builds(now) && node.reads_targets(now)) {
            continue;
        }
        match with_timeout(times.answer, store.read_build_history()).await {
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

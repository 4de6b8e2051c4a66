//! Reads what is published: a watch on what operators write, and a listing of targets at intervals. When the
//! store gives no answer, peers are asked that have newer values.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use tarragon_fleet::prelude::*;
use tokio::time::{Instant, sleep, timeout};

use crate::{
    context::GatewayContext,
    platform::{OperatorChange, OperatorChanges, PublishedStore, StoreFault},
};

/// Longest wait of a watch. A connection that has gone silent is found after this time and
/// [`ANSWER_TIME`], within the bounds for a change to be in force.
const WATCH_TIME: Duration = Duration::from_millis(2_500);
/// Longest wait for an answer of the store, which takes milliseconds unless the store is in trouble.
const ANSWER_TIME: Duration = Duration::from_millis(800);
/// Interval of listings. A target that leaves must get nothing new within two seconds of its word.
const LISTING_INTERVAL: Duration = Duration::from_millis(900);
/// Interval at which a process that reads nothing looks whether it has to.
const IDLE_CHECK: Duration = Duration::from_millis(150);
/// Delay before a failed call is repeated; it doubles up to the longest.
const LEAST_DELAY: Duration = Duration::from_millis(100);
const LONGEST_DELAY: Duration = Duration::from_millis(800);

/// What the reader keeps between calls.
#[derive(Default)]
struct OperatorView {
    state: Option<OperatorState>,
    /// Revision from which the watch goes on.
    after: u64,
}

impl OperatorView {
    /// Takes a whole reading. The state gets a new revision only if it has changed, so that peers with the
    /// same state don't ask for it.
    fn take_reading(&mut self, reading: OperatorState) -> Option<OperatorState> {
        self.after = reading.revision;
        let same = self.state.as_ref().is_some_and(|known| {
            known.configuration == reading.configuration && known.evacuated == reading.evacuated
        });
        if same {
            return None;
        }
        self.state = Some(reading.clone());
        Some(reading)
    }

    fn take_changes(&mut self, changes: OperatorChanges) -> Option<OperatorState> {
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

/// Tells when the store is lost and regained, and how long to wait before the next call.
struct StoreHealth {
    call: &'static str,
    failed: Option<Instant>,
    delay: Duration,
}

impl StoreHealth {
    fn new(call: &'static str) -> StoreHealth {
        StoreHealth { call, failed: None, delay: LEAST_DELAY }
    }

    fn succeed(&mut self) {
        if let Some(since) = self.failed.take() {
            let away_ms = since.elapsed().as_millis() as u64;
            tracing::info!(call = self.call, away_ms, "store answers again");
        }
        self.delay = LEAST_DELAY;
    }

    /// The delay before the next call.
    fn fail(&mut self, fault: StoreFault) -> Duration {
        if self.failed.is_none() {
            tracing::warn!(call = self.call, fault = fault.name(), "store gives no answer");
            self.failed = Some(Instant::now());
        }
        let delay = self.delay;
        self.delay = (delay * 2).min(LONGEST_DELAY);
        delay.mul_f64(rand::rng().random_range(0.7..1.3))
    }
}

/// Follows what operators publish, until the process ends.
pub async fn follow_operator<D, S>(context: Arc<GatewayContext<D>>, store: Arc<S>)
where
    S: PublishedStore,
{
    let mut view = OperatorView::default();
    let mut health = StoreHealth::new("operator");
    loop {
        if !context.node.run(|node, now, _| node.reads_operator(now)) {
            // What changes meanwhile comes from peers; the next watch starts with a whole reading.
            view.after = 0;
            sleep(IDLE_CHECK).await;
            continue;
        }
        let fault = match next_state(&mut view, &*store).await {
            Ok(state) => {
                context.metrics.store_calls.with_label_values(&["operator", "answered"]).inc();
                health.succeed();
                if let Some(state) = state {
                    take_state(&context, state, "store");
                }
                context.node.run(|node, now, _| node.confirm_operator(now));
                continue;
            }
            Err(fault) => fault,
        };
        context.metrics.store_calls.with_label_values(&["operator", fault.name()]).inc();
        if fault == StoreFault::Compacted {
            tracing::info!(after = view.after, "history is gone; operator state is read anew");
            view.after = 0;
            continue;
        }
        sleep(health.fail(fault)).await;
    }
}

async fn next_state<S>(
    view: &mut OperatorView,
    store: &S,
) -> Result<Option<OperatorState>, StoreFault>
where
    S: PublishedStore,
{
    if view.after == 0 || view.state.is_none() {
        let reading = limited(ANSWER_TIME, store.read_operator()).await?;
        return Ok(view.take_reading(reading));
    }
    let limit = WATCH_TIME + ANSWER_TIME;
    let changes = limited(limit, store.watch_operator(view.after, WATCH_TIME)).await?;
    Ok(view.take_changes(changes))
}

/// Takes operators' state into force.
pub fn take_state<D>(context: &GatewayContext<D>, state: OperatorState, source: &str) {
    let (new, version) = context.node.run(|node, now, actions| {
        let new = node.take_operator(now, state, source, actions);
        (new, node.operator().version())
    });
    if new {
        context.node.urgent.notify_one();
    }
    context.metrics.configuration_version.set(i64::try_from(version).unwrap_or(i64::MAX));
}

/// Reads the listing of targets at intervals, until the process ends.
pub async fn follow_targets<D, S>(context: Arc<GatewayContext<D>>, store: Arc<S>)
where
    S: PublishedStore,
{
    let mut health = StoreHealth::new("targets");
    loop {
        if !context.node.run(|node, now, _| node.reads_targets(now)) {
            sleep(IDLE_CHECK).await;
            continue;
        }
        let started = Instant::now();
        let pause = match limited(ANSWER_TIME, store.read_targets()).await {
            Ok(listing) => {
                context.metrics.store_calls.with_label_values(&["targets", "answered"]).inc();
                health.succeed();
                // The listing is as old as the call that asked for it.
                take_listing(&context, &listing, started.elapsed());
                LISTING_INTERVAL.mul_f64(rand::rng().random_range(0.9..1.1))
            }
            Err(fault) => {
                context.metrics.store_calls.with_label_values(&["targets", fault.name()]).inc();
                health.fail(fault)
            }
        };
        sleep(pause).await;
    }
}

/// Takes a listing that was read `age` ago, and closes idle connections to targets that are gone.
pub fn take_listing<D>(context: &GatewayContext<D>, listing: &TargetListing, age: Duration) {
    context.node.run(|node, now, actions| node.take_listing(now, listing, age, actions));
    context.node.view(|node| {
        context.pool.retain(|address| node.directory().get(address).is_some());
    });
}

async fn limited<T, F>(limit: Duration, call: F) -> Result<T, StoreFault>
where
    F: Future<Output = Result<T, StoreFault>>,
{
    timeout(limit, call).await.unwrap_or(Err(StoreFault::TimedOut))
}

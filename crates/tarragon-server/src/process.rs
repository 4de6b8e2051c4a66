//! What all tasks of one process share.

use std::{
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use tarragon_cluster::event::RelayTarget;
use tarragon_config::rules::RuleSet;
use tarragon_node::prelude::WriteCheck;
use tarragon_protocol::prelude::*;
use tarragon_scheduler::event::AttemptEnd;
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    caller::{body::MEMORY_RETRY_AFTER, listener::ConnectionBounds},
    clock::{BootClock, ProcessClock},
    memory::{MemoryAccount, MemoryCharge, MemoryShare},
    metrics::ServerMetrics,
    node_task::NodeLink,
    peer::client::PeerClient,
    request::DispatchOrder,
    settings::ServeSettings,
    target::{body::AnswerRoom, pool::ConnectionPool, timeouts::TargetTimeouts},
};

/// Interval of the checks while the node learns what happened during a pause.
const WRITE_RETRY: Duration = Duration::from_millis(100);

/// What the node last published for the tasks that serve callers.
#[derive(Debug, Clone, Default)]
pub struct ProcessView {
    /// Rules in force.
    pub rules: Arc<RuleSet>,
    /// Whether the load balancer shall send work here.
    pub ready: bool,
    /// Where new work goes if it can't be served here.
    pub relay: Option<RelayTarget>,
    /// Whether the process is shutting down.
    pub draining: bool,
}

/// When the caller has no more use for an answer, on both clocks: the runtime's clock stands still
/// while the machine is suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Deadline {
    /// By the runtime's clock.
    pub instant: Instant,
    /// By the boot clock.
    pub boot: Duration,
}

impl Deadline {
    /// A deadline that is `remaining` away.
    pub fn after(clock: &ProcessClock, remaining: Duration) -> Deadline {
        Deadline { instant: Instant::now() + remaining, boot: clock.boot() + remaining }
    }

    /// Time left, on the clock that shows less.
    pub fn remaining(&self, clock: &ProcessClock) -> Duration {
        let by_runtime = self.instant.saturating_duration_since(Instant::now());
        by_runtime.min(self.boot.saturating_sub(clock.boot()))
    }

    /// Whether it has passed.
    pub fn has_passed(&self, clock: &ProcessClock) -> bool {
        self.remaining(clock).is_zero()
    }
}

/// Gives ids to requests.
#[derive(Debug)]
pub struct RequestIds {
    prefix: u32,
    next: AtomicU32,
}

impl RequestIds {
    /// Ids that start with a prefix, which is random per process.
    pub fn new(prefix: u32) -> RequestIds {
        RequestIds { prefix, next: AtomicU32::new(1) }
    }

    /// The next id.
    pub fn next(&self) -> RequestId {
        let count = self.next.fetch_add(1, Ordering::Relaxed);
        (u64::from(self.prefix) << 32) | u64::from(count)
    }
}

/// What all tasks of one process share.
pub struct ProcessContext {
    /// Settings.
    pub settings: Arc<ServeSettings>,
    /// Connection to the node's task.
    pub link: NodeLink,
    /// Connections to targets.
    pub pool: ConnectionPool,
    /// Account of the memory that is held for callers, peers and answers.
    pub memory: MemoryAccount,
    /// Room in that account for answers that are read whole.
    pub answers: AnswerRoom,
    /// How many connections of callers it may have.
    pub connection_bounds: ConnectionBounds,
    /// Client for calls to other entry VMs.
    pub peers: PeerClient,
    /// Metrics.
    pub metrics: ServerMetrics,
    /// Time-outs of calls to targets.
    pub timeouts: TargetTimeouts,
    /// Clocks.
    pub clock: ProcessClock,
    /// State that the node publishes.
    pub view: watch::Receiver<ProcessView>,
    /// Ids of requests.
    pub ids: RequestIds,
    /// Tasks that shutdown waits for.
    pub tasks: TaskTracker,
    /// Cancelled when the process ends at once.
    pub abort: CancellationToken,
    /// Cancelled when shutdown is asked for.
    pub drain: CancellationToken,
}

impl ProcessContext {
    /// The check right before the first byte of an attempt is written: the node checks data centre,
    /// target and ticket, and both clocks must be before the deadline. The error is how the attempt ends.
    pub async fn may_write(
        &self,
        order: &DispatchOrder,
        deadline: Deadline,
    ) -> Result<(), AttemptEnd> {
        loop {
            let check = self.link.may_write(order.request, order.attempt).await;
            // Checked last: the process may have been paused while it waited for the node.
            if deadline.has_passed(&self.clock) {
                return Err(AttemptEnd::Withheld);
            }
            match check {
                WriteCheck::Write => return Ok(()),
                WriteCheck::OutOfService => return Err(AttemptEnd::NotSent),
                WriteCheck::Withhold => return Err(AttemptEnd::Withheld),
                WriteCheck::Wait => sleep(WRITE_RETRY).await,
            }
        }
    }

    /// Starts a task that shutdown waits for and that ends at once on abort.
    pub fn spawn<F>(&self, work: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.tasks.spawn(self.abort.clone().run_until_cancelled_owned(work));
    }

    /// Charges memory if it fits now. A request that gets none is refused.
    pub fn charge(&self, share: MemoryShare, bytes: usize) -> Result<MemoryCharge, Refusal> {
        self.memory.charge_now(share, bytes).ok_or_else(|| self.memory_refusal(share))
    }

    /// The refusal of a request for which there is no memory.
    pub fn memory_refusal(&self, share: MemoryShare) -> Refusal {
        self.metrics.memory_refused(share);
        tracing::info!(share = share.name(), used = self.memory.used(share), "refused: no memory");
        let message = "the process has no memory for the request at present; repeat later";
        Refusal::not_run(RefusalCode::Shed, message).with_retry_after(MEMORY_RETRY_AFTER)
    }

    /// The rules in force.
    pub fn rules(&self) -> Arc<RuleSet> {
        self.view.borrow().rules.clone()
    }
}

//! State that all tasks of one process share.

use std::{future::Future, sync::Arc, time::Duration};

use tarragon_config::settings::GatewaySettings;
use tarragon_fleet::prelude::*;
use tarragon_server::{
    clock::ProcessClock,
    memory::MemoryAccount,
    process::RequestIds,
    target::{body::AnswerRoom, pool::ConnectionPool},
};
use tokio::time::sleep;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    connections::ConnectionTable, evidence::CacheEvidence, metrics::GatewayMetrics,
    origins::OriginLink, relay::RelayLink, shared_node::SharedNode,
};

/// Delay before a task that has panicked is started again, so that one that keeps failing uses little.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Time limits of calls to targets and of answers to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForwardLimits {
    /// Longest time to connect to a target. Data centres are milliseconds apart, so a connection that takes
    /// longer means that the target or the link is down.
    pub connect: Duration,
    /// Longest wait for data from a target before a stream that can be resumed moves to another target.
    pub stream_silence: Duration,
    /// Longest wait for a caller to read a part of its answer.
    pub caller_stall: Duration,
    /// Largest answer that is not streamed, in bytes.
    pub answer_bytes: usize,
    /// Largest body of a rejection, in bytes, that is read in order to reuse the connection.
    pub rejection_bytes: usize,
    /// Longest time to read such a body. Meanwhile the request waits before it is sent to its next
    /// target.
    pub rejection_time: Duration,
}

impl Default for ForwardLimits {
    fn default() -> ForwardLimits {
        ForwardLimits {
            connect: Duration::from_millis(300),
            stream_silence: Duration::from_millis(1_500),
            caller_stall: Duration::from_secs(5),
            answer_bytes: 4 << 20,
            rejection_bytes: 16 << 10,
            rejection_time: Duration::from_millis(100),
        }
    }
}

/// State that all tasks of one process share.
pub struct GatewayContext<D> {
    /// Settings.
    pub settings: GatewaySettings,
    /// Headers and status codes of callers and targets.
    pub protocol: D,
    /// The fleet's node, which decides where requests go.
    pub node: Arc<SharedNode>,
    /// Messages with peers about which build began a stream.
    pub origins: OriginLink,
    /// What the engines' caches hold, for streams that nobody has a record of.
    pub evidence: CacheEvidence,
    /// Pool of connections to targets.
    pub pool: ConnectionPool,
    /// Attempts that go over peers, and those of peers.
    pub relays: RelayLink,
    /// Metrics.
    pub metrics: GatewayMetrics,
    /// Clocks.
    pub clock: ProcessClock,
    /// Time limits.
    pub limits: ForwardLimits,
    /// Account of the memory that is held for callers, peers and answers.
    pub memory: MemoryAccount,
    /// Room in that account for answers that are buffered.
    pub answers: AnswerRoom,
    /// Open connections of callers.
    pub connections: Arc<ConnectionTable>,
    /// Generates the process's own ids of requests.
    pub ids: RequestIds,
    /// Tasks that shutdown waits for.
    pub tasks: TaskTracker,
    /// Cancelled when the process is about to end and open requests get their final answers.
    pub ending: CancellationToken,
    /// Cancelled when the process aborts or has shut down.
    pub abort: CancellationToken,
}

impl<D> GatewayContext<D> {
    /// Limits on the requests of callers.
    pub fn caller_limits(&self) -> CallerLimits {
        self.node.view(|node| {
            let configuration = node.operator_state().configuration.as_ref();
            configuration.map_or_else(CallerLimits::default, |known| known.limits)
        })
    }

    /// Spawns a task that shutdown waits for, and that is cancelled when the process aborts.
    pub fn spawn<F>(&self, work: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.tasks.spawn(self.abort.clone().run_until_cancelled_owned(work));
    }

    /// Spawns a task that shutdown doesn't wait for, and that is cancelled when the process aborts. If it
    /// panics, it is started again.
    pub fn spawn_background<W, F>(&self, name: &'static str, work: W)
    where
        W: Fn() -> F + Send + 'static,
        F: Future<Output = ()> + Send + 'static,
    {
        let (abort, restarts) = (self.abort.clone(), self.metrics.restarted_tasks.clone());
        tokio::spawn(async move {
            loop {
                let task = tokio::spawn(abort.clone().run_until_cancelled_owned(work()));
                let Err(error) = task.await else { return };
                tracing::error!(task = name, %error, "task ended by a panic; starting it again");
                restarts.with_label_values(&[name]).inc();
                sleep(RESTART_DELAY).await;
            }
        });
    }
}

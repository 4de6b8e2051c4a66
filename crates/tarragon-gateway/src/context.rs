//! What all tasks of one process share.

use std::{future::Future, sync::Arc, time::Duration};

use tarragon_config::settings::GatewaySettings;
use tarragon_fleet::prelude::*;
use tarragon_server::{
    clock::ProcessClock,
    process::RequestIds,
    target::{body::AnswerRoom, pool::ConnectionPool},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{metrics::GatewayMetrics, shared_node::SharedNode};

/// Time limits of calls to targets and of answers to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForwardLimits {
    /// For a connection to a target. Data centres are milliseconds apart, so that a connection which takes
    /// longer meets a target or a link that is down.
    pub connect: Duration,
    /// Longest silence of a target before another one gets a stream that may go on elsewhere.
    pub stream_silence: Duration,
    /// Longest wait for a caller to take a part of its answer.
    pub caller_stall: Duration,
    /// Largest answer that is not streamed, in bytes.
    pub answer_bytes: usize,
    /// Largest body of a rejection that is read so that its connection can be used again, in bytes.
    pub rejection_bytes: usize,
    /// Longest time for which such a body is read. The request waits for its next target meanwhile.
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

/// What all tasks of one process share.
pub struct GatewayContext<D> {
    /// Settings.
    pub settings: GatewaySettings,
    /// What callers and targets speak.
    pub protocol: D,
    /// Decisions.
    pub node: Arc<SharedNode>,
    /// Connections to targets.
    pub pool: ConnectionPool,
    /// Metrics.
    pub metrics: GatewayMetrics,
    /// Clocks.
    pub clock: ProcessClock,
    /// Time limits.
    pub limits: ForwardLimits,
    /// Room for answers that are read whole.
    pub answers: AnswerRoom,
    /// Ids of requests.
    pub ids: RequestIds,
    /// Tasks that shutdown waits for.
    pub tasks: TaskTracker,
    /// Cancelled when the process ends.
    pub abort: CancellationToken,
}

impl<D> GatewayContext<D> {
    /// Bounds for what callers send.
    pub fn caller_limits(&self) -> CallerLimits {
        self.node.view(|node| {
            let configuration = node.operator().configuration.as_ref();
            configuration.map_or_else(CallerLimits::default, |known| known.limits)
        })
    }

    /// Starts a task that shutdown waits for and that ends at once with the process.
    pub fn spawn<F>(&self, work: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.tasks.spawn(self.abort.clone().run_until_cancelled_owned(work));
    }

    /// Starts a task that shutdown doesn't wait for and that ends at once with the process.
    pub fn spawn_background<F>(&self, work: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        tokio::spawn(self.abort.clone().run_until_cancelled_owned(work));
    }
}

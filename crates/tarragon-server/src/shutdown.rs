//! Graceful shutdown: no new work, running work ends, records go to a successor, peers learn of it. A
//! second signal ends the process at once.

use std::{sync::Arc, time::Duration};

use anyhow::bail;
use jsonrpsee::server::ServerHandle as RpcEnd;
use tarragon_cluster::event::{ClusterEvent, PeerAddress};
use tarragon_node::prelude::*;
use tarragon_protocol::peer::HandoverMessage;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::{Instant, sleep, timeout_at},
};
use tokio_util::sync::CancellationToken;

use crate::{
    caller::listener::ListenerSignals,
    peer::{
        client::{PeerFault, TRANSFER_LIMIT},
        envelope::PeerMethod,
    },
    process::ProcessContext,
};

/// Time for the load balancer to see that the process is not ready, in which requests that still arrive
/// are relayed or refused rather than cut off.
const LINGER: Duration = Duration::from_millis(500);
/// Longest time for which connections are still accepted while requests end.
const OPEN_TIME: Duration = Duration::from_secs(10);
/// Time that is kept for the handover, from the end of the drain time-out.
const HANDOVER_RESERVE: Duration = Duration::from_secs(5);
/// Time, at the end of the drain time-out, to write the final answers of requests that could not be completed.
const ENDING_TIME: Duration = Duration::from_millis(300);
/// Peers that are asked at most to take the records.
const MAX_SUCCESSORS: usize = 8;
/// Time for the news of the successor to reach the peers.
const NEWS_TIME: Duration = Duration::from_millis(200);

/// What shutdown ends.
pub struct ShutdownParts {
    /// The process.
    pub process: Arc<ProcessContext>,
    /// Listener for callers.
    pub callers: ListenerSignals,
    /// Listeners for peers and operators.
    pub others: ListenerSignals,
    /// Ends the node's task.
    pub end_node: CancellationToken,
    /// Keeps the JSON-RPC service running.
    pub rpc_end: RpcEnd,
}

/// How a shutdown went.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShutdownReport {
    /// Requests and streams that were cut off.
    pub interrupted: usize,
    /// Whether the process was ended at once.
    pub aborted: bool,
    /// VM that holds the records now.
    pub successor: Option<VmName>,
}

impl ShutdownReport {
    /// An error if requests were cut off.
    pub fn into_result(self) -> anyhow::Result<()> {
        if self.interrupted > 0 {
            bail!("{} requests were cut off", self.interrupted);
        }
        Ok(())
    }
}

/// The signals that end a process.
pub struct EndSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl EndSignals {
    /// Receives the signals from now on.
    pub fn install() -> anyhow::Result<EndSignals> {
        let terminate = signal(SignalKind::terminate())?;
        Ok(EndSignals { terminate, interrupt: signal(SignalKind::interrupt())? })
    }

    /// Starts a graceful shutdown at the first signal and ends everything at the second, also if the
    /// shutdown was started in another way.
    pub async fn watch(mut self, drain: CancellationToken, abort: CancellationToken) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => {}
                _ = self.interrupt.recv() => {}
            }
            if drain.is_cancelled() {
                tracing::error!("a second signal ends the process at once");
                abort.cancel();
                return;
            }
            tracing::info!("a signal starts a graceful shutdown");
            drain.cancel();
        }
    }
}

/// Waits for the call to shut down and carries it out.
pub async fn run(parts: ShutdownParts) -> ShutdownReport {
    let process = parts.process.clone();
    let abort = process.abort.clone();
    let report = tokio::select! {
        biased;
        () = abort.cancelled() => None,
        report = drain(&parts) => Some(report),
    };
    let report = report.unwrap_or_else(|| ShutdownReport {
        interrupted: process.tasks.len(),
        aborted: true,
        successor: None,
    });
    if report.interrupted > 0 {
        let in_flight = process.metrics.in_flight_by_tier();
        tracing::error!(requests = report.interrupted, ?in_flight, "cut off requests");
    }
    parts.callers.close.cancel();
    parts.others.close.cancel();
    process.abort.cancel();
    parts.end_node.cancel();
    // The service has ended before if this fails.
    let _ = parts.rpc_end.stop();
    report
}

async fn drain(parts: &ShutdownParts) -> ShutdownReport {
    let process = &parts.process;
    process.drain.cancelled().await;
    let limit = process.settings.drain_timeout;
    let end = Instant::now() + limit;
    let work_end = end - HANDOVER_RESERVE.min(limit / 3);
    tracing::info!(requests = process.tasks.len(), "graceful shutdown has started");
    process.link.event(NodeEvent::DrainStarted).await;
    let planned_end = WorkEnd { at: work_end.into_std(), reserve: start_reserve(limit) };
    process.link.event(NodeEvent::Scheduler(SchedulerEvent::EndPlanned(planned_end))).await;
    sleep(LINGER.min(limit / 10)).await;
    process.tasks.close();
    parts.callers.connections.close();
    // While requests run, the listener stays open for a while: the load balancer sees late that the
    // process is not ready. Later, a caller that keeps sending must not keep the process alive.
    let open_end = work_end.min(Instant::now() + OPEN_TIME);
    let _ = timeout_at(open_end, process.tasks.wait()).await;
    parts.callers.close.cancel();
    let requests_ended = timeout_at(work_end, process.tasks.wait()).await.is_ok();
    let connections_ended = timeout_at(work_end, parts.callers.connections.wait()).await.is_ok();
    let cut_requests = if requests_ended { 0 } else { process.tasks.len() };
    let cut_connections = if connections_ended { 0 } else { parts.callers.connections.len() };
    let successor = hand_over(process, end - ENDING_TIME.min(limit / 20)).await;
    // Only now: a call whose record was handed over may still have brought its answer.
    process.link.event(NodeEvent::Scheduler(SchedulerEvent::EndReached(usize::MAX))).await;
    let _ = timeout_at(end, process.tasks.wait()).await;
    let _ = timeout_at(end, parts.callers.connections.wait()).await;
    // Answers to relayed and forwarded requests may still be on their way to other entry VMs.
    parts.others.close.cancel();
    parts.others.connections.close();
    let _ = timeout_at(end, parts.others.connections.wait()).await;
    let interrupted = cut_requests.max(cut_connections);
    ShutdownReport { interrupted, aborted: false, successor }
}

/// Sends the records to one successor. Only a peer that can't have got them is passed over, so that two
/// processes never answer for the same tickets.
async fn hand_over(process: &ProcessContext, end: Instant) -> Option<VmName> {
    let messages = process.link.freeze_records().await;
    for _ in 0..MAX_SUCCESSORS {
        let Some(peer) = process.link.successor().await else { break };
        match send_records(process, &peer, &messages, end).await {
            Ok(Some(successor)) => {
                announce_successor(process, &peer, &messages, successor).await;
                return Some(peer.vm);
            }
            Ok(None) => {
                tracing::warn!(peer = &*peer.vm, "a successor has no room for the records");
                process.link.successor_refused(peer).await;
            }
            Err(PeerFault::Refused) => {
                tracing::warn!(peer = &*peer.vm, "a successor can't be reached");
                process.link.successor_refused(peer).await;
            }
            Err(fault) => {
                tracing::error!(peer = &*peer.vm, %fault, "the successor did not confirm the records");
                return None;
            }
        }
    }
    tracing::warn!("no peer takes the records; their tickets are answered as unknown");
    None
}

async fn send_records(
    process: &ProcessContext,
    peer: &PeerAddress,
    messages: &[HandoverMessage],
    end: Instant,
) -> Result<Option<PeerIdentity>, PeerFault> {
    let mut successor = None;
    for message in messages {
        let limit = TRANSFER_LIMIT.min(end.saturating_duration_since(Instant::now()));
        let method = PeerMethod::Handover;
        let reply = process.peers.call::<_, bool>(peer, method, message, limit).await;
        let reply = match reply {
            // Part of the records has arrived: no other peer may get them.
            Err(PeerFault::Refused) if successor.is_some() => {
                return Err(PeerFault::Lost("the successor has gone".to_owned()));
            }
            reply => reply?,
        };
        if !reply.content {
            return Ok(None);
        }
        successor = Some(reply.sender);
    }
    Ok(successor)
}

async fn announce_successor(
    process: &ProcessContext,
    peer: &PeerAddress,
    messages: &[HandoverMessage],
    successor: PeerIdentity,
) {
    for message in messages {
        let entry = SuccessorEntry {
            owner: message.owner.clone(),
            successor: successor.clone(),
            peer_address: peer.address.clone(),
            age_ms: 0,
        };
        process.link.cluster_event(ClusterEvent::HandoverCompleted(entry)).await;
    }
    tracing::info!(successor = &*peer.vm, "the successor holds the records");
    sleep(NEWS_TIME).await;
}

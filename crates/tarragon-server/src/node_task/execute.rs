//! Executes what the node wants done outside: calls of peers, platform and targets. Each call runs in a
//! task of its own and reports back by an event.

use std::{future::Future, sync::Arc, time::Duration};

use indexmap::IndexMap;
use tarragon_cluster::{
    codec::encode_digest,
    event::{ClusterAction, ClusterEvent, PeerAddress, PlatformRead, RelayTarget},
};
use tarragon_config::publication::Configuration;
use tarragon_node::prelude::*;
use tarragon_protocol::{
    engine::EngineOrder,
    peer::{ConfigurationTransfer, VmListTransfer},
    platform::PublishedTarget,
};
use tarragon_scheduler::event::SchedulerEvent;
use tokio::sync::watch;

use crate::{
    guarded::Guarded,
    peer::{
        client::{NEWS_LIMIT, TRANSFER_LIMIT},
        envelope::PeerMethod,
    },
    platform::PlatformClient,
    process::{ProcessContext, ProcessView},
    target::poll::{poll_cache, poll_load, send_order},
};

/// Longest time for a peer to lend a slot. A slot that comes later is of no use to the waiting request.
const BORROW_LIMIT: Duration = Duration::from_millis(500);

/// Executes cluster actions.
pub(super) struct ActionRunner {
    process: Arc<ProcessContext>,
    platform: PlatformClient,
    addresses: IndexMap<TargetName, String>,
    /// Number of the last cache event of each engine.
    cache_sequences: Arc<Guarded<IndexMap<TargetName, u64>>>,
}

impl ActionRunner {
    pub(super) fn new(process: Arc<ProcessContext>, platform: PlatformClient) -> ActionRunner {
        ActionRunner {
            process,
            platform,
            addresses: IndexMap::new(),
            cache_sequences: Arc::default(),
        }
    }

    /// Address of a target.
    pub(super) fn address(&self, target: &TargetName) -> Option<&str> {
        self.addresses.get(target).map(String::as_str)
    }

    /// Executes one action. `view` is where the state for other tasks is published.
    pub(super) fn execute(&mut self, action: ClusterAction, view: &watch::Sender<ProcessView>) {
        match action {
            ClusterAction::SendGossip(peer, digest) => {
                self.send_news(peer, PeerMethod::Gossip, encode_digest(&digest));
            }
            ClusterAction::SendAnnouncement(peers, news) => {
                for peer in peers {
                    self.send_news(peer, PeerMethod::Announce, news.clone());
                }
            }
            ClusterAction::ReadPlatform(read) => self.read_platform(read),
            ClusterAction::PullConfiguration(peer, version) => {
                self.pull_configuration(peer, version)
            }
            ClusterAction::PullVmList(peer, version) => self.pull_vm_list(peer, version),
            ClusterAction::PollTarget(target) => self.poll_target(target),
            ClusterAction::BorrowSlot(peer, target) => self.borrow_slot(peer, target),
            ClusterAction::ReturnSlot(peer, grant) => {
                self.send_news(peer, PeerMethod::ReturnSlot, grant);
            }
            ClusterAction::SendOrder(target, order) => self.send_order(target, order),
            ClusterAction::ConfigurationApplied(applied) => self.apply(&applied, view),
            ClusterAction::ConfigurationRefused(version, findings) => {
                self.process.metrics.refused_configurations.inc();
                tracing::error!(version, %findings, "refused a configuration; the last good one stays");
            }
            ClusterAction::TargetsChanged(targets) => self.list_targets(targets),
            ClusterAction::ReadyChanged(ready) => {
                tracing::info!(ready, "readiness changed");
                view.send_modify(|view| view.ready = ready);
            }
            ClusterAction::RelayChanged(relay) => change_relay(relay, view),
            // The node passes these on to the scheduler.
            ClusterAction::SlotsChanged(_)
            | ClusterAction::LoadUpdated(_)
            | ClusterAction::PressureReceived { .. }
            | ClusterAction::PeerForgotten(_)
            | ClusterAction::SuspectReceived(_) => {}
        }
    }

    fn send_news<T>(&self, peer: PeerAddress, method: PeerMethod, news: T)
    where
        T: serde::Serialize + Send + Sync + 'static,
    {
        let process = self.process.clone();
        self.spawn(async move {
            let sent = process.peers.call::<_, ()>(&peer, method, &news, NEWS_LIMIT).await;
            if let Err(fault) = sent {
                tracing::debug!(peer = &*peer.vm, method = method.name(), %fault, "news was not sent");
                process.link.cluster_event(ClusterEvent::PeerUnreachable(peer)).await;
            }
        });
    }

    fn read_platform(&self, read: PlatformRead) {
        let (process, platform) = (self.process.clone(), self.platform.clone());
        self.spawn(async move {
            let answer = platform.read(&read).await;
            process.link.cluster_event(ClusterEvent::PlatformAnswered(read, answer)).await;
        });
    }

    fn pull_configuration(&self, peer: PeerAddress, version: ConfigurationVersion) {
        let process = self.process.clone();
        self.spawn(async move {
            let method = PeerMethod::PullConfiguration;
            let answer = process
                .peers
                .call::<_, Option<ConfigurationTransfer>>(&peer, method, &version, TRANSFER_LIMIT)
                .await;
            let event = match answer {
                Ok(reply) => {
                    let Some(transfer) = reply.content else { return };
                    ClusterEvent::ConfigurationReceived(peer, transfer)
                }
                Err(_) => ClusterEvent::PeerUnreachable(peer),
            };
            process.link.cluster_event(event).await;
        });
    }

    fn pull_vm_list(&self, peer: PeerAddress, version: u64) {
        let process = self.process.clone();
        self.spawn(async move {
            let method = PeerMethod::PullVmList;
            let answer = process
                .peers
                .call::<_, Option<VmListTransfer>>(&peer, method, &version, TRANSFER_LIMIT)
                .await;
            let event = match answer {
                Ok(reply) => {
                    let Some(transfer) = reply.content else { return };
                    ClusterEvent::VmListReceived(peer, transfer)
                }
                Err(_) => ClusterEvent::PeerUnreachable(peer),
            };
            process.link.cluster_event(event).await;
        });
    }

    fn poll_target(&self, target: PublishedTarget) {
        let process = self.process.clone();
        let sequences = self.cache_sequences.clone();
        let rules = process.rules();
        let has_cache = rules
            .services
            .get(&target.service)
            .is_some_and(|rule| rule.kind == tarragon_config::rules::ServiceKind::Model);
        self.spawn(async move {
            let report = poll_load(&process.pool, &target.address).await;
            let answered = report.is_some();
            let event = ClusterEvent::TargetPolled(target.target.clone(), report);
            process.link.cluster_event(event).await;
            if has_cache && answered {
                report_cache(&process, &sequences, target).await;
            }
        });
    }

    fn borrow_slot(&self, peer: PeerAddress, target: TargetName) {
        let process = self.process.clone();
        self.spawn(async move {
            let method = PeerMethod::BorrowSlot;
            let answer = process
                .peers
                .call::<_, Option<SlotGrant>>(&peer, method, &target, BORROW_LIMIT)
                .await;
            let grant = answer.ok().and_then(|reply| reply.content);
            let event = ClusterEvent::BorrowAnswered(peer, target, grant);
            process.link.cluster_event(event).await;
        });
    }

    fn send_order(&self, target: PublishedTarget, order: EngineOrder) {
        let process = self.process.clone();
        self.spawn(async move {
            let taken = send_order(&process.pool, &target.address, &order).await;
            process.link.cluster_event(ClusterEvent::OrderAnswered(target.target, taken)).await;
        });
    }

    fn apply(&self, applied: &Arc<Configuration>, view: &watch::Sender<ProcessView>) {
        tracing::info!(version = applied.version, "a configuration is in force");
        let version = i64::try_from(applied.version).unwrap_or(i64::MAX);
        self.process.metrics.configuration_version.set(version);
        view.send_modify(|view| view.rules = applied.rules.clone());
    }

    fn list_targets(&mut self, targets: Vec<(PublishedTarget, bool)>) {
        self.addresses =
            targets.into_iter().map(|(target, _)| (target.target, target.address)).collect();
        let addresses = &self.addresses;
        self.process.pool.retain(|address| addresses.values().any(|other| other == address));
        self.cache_sequences.with(|sequences| {
            sequences.retain(|target, _| addresses.contains_key(target));
        });
    }

    /// Control calls have time limits, and shutdown does not wait for them.
    fn spawn<F>(&self, work: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let abort = self.process.abort.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = abort.cancelled() => {}
                () = work => {}
            }
        });
    }
}

async fn report_cache(
    process: &ProcessContext,
    sequences: &Guarded<IndexMap<TargetName, u64>>,
    target: PublishedTarget,
) {
    let after = sequences.with(|sequences| sequences.get(&target.target).copied().unwrap_or(0));
    let Some(events) = poll_cache(&process.pool, &target.address, after).await else { return };
    let Some(last) = events.last() else { return };
    sequences.with(|sequences| sequences.insert(target.target.clone(), last.sequence));
    process.link.send(SchedulerEvent::CacheReported(target.target, events)).await;
}

fn change_relay(relay: Option<RelayTarget>, view: &watch::Sender<ProcessView>) {
    let peers = relay.as_ref().map_or(0, |relay| relay.peers.len());
    tracing::info!(relays = relay.is_some(), peers, "the way of new work changed");
    view.send_modify(|view| view.relay = relay);
}

//! Carries out what a node decides.

use std::time::Duration;

use tarragon_cluster::{
    codec::encode_digest,
    event::{ClusterAction, ClusterEvent, PlatformAnswer, PlatformRead},
};
use tarragon_node::prelude::*;
use tarragon_protocol::peer::PeerAnnouncement;
use tarragon_scheduler::event::SchedulerAction;

use super::{World, WorldEvent};
use crate::soak::{
    message::{PeerCallKind, RequestAnswer, VmMessage},
    mutation::Mutation,
    network::Endpoint,
    platform::{WATCH_TIME, WaitingWatch},
};

/// Time after which a call of the platform that gets no answer fails.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

impl World {
    pub(super) fn act_all(&mut self, vm: usize, actions: Vec<NodeAction>) {
        for action in actions {
            match action {
                NodeAction::Scheduler(action) => self.act_scheduler(vm, action),
                NodeAction::Cluster(action) => self.act_cluster(vm, action),
                NodeAction::Relay { request, peers } => self.relay(vm, request, peers),
                NodeAction::TicketResolved { sequence, answer } => {
                    self.resolve_ticket(vm, sequence, answer)
                }
            }
        }
    }

    fn act_scheduler(&mut self, vm: usize, action: SchedulerAction) {
        match action {
            SchedulerAction::Dispatch { request, attempt, target } => {
                self.dispatch(vm, request, attempt, &target)
            }
            SchedulerAction::Refuse { request, refusal } => self.refuse(vm, request, refusal),
            SchedulerAction::Cancel { request, attempt } => {
                self.cancel_attempt(vm, request, attempt)
            }
            SchedulerAction::AnnounceFloor(_)
            | SchedulerAction::AnnounceSuspect(_)
            | SchedulerAction::PollTarget(_) => {}
        }
    }

    fn refuse(&mut self, vm: usize, request: RequestId, refusal: Refusal) {
        self.journal.note(
            self.now,
            format_args!("vm{vm} {request:x} refused {:?} {}", refusal.code, refusal.outcome),
        );
        let Some(held) = self.held(vm, request) else { return };
        if refusal.code == RefusalCode::Shed {
            let tier = self.call_of(held.sending).tier;
            self.observer.shed(self.now, vm, tier);
        }
        self.finish_request(vm, request, RequestAnswer::Refused(refusal));
    }

    fn act_cluster(&mut self, vm: usize, action: ClusterAction) {
        match action {
            ClusterAction::SendGossip(to, digest) => {
                let bytes = self.sealed(vm, &to, encode_digest(&digest));
                self.send_peer(vm, &to, VmMessage::Gossip(bytes));
            }
            ClusterAction::SendAnnouncement(peers, announcement) => {
                for to in peers {
                    self.announce(vm, &to, &announcement);
                }
            }
            ClusterAction::ReadPlatform(read) => self.read_platform(vm, read),
            ClusterAction::PullConfiguration(to, version) => {
                self.call_peer(vm, &to, PeerCallKind::Pull, |id| VmMessage::Pull(id, version));
            }
            ClusterAction::PullVmList(to, version) => {
                self.call_peer(vm, &to, PeerCallKind::Pull, |id| VmMessage::PullList(id, version));
            }
            ClusterAction::PollTarget(target) => self.poll_target(vm, &target.target),
            ClusterAction::BorrowSlot(to, target) => {
                let kind = PeerCallKind::Borrow(target.clone());
                self.call_peer(vm, &to, kind, |id| VmMessage::Borrow(id, target));
            }
            ClusterAction::ReturnSlot(to, grant) => {
                self.send_peer(vm, &to, VmMessage::SlotReturned(grant));
            }
            ClusterAction::SendOrder(target, _) => {
                let event = ClusterEvent::OrderAnswered(target.target.clone(), true);
                self.feed(vm, NodeEvent::Cluster(event));
            }
            ClusterAction::ConfigurationApplied(configuration) => {
                let out = configuration.rules.data_centres.iter();
                let out = out.filter(|(_, rule)| !rule.in_service);
                let out: Vec<usize> =
                    out.filter_map(|(name, _)| self.data_centre_index(name)).collect();
                let version = configuration.version;
                self.journal.note(self.now, format_args!("vm{vm} applies {version} out {out:?}"));
                self.observer.applied(self.now, vm, version, &out);
                if let Some(publication) = self.platform.publication(version)
                    && version > 1
                {
                    let delay = self.now - publication.at;
                    self.figures.applied.saturating_record(delay.as_micros() as u64);
                }
            }
            ClusterAction::ConfigurationRefused(version, findings) => {
                self.fault_found(format!("VM {vm} refused version {version}: {findings}"));
            }
            ClusterAction::ReadyChanged(ready) => {
                self.journal.note(self.now, format_args!("vm{vm} ready {ready}"));
                if let Some(process) = self.vms[vm].process.as_mut() {
                    process.ready = ready && process.draining.is_none();
                }
            }
            ClusterAction::RelayChanged(target) => {
                let peers = target.map_or(0, |target| target.peers.len());
                self.journal.note(self.now, format_args!("vm{vm} relays to {peers} peers"));
            }
            _ => {}
        }
    }

    pub(super) fn data_centre_index(&self, name: &str) -> Option<usize> {
        self.topology.workload.data_centres.iter().position(|other| other == name)
    }

    fn announce(&mut self, vm: usize, to: &PeerAddress, announcement: &PeerAnnouncement) {
        let configuration = matches!(announcement, PeerAnnouncement::Configuration(_));
        if configuration && self.mutation == Some(Mutation::DropConfiguration) {
            return;
        }
        let text = serde_json::to_string(announcement).expect("news can be written as JSON");
        let bytes = self.sealed(vm, to, text);
        self.send_peer(vm, to, VmMessage::Announcement(bytes));
    }

    fn poll_target(&mut self, vm: usize, target: &TargetName) {
        let Some(index) = self.targets.iter().position(|one| one.name == *target) else {
            return;
        };
        let Some(incarnation) = self.incarnation(vm) else { return };
        let delay = self.target_delay(vm, index);
        self.schedule(delay, WorldEvent::PollAtTarget(index, vm, incarnation));
    }

    fn read_platform(&mut self, vm: usize, read: PlatformRead) {
        let Some(incarnation) = self.incarnation(vm) else { return };
        self.journal.note(self.now, format_args!("vm{vm} reads {read:?}"));
        let home = self.vms[vm].data_centre;
        let (from, to) = (Endpoint::Vm(vm, home), Endpoint::Platform);
        if self.network.reaches(from, to) {
            let delay = self.network.delay(&mut self.random, from, to);
            self.schedule(delay, WorldEvent::AtPlatform(vm, incarnation, read));
        } else {
            let fault = tarragon_cluster::event::PlatformFault::TimedOut;
            let message = VmMessage::Platform(read, PlatformAnswer::Failed(fault));
            self.schedule(PLATFORM_TIMEOUT, WorldEvent::AtVm(vm, Some(incarnation), message));
        }
    }

    pub(super) fn at_platform(&mut self, vm: usize, incarnation: Incarnation, read: PlatformRead) {
        match self.platform.answer(self.now, &read) {
            Some(answer) => self.answer_platform(vm, incarnation, read, answer),
            None => {
                let until = self.now + WATCH_TIME;
                self.platform.watches.push(WaitingWatch { vm, incarnation, read, until });
            }
        }
    }

    pub(super) fn answer_platform(
        &mut self,
        vm: usize,
        incarnation: Incarnation,
        read: PlatformRead,
        answer: PlatformAnswer,
    ) {
        let home = self.vms[vm].data_centre;
        let (from, to) = (Endpoint::Platform, Endpoint::Vm(vm, home));
        let is_news = matches!(answer, PlatformAnswer::Manifest(_));
        let dropped = is_news
            && self.mutation == Some(Mutation::DropConfiguration)
            && self.platform.history.len() > 1;
        let (delay, answer) = if self.network.reaches(from, to) && !dropped {
            (self.network.delay(&mut self.random, from, to), answer)
        } else {
            let fault = tarragon_cluster::event::PlatformFault::TimedOut;
            (PLATFORM_TIMEOUT, PlatformAnswer::Failed(fault))
        };
        let message = VmMessage::Platform(read, answer);
        self.schedule(delay, WorldEvent::AtVm(vm, Some(incarnation), message));
    }

    pub(super) fn incarnation(&self, vm: usize) -> Option<Incarnation> {
        self.vms[vm].process.as_ref().map(|process| process.incarnation)
    }

    pub(super) fn identity(&self, vm: usize) -> PeerIdentity {
        let incarnation = self.incarnation(vm).unwrap_or(0);
        PeerIdentity { vm: self.vms[vm].name.clone(), incarnation }
    }

    fn sealed(&mut self, vm: usize, to: &PeerAddress, payload: String) -> Vec<u8> {
        let Some(process) = self.vms[vm].process.as_mut() else { return Vec::new() };
        let message = process.seal.sign(&to.address, payload);
        serde_json::to_vec(&message).expect("a sealed message can be written as JSON")
    }
}

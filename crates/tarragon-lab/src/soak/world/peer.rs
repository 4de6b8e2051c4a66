//! Messages and calls between processes.

use std::time::Duration;

use tarragon_node::prelude::*;
use tarragon_protocol::peer::{ConfigurationTransfer, SlotGrant};

use super::{World, WorldEvent};
use crate::soak::{
    message::{PeerCall, PeerCallId, PeerCallKind, RequestAnswer, VmMessage},
    network::Endpoint,
};

/// Time after which a message that can't be delivered counts as failed.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

impl World {
    fn between(&self, from: usize, to: usize) -> (Endpoint, Endpoint) {
        let place = |vm: usize| Endpoint::Vm(vm, self.vms[vm].data_centre);
        (place(from), place(to))
    }

    /// Sends a message that needs no answer.
    pub(super) fn send_peer(&mut self, vm: usize, to: &PeerAddress, message: VmMessage) {
        let Some(peer) = self.topology.vm_of_address(&to.address) else { return };
        let only = self.incarnation(vm);
        let (from, place) = self.between(vm, peer);
        let arrivals = self.network.deliveries(&mut self.random, from, place);
        let failed = VmMessage::PeerFailed(to.clone());
        if arrivals.is_empty() {
            return self.schedule(SEND_TIMEOUT, WorldEvent::AtVm(vm, only, failed));
        }
        if self.vms[peer].process.is_none() {
            return self.schedule(arrivals[0] * 2, WorldEvent::AtVm(vm, only, failed));
        }
        for delay in arrivals {
            self.schedule(delay, WorldEvent::AtVm(peer, None, message.clone()));
        }
    }

    /// Calls a peer. The call fails if its answer does not come in time.
    pub(super) fn call_peer(
        &mut self,
        vm: usize,
        to: &PeerAddress,
        kind: PeerCallKind,
        message: impl FnOnce(PeerCallId) -> VmMessage,
    ) {
        let Some(peer) = self.topology.vm_of_address(&to.address) else { return };
        let Some(incarnation) = self.incarnation(vm) else { return };
        let id = self.next_peer_call;
        self.next_peer_call += 1;
        let limit = match &kind {
            PeerCallKind::RunTicket(sending) | PeerCallKind::Relay(_, sending) => {
                self.call_of(*sending).deadline.saturating_sub(self.now)
            }
            PeerCallKind::Handover => SEND_TIMEOUT * 2,
            PeerCallKind::Pull | PeerCallKind::Borrow(_) => SEND_TIMEOUT,
        };
        let (from, place) = self.between(vm, peer);
        let accepted = self.network.reaches(from, place);
        let call = PeerCall { from: (vm, incarnation), to: peer, kind, accepted };
        self.peer_calls.insert(id, call);
        let limit = if accepted { limit } else { limit.min(SEND_TIMEOUT) };
        self.schedule(limit, WorldEvent::PeerCallExpires(id));
        if accepted {
            let delay = self.network.delay(&mut self.random, from, place);
            self.schedule(delay, WorldEvent::AtVm(peer, None, message(id)));
        }
    }

    /// Sends the answer to a call. If it can't be delivered, the call expires.
    pub(super) fn answer_peer(&mut self, vm: usize, id: PeerCallId, message: VmMessage) {
        let Some(call) = self.peer_calls.get(&id) else { return };
        let (caller, incarnation) = call.from;
        let (from, place) = self.between(vm, caller);
        if call.to != vm || !self.network.reaches(from, place) {
            return;
        }
        self.peer_calls.swap_remove(&id);
        let delay = self.network.delay(&mut self.random, from, place);
        self.schedule(delay, WorldEvent::AtVm(caller, Some(incarnation), message));
    }

    /// A call gets no answer, because its receiver is gone, refuses connections or is too slow.
    pub(super) fn fail_peer_call(&mut self, id: PeerCallId) {
        let Some(call) = self.peer_calls.swap_remove(&id) else { return };
        let (vm, incarnation) = call.from;
        let address = PeerAddress {
            vm: self.vms[call.to].name.clone(),
            address: self.vms[call.to].address.clone(),
        };
        let message = match call.kind {
            PeerCallKind::Pull => VmMessage::PeerFailed(address),
            PeerCallKind::Borrow(target) => VmMessage::Borrowed(address, target, None),
            PeerCallKind::RunTicket(sending) => VmMessage::TicketAnswered(sending, None),
            PeerCallKind::Relay(request, _) => {
                let answer = call.accepted.then_some(RequestAnswer::Broken);
                VmMessage::RelayAnswered(request, answer)
            }
            PeerCallKind::Handover => {
                VmMessage::HandoverAnswered(address, Vec::new(), None, !call.accepted)
            }
        };
        let delay = Duration::from_millis(3);
        self.schedule(delay, WorldEvent::AtVm(vm, Some(incarnation), message));
    }

    /// A peer asks for a configuration.
    pub(super) fn serve_pull(&mut self, vm: usize, id: PeerCallId, base: ConfigurationVersion) {
        let Some(process) = &self.vms[vm].process else { return };
        let Some(transfer) = process.node.cluster().transfer_for(base) else { return };
        let bytes = serde_json::to_vec(&transfer).expect("a transfer can be written as JSON");
        let address = self.own_address(vm);
        self.answer_peer(vm, id, VmMessage::Transfer(address, bytes));
    }

    /// A peer asks for changes of the VM list.
    pub(super) fn serve_list_pull(&mut self, vm: usize, id: PeerCallId, base: u64) {
        let Some(process) = &self.vms[vm].process else { return };
        let Some(transfer) = process.node.cluster().vm_list_for(base) else { return };
        let bytes = serde_json::to_vec(&transfer).expect("a transfer can be written as JSON");
        let address = self.own_address(vm);
        self.answer_peer(vm, id, VmMessage::ListTransfer(address, bytes));
    }

    /// Changes of the VM list arrived.
    pub(super) fn take_list_transfer(&mut self, vm: usize, peer: PeerAddress, bytes: &[u8]) {
        let transfer = serde_json::from_slice(bytes).expect("the sender wrote it");
        self.feed(vm, NodeEvent::Cluster(ClusterEvent::VmListReceived(peer, transfer)));
    }

    /// A configuration arrived.
    pub(super) fn take_transfer(&mut self, vm: usize, peer: PeerAddress, bytes: &[u8]) {
        let transfer: ConfigurationTransfer =
            serde_json::from_slice(bytes).expect("the sender wrote it");
        if self.mutation == Some(crate::soak::Mutation::DropConfiguration) {
            return;
        }
        self.feed(vm, NodeEvent::Cluster(ClusterEvent::ConfigurationReceived(peer, transfer)));
    }

    /// A peer asks for a slot.
    pub(super) fn serve_borrow(&mut self, vm: usize, id: PeerCallId, target: TargetName) {
        let Some(call) = self.peer_calls.get(&id) else { return };
        let (caller, incarnation) = call.from;
        let borrower = PeerIdentity { vm: self.vms[caller].name.clone(), incarnation };
        let now = self.instant(vm);
        let Some(process) = self.vms[vm].process.as_mut() else { return };
        let mut actions = Vec::new();
        let grant = process.node.lend_slot(now, &borrower, &target, &mut actions);
        self.act_all(vm, actions);
        let address = self.own_address(vm);
        self.answer_peer(vm, id, VmMessage::Borrowed(address, target, grant));
    }

    /// A slot comes back.
    pub(super) fn take_back(&mut self, vm: usize, grant: &SlotGrant) {
        let now = self.instant(vm);
        let Some(process) = self.vms[vm].process.as_mut() else { return };
        let mut actions = Vec::new();
        process.node.accept_returned_slot(now, grant.grant, &mut actions);
        self.act_all(vm, actions);
    }

    pub(super) fn own_address(&self, vm: usize) -> PeerAddress {
        PeerAddress { vm: self.vms[vm].name.clone(), address: self.vms[vm].address.clone() }
    }

    /// Sends a request to the first of these peers that can be reached.
    pub(super) fn relay(&mut self, vm: usize, request: RequestId, peers: Vec<PeerAddress>) {
        self.journal.note(self.now, format_args!("vm{vm} {request:x} relay to {}", peers.len()));
        let Some(held) = self.held(vm, request) else { return };
        let sending = held.sending;
        let mut peers = peers.into_iter();
        let Some(to) = peers.next() else {
            let refusal = Refusal::not_run(RefusalCode::NoTarget, "no peer can be reached");
            return self.finish_request(vm, request, RequestAnswer::Refused(refusal));
        };
        if let Some(held) = self.held_mut(vm, request) {
            held.relay_left = peers.collect();
        }
        if !self.may_relay(vm, request) {
            return;
        }
        let Some(held) = self.held(vm, request) else { return };
        let remaining = held.deadline.saturating_sub(self.now);
        let kind = PeerCallKind::Relay(request, sending);
        self.call_peer(vm, &to, kind, |id| VmMessage::Relayed(id, sending, remaining));
    }

    /// Passes the answer to a relayed request back.
    pub(super) fn answer_relay(&mut self, vm: usize, id: PeerCallId, answer: RequestAnswer) {
        let Some(call) = self.peer_calls.get(&id) else { return };
        let PeerCallKind::Relay(request, _) = call.kind else { return };
        self.answer_peer(vm, id, VmMessage::RelayAnswered(request, Some(answer)));
    }

    /// The answer to a relayed request arrived, or its peer could not be reached.
    pub(super) fn relay_answered(
        &mut self,
        vm: usize,
        request: RequestId,
        answer: Option<RequestAnswer>,
    ) {
        match answer {
            Some(RequestAnswer::Broken) => {
                let refusal = Refusal::unknown(RefusalCode::TargetFailed, "the relay broke off");
                self.finish_request(vm, request, RequestAnswer::Refused(refusal));
            }
            Some(answer) => {
                let not_run = matches!(&answer, RequestAnswer::Refused(refusal)
                    if refusal.outcome == CallOutcome::NotRun);
                if not_run {
                    self.relay_not_run(vm, request);
                }
                self.finish_request(vm, request, answer);
            }
            None => {
                self.relay_not_run(vm, request);
                let left = self.held(vm, request).map(|held| held.relay_left.clone());
                if let Some(left) = left {
                    self.relay(vm, request, left);
                }
            }
        }
    }
}

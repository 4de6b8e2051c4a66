//! Graceful shutdown: the records of tickets go to a successor before the process ends.

use std::time::Duration;

use tarragon_node::prelude::*;
use tarragon_protocol::{peer::HandoverMessage, platform::VmState};

use super::{World, WorldEvent};
use crate::soak::{
    message::{PeerCallId, PeerCallKind, VmMessage},
    mutation::Mutation,
};

/// Longest time of a graceful shutdown: above the longest deadline of the workloads, since a stream ends with
/// its caller's connection and can't be moved to another process.
const DRAIN_TIME: Duration = Duration::from_secs(310);
/// Time between the end of the handover and the end of the process, in which peers learn of it.
const FAREWELL_TIME: Duration = Duration::from_secs(2);
/// Time before the end of a shutdown at which the records go even if calls still run.
const HANDOVER_RESERVE: Duration = Duration::from_secs(6);

/// How far a shutdown is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DrainState {
    /// Running calls end.
    Waiting {
        /// When the process ends at the latest.
        until: Duration,
    },
    /// The records are on their way.
    HandingOver,
    /// The process ends soon.
    Leaving {
        /// When it ends.
        at: Duration,
    },
}

impl World {
    /// Starts a graceful shutdown.
    pub(crate) fn drain(&mut self, vm: usize) {
        let until = self.now + DRAIN_TIME;
        let Some(process) = self.vms[vm].process.as_mut() else { return };
        if process.draining.is_some() {
            return;
        }
        process.draining = Some(DrainState::Waiting { until });
        process.ready = false;
        let incarnation = process.incarnation;
        self.journal.note(self.now, format_args!("vm{vm} drains"));
        let name = self.vms[vm].name.clone();
        self.platform.set_state(self.now, &name, VmState::Leaving);
        self.schedule(DRAIN_TIME, WorldEvent::DrainEnds(vm, incarnation));
        self.feed(vm, NodeEvent::DrainStarted);
        if self.mutation == Some(Mutation::ExitAtOnce) {
            self.end_drain(vm, incarnation);
        }
    }

    /// Takes the next step of a shutdown.
    pub(super) fn proceed_drain(&mut self, vm: usize) {
        let Some(process) = &self.vms[vm].process else { return };
        let idle = process.requests.is_empty()
            && process.ticket_waiters.is_empty()
            && process.forwards.is_empty();
        let incarnation = process.incarnation;
        match process.draining {
            Some(DrainState::Waiting { until }) if idle || self.now + HANDOVER_RESERVE >= until => {
                self.hand_over(vm)
            }
            Some(DrainState::Leaving { at }) if idle && at <= self.now => {
                self.end_drain(vm, incarnation)
            }
            _ => {}
        }
    }

    fn hand_over(&mut self, vm: usize) {
        let (now, boot) = (self.instant(vm), self.boot(vm));
        let Some(process) = self.vms[vm].process.as_mut() else { return };
        let mut actions = Vec::new();
        let messages = process.node.freeze_tickets(boot, &mut actions);
        let successor = process.node.cluster_mut().handover_successor(now);
        process.draining = Some(match successor {
            Some(_) => DrainState::HandingOver,
            None => DrainState::Leaving { at: self.now },
        });
        self.act_all(vm, actions);
        if let Some(to) = successor {
            let bytes = serde_json::to_vec(&messages).expect("records can be written as JSON");
            self.call_peer(vm, &to, PeerCallKind::Handover, |id| VmMessage::Handover(id, bytes));
        }
    }

    /// Records of a leaving process arrive.
    pub(super) fn take_handover(&mut self, vm: usize, id: PeerCallId, bytes: &[u8]) {
        let messages: Vec<HandoverMessage> =
            serde_json::from_slice(bytes).expect("the sender wrote it");
        let boot = self.boot(vm);
        let Some(process) = self.vms[vm].process.as_mut() else { return };
        let taken = messages.iter().all(|message| process.node.adopt_tickets(message, boot));
        let owners = messages.into_iter().map(|message| message.owner).collect();
        let successor = taken.then(|| self.identity(vm));
        let answer = VmMessage::HandoverAnswered(self.own_address(vm), owners, successor, true);
        self.answer_peer(vm, id, answer);
    }

    /// The successor has answered, or could not be asked.
    pub(super) fn handover_answered(
        &mut self,
        vm: usize,
        peer: &PeerAddress,
        owners: Vec<PeerIdentity>,
        successor: Option<PeerIdentity>,
        answered: bool,
    ) {
        let now = self.instant(vm);
        let Some(process) = self.vms[vm].process.as_mut() else { return };
        if process.draining != Some(DrainState::HandingOver) {
            return;
        }
        let Some(successor) = successor else {
            if answered {
                process.node.cluster_mut().handover_refused(peer, now);
            }
            return self.hand_over(vm);
        };
        process.draining = Some(DrainState::Leaving { at: self.now + FAREWELL_TIME });
        self.journal.note(self.now, format_args!("vm{vm} handed over to {}", peer.vm));
        for owner in owners {
            let entry = SuccessorEntry {
                owner,
                successor: successor.clone(),
                peer_address: peer.address.clone(),
                age_ms: 0,
            };
            self.feed(vm, NodeEvent::Cluster(ClusterEvent::HandoverCompleted(entry)));
        }
    }

    /// Ends a draining process.
    pub(super) fn end_drain(&mut self, vm: usize, incarnation: Incarnation) {
        if self.incarnation(vm) != Some(incarnation) || self.vms[vm].paused_until.is_some() {
            return;
        }
        let open = self.callers.open_at(vm);
        let interrupted: Vec<usize> =
            open.iter().map(|sending| self.sending(*sending).call).collect();
        self.observer.drained(vm, &interrupted);
        self.kill(vm);
        self.restart_later(vm);
    }
}

//! Commands about tickets.

use std::time::{Duration, Instant};

use tarragon_cluster::ticket::TICKET_VALIDITY;
use tarragon_node::prelude::*;
use tarragon_protocol::{identity::TicketSequence, peer::TicketAnswer};
use tokio::sync::{mpsc, oneshot};

use super::{
    link::{DECISIONS, IssuedTicket, NodeCommand, TicketEntry, TicketPresentation, TicketWait},
    run::{NodeTask, OpenRequest},
    work::WorkContext,
};
use crate::clock::BootClock;

/// Delay after which a caller may ask another VM for a ticket.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl NodeTask {
    pub(super) fn issue_ticket(&mut self) -> Result<IssuedTicket, Refusal> {
        let boot = self.parts.clock.boot();
        let text = self.parts.node.issue_ticket(boot).ok_or_else(|| {
            let message = "the process is shutting down and issues no tickets; ask another VM";
            Refusal::not_run(RefusalCode::ShuttingDown, message).with_retry_after(RETRY_AFTER)
        })?;
        Ok(IssuedTicket { text, valid_ms: TICKET_VALIDITY.as_millis() as u64 })
    }

    pub(super) fn present_ticket(
        &mut self,
        time: Instant,
        presentation: TicketPresentation,
        reply: oneshot::Sender<TicketEntry>,
    ) {
        let TicketPresentation { text, call } = presentation;
        let Some(ticket) = self.parts.node.read_ticket(&text) else {
            let _ = reply.send(TicketEntry::Answered(mismatch()));
            return;
        };
        let boot = self.parts.clock.boot();
        let request = call.profile.request;
        let (decisions, receiver) = mpsc::channel(DECISIONS);
        self.requests.insert(request, OpenRequest::new(decisions));
        let start = self.parts.node.present_ticket(time, boot, &ticket, call, &mut self.actions);
        if !matches!(start, TicketStart::Started(_)) {
            self.requests.swap_remove(&request);
        }
        let entry = match start {
            TicketStart::Forward(owner) => TicketEntry::Forward(owner),
            TicketStart::Started(sequence) => {
                self.ticket_requests.insert(sequence, request);
                TicketEntry::Run(self.wait_for(sequence, request), receiver)
            }
            TicketStart::Joined(sequence) => TicketEntry::Wait(self.wait_for(sequence, request)),
            TicketStart::Answered(answer) => TicketEntry::Answered(answer),
            TicketStart::Mismatch => TicketEntry::Answered(mismatch()),
        };
        // If the caller has gone meanwhile, dropping the entry's wait tells the node.
        let _ = reply.send(entry);
    }

    fn wait_for(&mut self, sequence: TicketSequence, request: RequestId) -> TicketWait {
        let (sender, answer) = oneshot::channel();
        self.waiters.entry(sequence).or_default().push(sender);
        TicketWait { sequence, request, answer, link: self.link.clone() }
    }

    /// Gives the final answer to all that wait. The request that stood for the call is released, unless
    /// an attempt still runs: its end follows.
    pub(super) fn resolve_ticket(
        &mut self,
        time: Instant,
        sequence: TicketSequence,
        answer: &TicketAnswer,
    ) {
        for waiter in self.waiters.swap_remove(&sequence).into_iter().flatten() {
            // A waiter that has gone needs no answer.
            let _ = waiter.send(answer.clone());
        }
        if let Some(request) = self.ticket_requests.swap_remove(&sequence)
            && !self.has_attempt(request)
        {
            self.release(time, request);
        }
    }

    pub(super) fn take_ticket_news(&mut self, time: Instant, command: NodeCommand) {
        let boot = self.parts.clock.boot();
        let node = &mut self.parts.node;
        let actions = &mut self.actions;
        match command {
            NodeCommand::FinishTicket { request, answer } => {
                node.finish_ticket(request, answer, boot, actions);
            }
            NodeCommand::MayRelay { request, reply } => {
                let _ = reply.send(node.may_write(request, boot, actions));
            }
            NodeCommand::RelayNotRun(request) => node.relay_not_run(request),
            NodeCommand::AbandonTicket { sequence, request } => {
                node.abandon_ticket(time, boot, sequence, request, actions);
            }
            NodeCommand::Work(work) => work(node, &mut WorkContext { now: time, boot, actions }),
            _ => {}
        }
    }
}

fn mismatch() -> TicketAnswer {
    // A damaged ticket, or a body that differs from the first one's, may belong to a call that has run: "not
    // run" would invite the caller to run it again under a new ticket.
    let message = "the ticket is damaged or was used for another call, which may have run";
    TicketAnswer::Refused(Refusal::unknown(RefusalCode::TicketMismatch, message))
}

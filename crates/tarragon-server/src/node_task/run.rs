//! The loop of the node's task: takes commands and time, and has the node's actions executed.

#[cfg(test)]
mod tests;

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use tarragon_node::prelude::*;
use tarragon_protocol::{identity::TicketSequence, peer::TicketAnswer};
use tarragon_scheduler::event::{AttemptEnd, SchedulerEvent};
use tokio::{
    sync::{
        mpsc::{self, error::TrySendError},
        oneshot, watch,
    },
    time::{Instant, MissedTickBehavior, interval},
};
use tokio_util::sync::CancellationToken;

use super::{
    execute::ActionRunner,
    link::{NodeCommand, NodeLink},
};
use crate::{
    clock::{BootClock, ProcessClock, now},
    metrics::ServerMetrics,
    platform::PlatformClient,
    process::{ProcessContext, ProcessView},
    request::{Decision, DispatchOrder},
};

/// Interval of the node's clock. A gap of the boot clock between two ticks shows a pause.
const TICK: Duration = Duration::from_millis(100);
/// Commands that may wait for the node. Senders wait when it is full.
const COMMANDS: usize = 8_192;
/// Commands that are taken between two looks at the clock.
const BATCH: usize = 64;

/// What the node's task works with.
pub struct NodeTaskParts {
    /// The node.
    pub node: Node,
    /// Clocks.
    pub clock: ProcessClock,
    /// Where the state for other tasks is published.
    pub view: watch::Sender<ProcessView>,
    /// Metrics.
    pub metrics: ServerMetrics,
}

/// A request whose task takes decisions.
pub(super) struct OpenRequest {
    decisions: mpsc::Sender<Decision>,
    /// Attempt that was dispatched and has not ended.
    attempt: Option<RunningAttempt>,
}

/// An attempt that was dispatched.
struct RunningAttempt {
    number: AttemptNumber,
    target: TargetName,
    /// Whether its bytes may have been written.
    started: bool,
}

impl OpenRequest {
    pub(super) fn new(decisions: mpsc::Sender<Decision>) -> OpenRequest {
        OpenRequest { decisions, attempt: None }
    }
}

/// The task that owns the node.
pub struct NodeTask {
    pub(super) parts: NodeTaskParts,
    pub(super) link: NodeLink,
    commands: mpsc::Receiver<NodeCommand>,
    pub(super) requests: IndexMap<RequestId, OpenRequest>,
    pub(super) waiters: IndexMap<TicketSequence, Vec<oneshot::Sender<TicketAnswer>>>,
    /// The request that stands for each running call of a ticket.
    pub(super) ticket_requests: IndexMap<TicketSequence, RequestId>,
    pub(super) actions: Vec<NodeAction>,
}

impl NodeTask {
    /// A task that has not started, with the link to it.
    pub fn new(parts: NodeTaskParts) -> (NodeTask, NodeLink) {
        let (link, commands) = NodeLink::new(COMMANDS);
        let task = NodeTask {
            parts,
            link: link.clone(),
            commands,
            requests: IndexMap::new(),
            waiters: IndexMap::new(),
            ticket_requests: IndexMap::new(),
            actions: Vec::new(),
        };
        (task, link)
    }

    /// Runs until `end` is cancelled.
    pub async fn run(
        mut self,
        process: Arc<ProcessContext>,
        platform: PlatformClient,
        end: CancellationToken,
    ) {
        let mut runner = ActionRunner::new(process, platform);
        let mut ticks = interval(TICK);
        // After a pause one tick is enough; a burst of late ones would hide the gap.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(BATCH);
        loop {
            tokio::select! {
                biased;
                () = end.cancelled() => return,
                _ = ticks.tick() => self.tick(),
                count = self.commands.recv_many(&mut batch, BATCH) => {
                    if count == 0 {
                        return;
                    }
                    for command in batch.drain(..) {
                        self.take(command);
                        self.carry_out(&mut runner);
                    }
                }
            }
            self.carry_out(&mut runner);
        }
    }

    fn tick(&mut self) {
        let boot = self.parts.clock.boot();
        self.parts.node.handle(now(), NodeEvent::Tick { boot }, &mut self.actions);
        let node = &self.parts.node;
        self.parts.metrics.set_waiting(node.scheduler().waiting_by_tier());
        self.parts.metrics.set_violations(&node.violations());
        self.parts.metrics.take_counts(node.scheduler().statistics());
        // A task that ended without releasing its request has panicked. The release goes through the queue, so
        // that the end of an attempt that the task sent before is taken first.
        for (request, _) in self.requests.iter().filter(|(_, open)| open.decisions.is_closed()) {
            self.link.release_later(*request);
        }
    }

    /// The task of a request takes no more decisions. An attempt that it has not started is withheld; the
    /// outcome of one that it has started and never ended is not known.
    pub(super) fn release(&mut self, time: std::time::Instant, request: RequestId) {
        let Some(open) = self.requests.swap_remove(&request) else { return };
        let Some(running) = open.attempt else { return };
        let mut send = |event| {
            self.parts.node.handle(time, NodeEvent::Scheduler(event), &mut self.actions);
        };
        if running.started {
            send(SchedulerEvent::Disconnected(request));
            send(SchedulerEvent::AttemptEnded(request, running.number, AttemptEnd::Cancelled));
        } else {
            send(SchedulerEvent::AttemptEnded(request, running.number, AttemptEnd::Withheld));
        }
    }

    /// Notes the end of an attempt.
    fn note_end(&mut self, event: &NodeEvent) {
        if let NodeEvent::Scheduler(SchedulerEvent::AttemptEnded(request, attempt, _)) = event
            && let Some(open) = self.requests.get_mut(request)
            && open.attempt.as_ref().is_some_and(|running| running.number == *attempt)
        {
            open.attempt = None;
        }
    }

    fn take(&mut self, command: NodeCommand) {
        let started = Instant::now();
        let time = started.into_std();
        match command {
            NodeCommand::Admit { profile, relayed, decisions } => {
                self.requests.insert(profile.request, OpenRequest::new(decisions));
                let event = if relayed {
                    NodeEvent::RelayArrived(profile)
                } else {
                    NodeEvent::Arrived(profile)
                };
                self.parts.node.handle(time, event, &mut self.actions);
            }
            NodeCommand::Event(event) => {
                self.note_end(&event);
                if matches!(event, NodeEvent::DrainStarted) {
                    self.parts.view.send_modify(|view| view.draining = true);
                }
                self.parts.node.handle(time, event, &mut self.actions);
            }
            NodeCommand::MayWrite { request, attempt, reply } => {
                let _ = reply.send(self.may_write(time, request, attempt));
            }
            NodeCommand::Release(request) => self.release(time, request),
            NodeCommand::IssueTicket(reply) => {
                let _ = reply.send(self.issue_ticket());
            }
            NodeCommand::PresentTicket { presentation, reply } => {
                self.present_ticket(time, *presentation, reply);
            }
            other => self.take_ticket_news(time, other),
        }
        self.parts.metrics.decision_time.observe(started.elapsed().as_secs_f64());
    }

    /// The check right before the first byte of an attempt. An attempt that may be written counts as
    /// started.
    fn may_write(
        &mut self,
        time: std::time::Instant,
        request: RequestId,
        attempt: AttemptNumber,
    ) -> WriteCheck {
        let boot = self.parts.clock.boot();
        let open = self.requests.get(&request).and_then(|open| open.attempt.as_ref());
        let Some(running) = open.filter(|running| running.number == attempt) else {
            return WriteCheck::Withhold;
        };
        let check = self.parts.node.check_write(request, &running.target, boot, &mut self.actions);
        if check == WriteCheck::Write {
            if let Some(open) = self.requests.get_mut(&request)
                && let Some(running) = &mut open.attempt
            {
                running.started = true;
            }
            let event = SchedulerEvent::AttemptStarted(request, attempt);
            self.parts.node.handle(time, NodeEvent::Scheduler(event), &mut self.actions);
        }
        check
    }

    /// Whether an attempt of a request runs.
    pub(super) fn has_attempt(&self, request: RequestId) -> bool {
        self.requests.get(&request).is_some_and(|open| open.attempt.is_some())
    }

    /// Has the node's actions executed.
    fn carry_out(&mut self, runner: &mut ActionRunner) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                NodeAction::Scheduler(action) => self.decide(action, runner),
                NodeAction::Cluster(action) => runner.execute(action, &self.parts.view),
                NodeAction::Relay { request, peers } => self.tell(request, Decision::Relay(peers)),
                NodeAction::TicketResolved { sequence, answer } => {
                    self.resolve_ticket(now(), sequence, &answer);
                }
            }
        }
        if !self.actions.is_empty() {
            return self.carry_out(runner);
        }
        // The emptied list keeps its memory for the next command.
        self.actions = actions;
    }

    fn decide(&mut self, action: SchedulerAction, runner: &ActionRunner) {
        match action {
            SchedulerAction::Dispatch { request, attempt, target } => {
                // A target without an address has been taken off the list; the connection then fails
                // before a byte is written, and the scheduler chooses another one.
                let address = runner.address(&target).unwrap_or_default().to_owned();
                let order = DispatchOrder { request, attempt, target, address };
                self.tell(request, Decision::Dispatch(order));
            }
            SchedulerAction::Refuse { request, refusal } => {
                self.tell(request, Decision::Refuse(refusal));
            }
            SchedulerAction::Cancel { request, attempt } => {
                self.tell(request, Decision::Cancel(attempt));
            }
            // The node passes these on to the cluster part.
            SchedulerAction::AnnounceFloor(_)
            | SchedulerAction::AnnounceSuspect(_)
            | SchedulerAction::PollTarget(_) => {}
        }
    }

    /// Sends a decision to the task of a request. The channel of a task that is too far behind is closed,
    /// which is the only way to end it.
    fn tell(&mut self, request: RequestId, decision: Decision) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        if let Decision::Dispatch(order) = &decision {
            let target = order.target.clone();
            open.attempt = Some(RunningAttempt { number: order.attempt, target, started: false });
        }
        match open.decisions.try_send(decision) {
            Ok(()) => {}
            // The end of its last attempt may still be in the queue.
            Err(TrySendError::Closed(_)) => self.link.release_later(request),
            Err(TrySendError::Full(_)) => self.release(now(), request),
        }
    }
}

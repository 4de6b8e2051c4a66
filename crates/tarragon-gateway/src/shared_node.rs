//! Shares the node of this process between tasks, and delivers its decisions to the tasks of the requests.

use std::{sync::Arc, time::Instant};

use indexmap::IndexMap;
use tarragon_fleet::{node::AdmissionRequest, prelude::*};
use tarragon_server::{
    clock::now,
    guarded::Guarded,
    request::{Decision, DecisionLink, DispatchOrder},
};
use tokio::sync::{
    Notify,
    mpsc::{self, error::TrySendError},
};

use crate::lending::LendingSender;

/// Decisions that can be queued for the task of one request.
const DECISION_QUEUE_LENGTH: usize = 8;

/// A request that the end of the process interrupts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InterruptedRequest {
    /// The caller's id of the request.
    pub tag: String,
    /// Whether it may have been sent to a target.
    pub started: bool,
}

struct OpenRequest {
    /// The caller's id of the request.
    tag: String,
    decisions: mpsc::Sender<Decision>,
    attempt: Option<OpenAttempt>,
}

struct OpenAttempt {
    number: AttemptNumber,
    target: TargetName,
    /// Whether bytes of the request may have been written to the target.
    started: bool,
}

/// The node behind a lock, with the open requests. Calls on the node run one at a time.
pub struct SharedNode {
    node: Guarded<FleetNode>,
    open: Guarded<IndexMap<RequestId, OpenRequest>>,
    /// Sends messages about loans of slots; `None` if there is no port for them.
    lending: Option<LendingSender>,
    /// Notified when a digest has to be sent to peers without waiting for the next tick.
    pub urgent_digest: Notify,
}

/// Handle by which the task of a request reports to the node.
#[derive(Clone)]
pub struct SharedNodeLink(pub Arc<SharedNode>);

impl SharedNode {
    /// Wraps a node. `lending` sends its messages about loans of slots.
    pub fn new(node: FleetNode, lending: Option<LendingSender>) -> SharedNode {
        SharedNode {
            node: Guarded::new(node),
            open: Guarded::default(),
            lending,
            urgent_digest: Notify::new(),
        }
    }

    /// Runs a closure on the node, then delivers the resulting decisions.
    pub fn run<R, W>(&self, work: W) -> R
    where
        W: FnOnce(&mut FleetNode, Instant, &mut Vec<SchedulerAction>) -> R,
    {
        let mut actions = Vec::new();
        let (result, messages) = self.node.with(|node| {
            let result = work(node, now(), &mut actions);
            (result, node.take_lending_messages())
        });
        for action in actions {
            self.deliver(action);
        }
        if let Some(lending) = &self.lending {
            for (peer, message) in messages {
                lending.send(peer, &message);
            }
        }
        result
    }

    /// Runs a closure that reads the node.
    pub fn view<R, W>(&self, work: W) -> R
    where
        W: FnOnce(&FleetNode) -> R,
    {
        self.node.with(|node| work(node))
    }

    /// Admits a request. Decisions on it arrive at the returned receiver.
    pub fn admit(&self, order: AdmissionRequest, tag: &str) -> mpsc::Receiver<Decision> {
        let (decisions, receiver) = mpsc::channel(DECISION_QUEUE_LENGTH);
        let request = order.request;
        let opened = OpenRequest { tag: tag.to_owned(), decisions, attempt: None };
        self.open.with(|open| open.insert(request, opened));
        self.run(|node, now, actions| node.admit(now, order, actions));
        receiver
    }

    /// Records that the bytes of an attempt are about to be written.
    pub fn start_attempt(&self, order: &DispatchOrder) {
        self.open.with(|open| {
            let attempt = open.get_mut(&order.request).and_then(|open| open.attempt.as_mut());
            if let Some(attempt) = attempt.filter(|attempt| attempt.number == order.attempt) {
                attempt.started = true;
            }
        });
        let event = SchedulerEvent::AttemptStarted(order.request, order.attempt);
        self.run(|node, now, actions| node.handle(now, event, actions));
    }

    /// Whether another attempt of the request could begin at once if this one ended now.
    pub fn may_replace(&self, order: &DispatchOrder) -> bool {
        self.run(|node, now, _| node.may_replace(now, order.request, order.attempt))
    }

    /// Whether bytes of the request's current attempt may have been written.
    pub fn has_started(&self, request: RequestId) -> bool {
        self.open.with(|open| {
            let attempt = open.get(&request).and_then(|open| open.attempt.as_ref());
            attempt.is_some_and(|attempt| attempt.started)
        })
    }

    /// Number of requests whose tasks have not ended.
    pub fn open_requests(&self) -> usize {
        self.open.with(|open| open.len())
    }

    /// The requests whose tasks have not ended, for the report of a shutdown.
    pub fn interrupted_requests(&self) -> Vec<InterruptedRequest> {
        let interrupted = |open: &OpenRequest| InterruptedRequest {
            tag: open.tag.clone(),
            started: open.attempt.as_ref().is_some_and(|attempt| attempt.started),
        };
        self.open.with(|open| open.values().map(interrupted).collect())
    }

    fn deliver(&self, action: SchedulerAction) {
        match action {
            SchedulerAction::Dispatch { request, attempt, target } => {
                let address = target.to_string();
                let started =
                    OpenAttempt { number: attempt, target: target.clone(), started: false };
                let order = DispatchOrder { request, attempt, target, address };
                self.send_decision(request, Decision::Dispatch(order), Some(started));
            }
            SchedulerAction::Refuse { request, refusal } => {
                self.send_decision(request, Decision::Refuse(refusal), None);
            }
            SchedulerAction::Cancel { request, attempt } => {
                self.send_decision(request, Decision::Cancel(attempt), None);
            }
            SchedulerAction::AnnounceSuspect(entry) => {
                tracing::warn!(
                    cause = %entry.cause,
                    crashes = entry.crashes.len(),
                    convicted = entry.convicted,
                    "peers are told what may crash targets"
                );
                self.urgent_digest.notify_one();
            }
            // Digests carry the floor, and targets report their load with each answer.
            SchedulerAction::AnnounceFloor(_) | SchedulerAction::PollTarget(_) => {}
        }
    }

    /// Sends a decision to the task of a request. If that task has ended, the attempt is reported as not
    /// started.
    fn send_decision(&self, request: RequestId, decision: Decision, attempt: Option<OpenAttempt>) {
        let undelivered = self.open.with(|open| {
            let Some(known) = open.get_mut(&request) else { return attempt };
            match known.decisions.try_send(decision) {
                Ok(()) => {
                    if attempt.is_some() {
                        known.attempt = attempt;
                    }
                    None
                }
                Err(fault) => {
                    if matches!(fault, TrySendError::Full(_)) {
                        tracing::error!(request = known.tag, "decision on the request was lost");
                    }
                    attempt
                }
            }
        });
        if let Some(attempt) = undelivered {
            let event = SchedulerEvent::AttemptEnded(request, attempt.number, AttemptEnd::Withheld);
            self.run(|node, now, actions| node.handle(now, event, actions));
        }
    }

    fn handle_event(&self, event: SchedulerEvent) {
        if let SchedulerEvent::AttemptEnded(request, number, end) = event {
            let target = self.open.with(|open| {
                let known = open.get_mut(&request)?;
                known.attempt.take_if(|attempt| attempt.number == number)
            });
            if let Some(OpenAttempt { target, .. }) = target {
                self.run(|node, now, actions| {
                    node.end_attempt(now, (request, number), &target, end, actions);
                });
                return;
            }
        }
        self.run(|node, now, actions| node.handle(now, event, actions));
    }

    /// Removes a request whose task has ended, and ends its current attempt. Has no effect on one that is closed.
    pub fn close_request(&self, request: RequestId) {
        let Some(open) = self.open.with(|open| open.swap_remove(&request)) else { return };
        if let Some(attempt) = open.attempt {
            let end = if attempt.started { AttemptEnd::Cancelled } else { AttemptEnd::Withheld };
            let ended = SchedulerEvent::AttemptEnded(request, attempt.number, end);
            self.run(|node, now, actions| {
                node.handle(now, SchedulerEvent::Disconnected(request), actions);
                node.handle(now, ended, actions);
            });
        }
        self.run(|node, _, _| node.release(request));
    }
}

impl DecisionLink for SharedNodeLink {
    async fn send(&self, event: SchedulerEvent) {
        self.0.handle_event(event);
    }

    async fn release(&self, request: RequestId) {
        self.0.close_request(request);
    }
}

//! The node of this process together with the tasks of its requests: news go in, decisions come out.

use std::{sync::Arc, time::Instant};

use indexmap::IndexMap;
use tarragon_fleet::{node::CallOrder, prelude::*};
use tarragon_server::{
    clock::now,
    guarded::Guarded,
    request::{Decision, DecisionLink, DispatchOrder},
};
use tokio::sync::{Notify, mpsc};

/// Decisions on one request that may wait for its task.
const DECISION_QUEUE_LENGTH: usize = 8;

/// A request that the end of the process cuts off.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InterruptedRequest {
    /// Id that the caller gave.
    pub tag: String,
    /// Whether a target may have run it.
    pub started: bool,
}

struct OpenRequest {
    /// Id that the caller gave.
    tag: String,
    decisions: mpsc::Sender<Decision>,
    attempt: Option<OpenAttempt>,
}

struct OpenAttempt {
    number: AttemptNumber,
    target: TargetName,
    /// Whether its bytes may have been written.
    started: bool,
}

/// Owns the node. Each call runs to its end before another one starts.
pub struct SharedNode {
    node: Guarded<FleetNode>,
    open: Guarded<IndexMap<RequestId, OpenRequest>>,
    /// Notified when peers have to hear something at once.
    pub urgent_digest: Notify,
}

/// The way from a request's task to the desk.
#[derive(Clone)]
pub struct SharedNodeLink(pub Arc<SharedNode>);

impl SharedNode {
    /// A desk for a node.
    pub fn new(node: FleetNode) -> SharedNode {
        SharedNode {
            node: Guarded::new(node),
            open: Guarded::default(),
            urgent_digest: Notify::new(),
        }
    }

    /// Runs work on the node and delivers the decisions that follow.
    pub fn run<R, W>(&self, work: W) -> R
    where
        W: FnOnce(&mut FleetNode, Instant, &mut Vec<SchedulerAction>) -> R,
    {
        let mut actions = Vec::new();
        let result = self.node.with(|node| work(node, now(), &mut actions));
        for action in actions {
            self.deliver(action);
        }
        result
    }

    /// Looks at the node without changing it.
    pub fn view<R, W>(&self, work: W) -> R
    where
        W: FnOnce(&FleetNode) -> R,
    {
        self.node.with(|node| work(node))
    }

    /// Takes a request. Its decisions arrive at the receiver.
    pub fn admit(&self, order: CallOrder, tag: &str) -> mpsc::Receiver<Decision> {
        let (decisions, receiver) = mpsc::channel(DECISION_QUEUE_LENGTH);
        let request = order.request;
        let opened = OpenRequest { tag: tag.to_owned(), decisions, attempt: None };
        self.open.with(|open| open.insert(request, opened));
        self.run(|node, now, actions| node.admit(now, order, actions));
        receiver
    }

    /// Notes that the bytes of an attempt are about to be written.
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

    /// Whether bytes of the request's present attempt may have been written.
    pub fn has_started(&self, request: RequestId) -> bool {
        self.open.with(|open| {
            let attempt = open.get(&request).and_then(|open| open.attempt.as_ref());
            attempt.is_some_and(|attempt| attempt.started)
        })
    }

    /// Number of requests whose tasks take decisions.
    pub fn open_requests(&self) -> usize {
        self.open.with(|open| open.len())
    }

    /// The requests whose tasks take decisions.
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
                    fingerprint = entry.fingerprint,
                    crashes = entry.crashes.len(),
                    convicted = entry.convicted,
                    "request is suspected of crashing targets"
                );
                self.urgent_digest.notify_one();
            }
            // Digests tell the floor, and targets tell their load with each answer.
            SchedulerAction::AnnounceFloor(_) | SchedulerAction::PollTarget(_) => {}
        }
    }

    /// Sends a decision to the task of a request. A task that has gone can't run an attempt.
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
                Err(_) => attempt,
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

    /// The task of a request takes no more decisions.
    fn close_request(&self, request: RequestId) {
        let open = self.open.with(|open| open.swap_remove(&request));
        if let Some(attempt) = open.and_then(|open| open.attempt) {
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

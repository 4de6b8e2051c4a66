//! The life of one request between its arrival and its answer: it waits for decisions of the node, runs
//! attempts at targets and reports how they ended.

use std::{future::Future, time::Duration};

use tarragon_cluster::event::PeerAddress;
use tarragon_protocol::prelude::*;
use tarragon_scheduler::event::{AttemptEnd, SchedulerEvent};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};
use tokio_util::sync::CancellationToken;

use crate::{caller::arrival::Arrival, node_task::NodeLink, process::Deadline};

/// Time after the deadline in which the node's own refusal is awaited.
const DECISION_GRACE: Duration = Duration::from_millis(500);

/// A decision of the node on one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Run an attempt.
    Dispatch(DispatchOrder),
    /// Give this final answer.
    Refuse(Refusal),
    /// Stop an attempt; the request waits for its next one.
    Cancel(AttemptNumber),
    /// Send the request to one of these peers. It will not be dispatched here.
    Relay(Vec<PeerAddress>),
}

/// Where and as what an attempt runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchOrder {
    /// Request.
    pub request: RequestId,
    /// Attempt.
    pub attempt: AttemptNumber,
    /// Target.
    pub target: TargetName,
    /// IP address and port of the target.
    pub address: String,
}

impl DispatchOrder {
    /// Id that the target gets, different for each attempt, so that a late answer to an earlier one can
    /// be told apart.
    pub fn tag(&self) -> String {
        format!("{:016x}-{}", self.request, self.attempt)
    }
}

/// How an attempt ended, as its caller sees it.
#[derive(Debug)]
pub enum AttemptReport<A> {
    /// The answer is whole.
    Answered(A),
    /// The node decides what follows.
    Ended(AttemptEnd),
    /// The attempt failed and its call must get this final answer.
    Refused(AttemptEnd, Refusal),
}

/// How a request ended.
#[derive(Debug)]
pub enum RequestEnd<A> {
    /// With an answer of a target.
    Answered(A),
    /// Without one.
    Refused(Refusal),
    /// It was not run and can't be served here; these peers can take it.
    Relay(Vec<PeerAddress>),
    /// Its caller has gone.
    Abandoned,
}

/// The way from a request's task to where its decisions are taken.
pub trait DecisionLink: Clone + Send + Sync + 'static {
    /// Gives news of the request.
    fn send(&self, event: SchedulerEvent) -> impl Future<Output = ()> + Send;

    /// Ends the flow of decisions on the request.
    fn release(&self, request: RequestId) -> impl Future<Output = ()> + Send;
}

impl DecisionLink for NodeLink {
    async fn send(&self, event: SchedulerEvent) {
        NodeLink::send(self, event).await;
    }

    async fn release(&self, request: RequestId) {
        NodeLink::release(self, request).await;
    }
}

/// A kind of call that can be attempted at a target.
pub trait AttemptRunner {
    /// What a target answers.
    type Answer;

    /// Runs an attempt to its end. Dropping the future closes the connection to the target.
    fn run(
        &mut self,
        order: &DispatchOrder,
    ) -> impl Future<Output = AttemptReport<Self::Answer>> + Send;

    /// Called after an attempt was dropped before its end.
    fn dropped(&mut self, order: &DispatchOrder);
}

/// One request on its way through the node.
pub struct RequestDriver<L = NodeLink> {
    /// Connection to the node.
    pub link: L,
    /// Request.
    pub request: RequestId,
    /// After this time the caller has no use for the answer.
    pub deadline: Deadline,
    /// Cancelled when nobody needs the answer.
    pub abandoned: CancellationToken,
    /// Until this time a running attempt is waited for. It is the deadline, unless the outcome matters to
    /// a later repeat.
    pub attempt_limit: Instant,
    /// Decisions of the node.
    pub decisions: mpsc::Receiver<Decision>,
    /// Whether a target can have run the request.
    pub may_have_run: bool,
}

enum AttemptOutcome<A> {
    Reported(AttemptReport<A>),
    Cancelled,
    Refused(Refusal),
    Abandoned,
    Overdue,
    NodeGone,
}

impl<L> RequestDriver<L>
where
    L: DecisionLink,
{
    /// A driver of a request that the node has just taken. Its attempts are not waited for beyond the deadline.
    pub fn new(
        link: &L,
        arrival: &Arrival,
        abandoned: CancellationToken,
        decisions: mpsc::Receiver<Decision>,
    ) -> RequestDriver<L> {
        let Arrival { request, deadline, .. } = *arrival;
        RequestDriver::of(link, request, deadline, abandoned, decisions)
    }

    /// A driver of a request with this id and deadline.
    pub fn of(
        link: &L,
        request: RequestId,
        deadline: Deadline,
        abandoned: CancellationToken,
        decisions: mpsc::Receiver<Decision>,
    ) -> RequestDriver<L> {
        RequestDriver {
            link: link.clone(),
            request,
            deadline,
            attempt_limit: deadline.instant,
            abandoned,
            decisions,
            may_have_run: false,
        }
    }

    /// Runs the request to its end.
    pub async fn run<R>(mut self, runner: &mut R) -> RequestEnd<R::Answer>
    where
        R: AttemptRunner,
    {
        let end = self.follow_decisions(runner).await;
        self.link.release(self.request).await;
        end
    }

    async fn follow_decisions<R>(&mut self, runner: &mut R) -> RequestEnd<R::Answer>
    where
        R: AttemptRunner,
    {
        loop {
            let decision = tokio::select! {
                biased;
                () = self.abandoned.cancelled() => {
                    self.link.send(SchedulerEvent::Disconnected(self.request)).await;
                    return RequestEnd::Abandoned;
                }
                decision = self.decisions.recv() => decision,
                () = sleep_until(self.deadline.instant + DECISION_GRACE) => {
                    return RequestEnd::Refused(self.expire().await);
                }
            };
            let order = match decision {
                None => return RequestEnd::Refused(self.node_gone()),
                Some(Decision::Refuse(refusal)) => {
                    return RequestEnd::Refused(self.truthful(refusal));
                }
                Some(Decision::Relay(peers)) => return RequestEnd::Relay(peers),
                Some(Decision::Cancel(_)) => continue,
                Some(Decision::Dispatch(order)) => order,
            };
            if let Some(end) = self.attempt(&order, runner).await {
                return end;
            }
        }
    }

    /// Runs one attempt. Returns the end of the request, if the attempt brought it.
    async fn attempt<R>(
        &mut self,
        order: &DispatchOrder,
        runner: &mut R,
    ) -> Option<RequestEnd<R::Answer>>
    where
        R: AttemptRunner,
    {
        let outcome = self.watch_attempt(order, runner).await;
        if !matches!(outcome, AttemptOutcome::Reported(_)) {
            runner.dropped(order);
        }
        let (end, result) = self.conclude(outcome);
        if result.is_some() && end != AttemptEnd::Finished {
            self.link.send(SchedulerEvent::Disconnected(self.request)).await;
        }
        self.link.send(SchedulerEvent::AttemptEnded(self.request, order.attempt, end)).await;
        result
    }

    /// What an attempt's outcome means for the node and for the request.
    fn conclude<A>(&mut self, outcome: AttemptOutcome<A>) -> (AttemptEnd, Option<RequestEnd<A>>) {
        let cancelled = AttemptEnd::Cancelled;
        let (end, result) = match outcome {
            AttemptOutcome::Reported(AttemptReport::Answered(answer)) => {
                (AttemptEnd::Finished, Some(RequestEnd::Answered(answer)))
            }
            AttemptOutcome::Reported(AttemptReport::Ended(end)) => (end, None),
            AttemptOutcome::Reported(AttemptReport::Refused(end, refusal)) => {
                (end, Some(RequestEnd::Refused(refusal)))
            }
            AttemptOutcome::Cancelled => (cancelled, None),
            AttemptOutcome::Refused(refusal) => {
                self.may_have_run = true;
                (cancelled, Some(RequestEnd::Refused(self.truthful(refusal))))
            }
            AttemptOutcome::Abandoned => (cancelled, Some(RequestEnd::Abandoned)),
            AttemptOutcome::Overdue => {
                let message = "the deadline passed while the request ran";
                let refusal = Refusal::unknown(RefusalCode::DeadlineExceeded, message);
                (cancelled, Some(RequestEnd::Refused(refusal)))
            }
            AttemptOutcome::NodeGone => {
                let message = "the process is shutting down";
                let refusal = Refusal::unknown(RefusalCode::ShuttingDown, message);
                (cancelled, Some(RequestEnd::Refused(refusal)))
            }
        };
        self.may_have_run |= can_have_run(end);
        (end, result)
    }

    async fn watch_attempt<R>(
        &mut self,
        order: &DispatchOrder,
        runner: &mut R,
    ) -> AttemptOutcome<R::Answer>
    where
        R: AttemptRunner,
    {
        let attempt = runner.run(order);
        tokio::pin!(attempt);
        loop {
            tokio::select! {
                // An answer that is whole is delivered, whatever else is ready with it.
                biased;
                report = &mut attempt => return AttemptOutcome::Reported(report),
                () = self.abandoned.cancelled() => return AttemptOutcome::Abandoned,
                () = sleep_until(self.attempt_limit) => return AttemptOutcome::Overdue,
                decision = self.decisions.recv() => match decision {
                    None => return AttemptOutcome::NodeGone,
                    Some(Decision::Refuse(refusal)) => return AttemptOutcome::Refused(refusal),
                    Some(Decision::Cancel(number)) if number == order.attempt => {
                        return AttemptOutcome::Cancelled;
                    }
                    Some(_) => {}
                },
            }
        }
    }

    /// The deadline has passed and the node has not said so. A dispatch that comes later finds nobody.
    async fn expire(&mut self) -> Refusal {
        self.link.send(SchedulerEvent::Disconnected(self.request)).await;
        self.refusal(RefusalCode::DeadlineExceeded, "the deadline passed before an answer")
    }

    /// The answer if the node's task has ended before a decision.
    fn node_gone(&self) -> Refusal {
        self.refusal(RefusalCode::ShuttingDown, "the process is shutting down")
    }

    /// "Not run" is only said if no attempt can have run.
    fn truthful(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run && refusal.outcome == CallOutcome::NotRun {
            return Refusal { outcome: CallOutcome::Unknown, ..refusal };
        }
        refusal
    }

    fn refusal(&self, code: RefusalCode, message: &str) -> Refusal {
        if self.may_have_run {
            Refusal::unknown(code, message)
        } else {
            Refusal::not_run(code, message)
        }
    }
}

/// Whether an attempt that ended like this can have run at its target.
fn can_have_run(end: AttemptEnd) -> bool {
    !matches!(
        end,
        AttemptEnd::NotSent | AttemptEnd::Unreached | AttemptEnd::Withheld | AttemptEnd::Rejected
    )
}

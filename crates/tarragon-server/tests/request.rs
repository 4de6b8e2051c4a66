//! The end of a request's attempt beside other events that are ready at the same moment.

use std::{sync::Arc, time::Duration};

use tarragon_protocol::prelude::*;
use tarragon_scheduler::event::SchedulerEvent;
use tarragon_server::{
    clock::{ProcessClock, RuntimeClock},
    process::Deadline,
    request::{
        AttemptReport, AttemptRunner, Decision, DecisionLink, DispatchOrder, RequestDriver,
        RequestEnd,
    },
};
use tokio::{
    join,
    sync::{Notify, mpsc},
    time::{Instant, sleep_until},
};
use tokio_util::sync::CancellationToken;

const ALLOWED: Duration = Duration::from_millis(500);
const EARLIER: Duration = Duration::from_millis(250);
const TURN: Duration = Duration::from_millis(5);
/// Plays of each case: the order in which ready events are seen must not be left to chance.
const PLAYS: usize = 32;

/// A link to a node that takes no decision.
#[derive(Clone)]
struct MuteLink;

impl DecisionLink for MuteLink {
    async fn send(&self, _event: SchedulerEvent) {}
    async fn release(&self, _request: RequestId) {}
}

/// A runner whose attempt is answered at a time, and once it is told.
struct TimedRunner {
    answered: Instant,
    told: Arc<Notify>,
}

impl AttemptRunner for TimedRunner {
    type Answer = ();

    async fn run(&mut self, _order: &DispatchOrder) -> AttemptReport<()> {
        join!(sleep_until(self.answered), self.told.notified());
        AttemptReport::Answered(())
    }

    fn dropped(&mut self, _order: &DispatchOrder) {}
}

struct EndCase {
    name: &'static str,
    /// When the answer is whole, from the arrival.
    answered: Duration,
    /// What the node decides in the same turn of the runtime.
    decision: fn(&DispatchOrder) -> Option<Decision>,
}

const CASES: &[EndCase] = &[
    EndCase { name: "the deadline", answered: ALLOWED, decision: |_| None },
    EndCase {
        name: "a cancellation",
        answered: EARLIER,
        decision: |order| Some(Decision::Cancel(order.attempt)),
    },
    EndCase {
        name: "a refusal",
        answered: EARLIER,
        decision: |_| {
            let refusal = Refusal::not_run(RefusalCode::DeadlineExceeded, "too late");
            Some(Decision::Refuse(refusal))
        },
    },
];

/// Guards against an answer that is whole and is dropped because something else is ready with it.
#[tokio::test(start_paused = true)]
async fn whole_answers_are_not_dropped_for_what_is_ready_with_them() {
    let mut failures = Vec::new();
    for case in CASES {
        let mut dropped = 0;
        for _ in 0..PLAYS {
            let clock = ProcessClock::Runtime(RuntimeClock::new());
            let deadline = Deadline::after(&clock, ALLOWED);
            let answered = Instant::now() + case.answered;
            let (sender, decisions) = mpsc::channel(4);
            let (target, address) = (TargetName::from("t0"), "127.0.0.1:1".to_owned());
            let order = DispatchOrder { request: 1, attempt: 1, target, address };
            sender.try_send(Decision::Dispatch(order.clone())).unwrap();
            let decision = (case.decision)(&order);
            let told = Arc::new(Notify::new());
            let mut runner = TimedRunner { answered, told: told.clone() };
            let node = tokio::spawn(async move {
                match decision {
                    // Both are ready when the driver has its next turn.
                    Some(decision) => {
                        sleep_until(answered + TURN).await;
                        sender.try_send(decision).unwrap();
                        told.notify_one();
                    }
                    None => told.notify_one(),
                }
                sender
            });
            let abandoned = CancellationToken::new();
            let driver = RequestDriver::of(&MuteLink, 1, deadline, abandoned, decisions);
            let (end, node) = join!(driver.run(&mut runner), node);
            node.unwrap();
            dropped += usize::from(!matches!(end, RequestEnd::Answered(())));
        }
        failures.extend((dropped > 0).then(|| format!("{}: {dropped} of {PLAYS}", case.name)));
    }
    assert!(failures.is_empty(), "{failures:?}");
}

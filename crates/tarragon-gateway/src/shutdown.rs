//! Graceful shutdown: the process takes no new callers, completes what it can until shortly before the end of the
//! grace period, and then gives all other requests their final answers.

use std::time::Duration;

use tarragon_fleet::prelude::*;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::{platform::CallProtocol, serve::GatewayHandle, shared_node::InterruptedRequest};

/// How long connections are still accepted after the signal: the load balancer checks readiness every second
/// and removes the process after two failed checks.
const ACCEPT_TIME_AFTER_SIGNAL: Duration = Duration::from_millis(2_600);
/// Most of the grace period, as a divisor, in which connections are accepted.
const ACCEPT_DIVISOR: u32 = 3;
/// Part of the grace period that is reserved for the process to exit before it is killed, and its largest part of
/// the period as a divisor.
const EXIT_RESERVE: Duration = Duration::from_millis(400);
const EXIT_DIVISOR: u32 = 20;
/// Time before the exit in which requests that can't be completed get their final answers, and its largest part
/// of the grace period as a divisor.
const ENDING_TIME: Duration = Duration::from_millis(600);
const ENDING_DIVISOR: u32 = 13;
/// Steps in which those answers are given, so that a small processor can write them.
const ENDING_STEPS: u32 = 6;

/// Times of a shutdown, from its signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// Until then, connections are accepted.
    pub accept: Duration,
    /// Until then, requests may be completed.
    pub work: Duration,
    /// Nothing begins in this time before `work`.
    pub reserve: Duration,
    /// Then the process exits.
    pub exit: Duration,
}

/// Result of a shutdown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShutdownReport {
    /// Requests that the shutdown interrupted while they ran, or that got no answer.
    pub interrupted: Vec<InterruptedRequest>,
}

impl ShutdownPlan {
    /// The times for a grace period.
    pub fn of(grace: Duration) -> ShutdownPlan {
        let exit = grace.saturating_sub(EXIT_RESERVE.min(grace / EXIT_DIVISOR));
        ShutdownPlan {
            accept: ACCEPT_TIME_AFTER_SIGNAL.min(grace / ACCEPT_DIVISOR),
            work: exit.saturating_sub(ENDING_TIME.min(grace / ENDING_DIVISOR)),
            reserve: start_reserve(grace),
            exit,
        }
    }
}

impl<D> GatewayHandle<D>
where
    D: CallProtocol,
{
    /// Shuts down gracefully: the process reports not ready at once, and open requests may finish within the
    /// grace period. Requests that can't are refused as soon as that is known, or get their final answers shortly
    /// before the exit.
    pub async fn shutdown(self) -> ShutdownReport {
        let (context, plan) = (self.context().clone(), ShutdownPlan::of(self.grace()));
        let began = Instant::now();
        let end = WorkEnd { at: (began + plan.work).into_std(), reserve: plan.reserve };
        tracing::info!(
            open = context.node.open_requests(),
            grace_ms = self.grace().as_millis() as u64,
            work_ms = plan.work.as_millis() as u64,
            exit_ms = plan.exit.as_millis() as u64,
            "graceful shutdown has started"
        );
        context.node.run(|node, now, actions| {
            node.start_drain();
            node.plan_end(now, end, actions);
        });
        self.signals.drain.cancel();
        sleep_until(began + plan.accept).await;
        self.signals.close.cancel();
        context.tasks.close();
        self.signals.connections.close();
        let whole = timeout_at(began + plan.work, self.all_ended()).await.is_ok();
        let interrupted =
            if whole { Vec::new() } else { self.end_requests(began + plan.exit).await };
        for request in &interrupted {
            tracing::error!(
                request = request.tag,
                started = request.started,
                "graceful shutdown interrupts the request"
            );
        }
        tracing::info!(interrupted = interrupted.len(), "process is exiting");
        self.abort();
        ShutdownReport { interrupted }
    }

    /// Gives all open requests their final answers, and waits until these are written. Returns the requests that
    /// ran, and those that remain.
    async fn end_requests(&self, exit: Instant) -> Vec<InterruptedRequest> {
        let context = self.context();
        context.ending.cancel();
        let mut interrupted = context.node.interrupted_requests();
        let open = interrupted.len();
        interrupted.retain(|request| request.started);
        tracing::warn!(open, running = interrupted.len(), "open requests get their final answers");
        let step_time = exit.saturating_duration_since(Instant::now()) / ENDING_STEPS;
        for steps_left in (1..=ENDING_STEPS).rev() {
            context.node.run(|node, now, actions| {
                let most = node.scheduler().in_flight().div_ceil(steps_left as usize);
                node.end_open(now, most, actions);
            });
            let until = (Instant::now() + step_time).min(exit);
            if timeout_at(until, self.all_ended()).await.is_ok() {
                return interrupted;
            }
        }
        for request in context.node.interrupted_requests() {
            if !interrupted.iter().any(|known| known.tag == request.tag) {
                interrupted.push(request);
            }
        }
        interrupted
    }

    /// Waits until all requests and connections have ended.
    async fn all_ended(&self) {
        self.context().tasks.wait().await;
        self.signals.connections.wait().await;
    }
}

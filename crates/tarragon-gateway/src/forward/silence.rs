//! Waits for a target. A silent one is left only if the request can be sent again at once.

use std::{future::Future, time::Duration};

use http_body_util::BodyExt;
use tarragon_server::{
    request::DispatchOrder,
    target::{
        body::{AnswerFault, BodyFrame, FrameSource},
        metered::TargetBody,
    },
};
use tokio::time::timeout;

use super::ForwardRunner;
use crate::platform::CallProtocol;

/// Interval at which it is checked whether the request can leave a silent target.
const REPLACE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Why a target isn't waited for any longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TargetSilence {
    /// Another attempt can begin.
    Replaceable,
    /// The deadline has passed.
    Overdue,
}

impl<D> ForwardRunner<'_, D>
where
    D: CallProtocol,
{
    /// Waits until the deadline for something that a target sends, or for `patience` if the request can be sent
    /// again.
    pub(super) async fn await_target<F>(
        &self,
        order: &DispatchOrder,
        patience: Duration,
        wait: F,
    ) -> Result<F::Output, TargetSilence>
    where
        F: Future + Send,
    {
        let remaining = self.call.deadline.remaining(&self.context.clock);
        if patience >= remaining {
            return timeout(remaining, wait).await.map_err(|_| TargetSilence::Overdue);
        }
        let wait = async {
            tokio::pin!(wait);
            if let Ok(output) = timeout(patience, &mut wait).await {
                return Ok(output);
            }
            self.check_silent_link(order, patience);
            let mut is_reported = false;
            loop {
                if self.context.node.may_replace(order) {
                    return Err(TargetSilence::Replaceable);
                }
                if !std::mem::replace(&mut is_reported, true) {
                    tracing::info!(
                        request = self.call.tag,
                        attempt = order.attempt,
                        target_address = &*order.target,
                        delivered = self.sink.position(),
                        silent_ms = patience.as_millis() as u64,
                        "target is silent; waiting on, since the request can't be sent again now"
                    );
                }
                if let Ok(output) = timeout(REPLACE_CHECK_INTERVAL, &mut wait).await {
                    return Ok(output);
                }
            }
        };
        timeout(remaining, wait).await.unwrap_or(Err(TargetSilence::Overdue))
    }
}

/// The body of an answer, read until its target is silent and the request can be sent again.
pub(super) struct ReplaceableBody<'a, 'b, D> {
    /// The runner of the request.
    pub runner: &'a ForwardRunner<'b, D>,
    /// The attempt.
    pub order: &'a DispatchOrder,
    /// Longest silence after which the request is sent again if it can be.
    pub patience: Duration,
    /// The body.
    pub body: TargetBody,
}

impl<D> FrameSource for ReplaceableBody<'_, '_, D>
where
    D: CallProtocol,
{
    async fn next_frame(&mut self) -> Result<Option<BodyFrame>, AnswerFault> {
        let frame = self.body.frame();
        let frame = self.runner.await_target(self.order, self.patience, frame).await;
        frame.map_err(|silence| match silence {
            TargetSilence::Replaceable => AnswerFault::Silent,
            TargetSilence::Overdue => AnswerFault::TooSlow,
        })
    }
}

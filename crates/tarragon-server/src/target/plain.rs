//! One attempt of a plain service call.

use std::io;

use http::{Method, Request, StatusCode, header};
use tarragon_protocol::{
    header::REQUEST_ID,
    peer::{PlainAnswer, PlainCall},
};
use tarragon_scheduler::event::AttemptEnd;

use super::{
    MAX_STATUS,
    body::AnswerLimits,
    engine::fault_end,
    pool::{CallBody, TargetConnection},
};
use crate::{
    caller::header::{apply_headers, forwarded_headers},
    process::{Deadline, ProcessContext},
    request::{AttemptReport, AttemptRunner, DispatchOrder},
};

/// Runs the attempts of one plain call.
pub struct PlainRunner<'a> {
    /// What all requests of the process share.
    pub process: &'a ProcessContext,
    /// The call.
    pub call: &'a PlainCall,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// After this time nothing is written to a target.
    pub deadline: Deadline,
}

impl AttemptRunner for PlainRunner<'_> {
    type Answer = PlainAnswer;

    async fn run(&mut self, order: &DispatchOrder) -> AttemptReport<PlainAnswer> {
        let Some(request) = self.build_call(order) else {
            return AttemptReport::Ended(AttemptEnd::Withheld);
        };
        let Ok(mut connection) = self.connect(order).await else {
            return AttemptReport::Ended(AttemptEnd::NotSent);
        };
        if let Err(end) = self.process.may_write(order, self.deadline).await {
            return AttemptReport::Ended(end);
        }
        let method = request.method().clone();
        let limits = self.process.timeouts;
        // A call that must not be repeated gains nothing from giving up before its caller does.
        let remaining = self.deadline.remaining(&self.process.clock);
        let first_byte =
            if self.idempotent { limits.first_byte } else { limits.first_byte.max(remaining) };
        let answer = if self.idempotent {
            let address = &order.address;
            connection.send_repeatable(address, limits.connect, request, first_byte).await
        } else {
            connection.send(request, first_byte).await
        };
        let response = match answer {
            Ok(response) => response,
            Err(fault) => return AttemptReport::Ended(fault_end(order, &fault)),
        };
        let status = response.status();
        if self.idempotent && is_overloaded(status) {
            return AttemptReport::Ended(AttemptEnd::Rejected);
        }
        if status.as_u16() > MAX_STATUS {
            let target = &*order.target;
            tracing::warn!(attempt = order.tag(), target, %status, "HTTP has no such status");
            return AttemptReport::Ended(AttemptEnd::Garbled);
        }
        let headers = forwarded_headers(response.headers());
        let bounds = AnswerLimits { bytes: limits.answer_bytes, wait: remaining };
        match self.process.answers.read_whole(&method, response, bounds, limits.idle).await {
            Ok(body) => {
                if self.idempotent {
                    self.process.pool.give_back(&order.address, connection);
                }
                let status = status.as_u16();
                AttemptReport::Answered(PlainAnswer { status, headers, body })
            }
            Err(fault) => {
                let target = &*order.target;
                tracing::warn!(attempt = order.tag(), target, ?fault, "the answer is not whole");
                AttemptReport::Ended(AttemptEnd::Broken)
            }
        }
    }

    fn dropped(&mut self, _order: &DispatchOrder) {}
}

impl PlainRunner<'_> {
    /// A call that must not be repeated gets a connection of its own.
    async fn connect(&self, order: &DispatchOrder) -> io::Result<TargetConnection> {
        let limit = self.process.timeouts.connect;
        if self.idempotent {
            self.process.pool.checkout(&order.address, limit).await
        } else {
            TargetConnection::open(&order.address, limit).await
        }
    }

    fn build_call(&self, order: &DispatchOrder) -> Option<Request<CallBody>> {
        let method = Method::from_bytes(self.call.method.as_bytes()).ok()?;
        let body = self.call.body.clone();
        let mut request = Request::builder()
            .method(method)
            .uri(&self.call.path)
            .header(header::HOST, &order.address)
            .header(REQUEST_ID, order.tag())
            .body(CallBody::new(body))
            .ok()?;
        apply_headers(request.headers_mut(), &self.call.headers);
        Some(request)
    }
}

fn is_overloaded(status: StatusCode) -> bool {
    matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
}

//! Answers to callers: bodies, JSON errors, and the headers that every answer carries.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use hyper::body::{Body, Frame, SizeHint};
use serde::Serialize;
use tarragon_protocol::{
    header::{OUTCOME, REQUEST_ID},
    prelude::*,
};
use tokio::sync::mpsc;
use tokio_util::sync::DropGuard;

use super::header::HeaderFault;

/// A piece of a streamed body.
#[derive(Debug)]
pub enum BodyPart {
    /// Bytes to pass on.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// Known from the start.
    Whole(Option<Bytes>),
    /// Arrives in parts. A channel that closes without [`BodyPart::End`] breaks the connection, so
    /// that a caller never takes a part for the whole.
    Stream {
        /// The parts.
        parts: mpsc::Receiver<BodyPart>,
        /// Tells by its drop that the caller has gone.
        guard: Option<DropGuard>,
    },
    /// A stream whose channel has closed too early.
    CutShort,
}

/// A streamed body ended before it was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyCutShort;

impl std::fmt::Display for BodyCutShort {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the answer ended before it was complete")
    }
}

impl std::error::Error for BodyCutShort {}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyCutShort;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyCutShort>>> {
        let body = self.get_mut();
        match body {
            AnswerBody::Whole(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            AnswerBody::Stream { parts, .. } => match ready!(parts.poll_recv(context)) {
                Some(BodyPart::Data(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Some(BodyPart::End) => Poll::Ready(None),
                None => {
                    // The HTTP library drops what it has not flushed when a body fails, and flushes when
                    // one is pending.
                    *body = AnswerBody::CutShort;
                    context.waker().wake_by_ref();
                    Poll::Pending
                }
            },
            AnswerBody::CutShort => Poll::Ready(Some(Err(BodyCutShort))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Stream { .. } | AnswerBody::CutShort => SizeHint::default(),
        }
    }
}

/// An answer on its way to the caller.
pub type CallerAnswer = Response<AnswerBody>;

/// Body of an error.
#[derive(Debug, Serialize)]
pub struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorFields<'a> {
    code: RefusalCode,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    header: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl<'a> ErrorBody<'a> {
    /// The JSON form of a refusal.
    pub fn new(refusal: &'a Refusal, header: Option<&'a str>) -> ErrorBody<'a> {
        let retry_after_ms = refusal.retry_after.map(milliseconds);
        let message = &refusal.message;
        ErrorBody { error: ErrorFields { code: refusal.code, message, header, retry_after_ms } }
    }

    /// The bytes to send.
    pub fn to_bytes(&self) -> Bytes {
        serde_json::to_vec(self).map_or_else(|_| Bytes::new(), Bytes::from)
    }
}

/// HTTP status of a refusal.
pub fn refusal_status(code: RefusalCode) -> StatusCode {
    match code {
        RefusalCode::InvalidHeader | RefusalCode::InvalidBody => StatusCode::BAD_REQUEST,
        RefusalCode::UnknownService => StatusCode::NOT_FOUND,
        RefusalCode::TicketRequired => StatusCode::PRECONDITION_REQUIRED,
        RefusalCode::TicketMismatch | RefusalCode::CrashesTargets => {
            StatusCode::UNPROCESSABLE_ENTITY
        }
        RefusalCode::TicketSealed => StatusCode::CONFLICT,
        RefusalCode::TicketExpired | RefusalCode::AnswerNotKept => StatusCode::GONE,
        RefusalCode::LimitReached => StatusCode::TOO_MANY_REQUESTS,
        RefusalCode::OwnerUnreachable | RefusalCode::TargetFailed => StatusCode::BAD_GATEWAY,
        RefusalCode::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        RefusalCode::Shed
        | RefusalCode::NoTarget
        | RefusalCode::ShuttingDown
        | RefusalCode::DataCentreOut => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// The answer for a refusal.
pub fn refusal_answer(refusal: &Refusal) -> CallerAnswer {
    error_answer(refusal_status(refusal.code), refusal, None)
}

/// The answer for a refusal with a status of its own, as for a body that is too large.
pub fn error_answer(status: StatusCode, refusal: &Refusal, header: Option<&str>) -> CallerAnswer {
    let body = ErrorBody::new(refusal, header).to_bytes();
    let mut answer = json_answer(status, refusal.outcome, body);
    if let Some(delay) = refusal.retry_after {
        answer.headers_mut().insert(header::RETRY_AFTER, seconds_up(delay).into());
    }
    answer.extensions_mut().insert(refusal.code);
    answer
}

/// The answer for headers that can't be read. It names the first one and describes all.
pub fn header_fault_answer(faults: &[HeaderFault]) -> CallerAnswer {
    let messages: Vec<&str> = faults.iter().map(|fault| fault.message.as_str()).collect();
    let refusal = Refusal::not_run(RefusalCode::InvalidHeader, messages.join("; "));
    let first = faults.first().map(|fault| fault.header);
    error_answer(StatusCode::BAD_REQUEST, &refusal, first)
}

/// An answer with a JSON body.
pub fn json_answer(status: StatusCode, outcome: CallOutcome, body: Bytes) -> CallerAnswer {
    let mut answer = Response::new(AnswerBody::Whole(Some(body)));
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    set_outcome(&mut answer, outcome);
    answer
}

/// An answer whose body arrives as server-sent events.
pub fn stream_answer(parts: mpsc::Receiver<BodyPart>) -> CallerAnswer {
    let mut answer = Response::new(AnswerBody::Stream { parts, guard: None });
    let headers = answer.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    set_outcome(&mut answer, CallOutcome::Done);
    answer
}

/// Sets the outcome header.
pub fn set_outcome(answer: &mut CallerAnswer, outcome: CallOutcome) {
    answer.headers_mut().insert(OUTCOME, HeaderValue::from_static(outcome.name()));
}

/// Sets the request id header.
pub fn set_request_id(answer: &mut CallerAnswer, request: RequestId) {
    if let Ok(value) = HeaderValue::from_str(&request_tag(request)) {
        answer.headers_mut().insert(REQUEST_ID, value);
    }
}

/// The text form of a request id.
pub fn request_tag(request: RequestId) -> String {
    format!("{request:016x}")
}

fn milliseconds(delay: Duration) -> u64 {
    u64::try_from(delay.as_millis()).unwrap_or(u64::MAX)
}

/// Whole seconds, rounded up, since the header has no fractions and zero would invite a storm.
fn seconds_up(delay: Duration) -> u64 {
    delay.as_millis().div_ceil(1_000).max(1).try_into().unwrap_or(u64::MAX)
}

//! One attempt of a chat-completions call at a model engine.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use serde_json::{Map, Value};
use tarragon_protocol::{
    engine::{ChatChunk, StreamExtension},
    header::REQUEST_ID,
    prelude::*,
};
use tarragon_scheduler::event::{AttemptEnd, AttemptProgress, SchedulerEvent};
use tokio::time::{Instant, timeout};

use super::{
    body::read_whole,
    event_stream::EventDecoder,
    pool::{CallBody, CallFault, TargetConnection},
    position::{ChunkVerdict, StreamPosition},
};
use crate::{
    caller::header::forwarded_headers,
    process::{Deadline, ProcessContext},
    request::{AttemptReport, AttemptRunner, DispatchOrder},
    target::metered::TargetBody,
    token_sink::{TokenSink, TokenText},
};

/// Shortest time between two progress reports of one request.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);
/// Largest error body of an engine that is passed on, in bytes.
const MAX_ERROR_BYTES: usize = 64 << 10;
/// Data of the event that ends a stream.
const DONE: &str = "[DONE]";

/// What an engine answered in the end.
#[derive(Debug)]
pub enum EngineAnswer {
    /// The whole text is in the position.
    Streamed,
    /// The engine refused the call as faulty; its answer is passed on.
    Rejected(PlainEngineAnswer),
}

/// An answer of an engine that is not a stream.
#[derive(Debug)]
pub struct PlainEngineAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers to pass on.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

/// Runs the attempts of one chat request.
pub struct EngineRunner<'a, S> {
    /// What all requests of the process share.
    pub process: &'a ProcessContext,
    /// Body as the caller sent it.
    pub fields: &'a Map<String, Value>,
    /// What the caller has received.
    pub position: StreamPosition,
    /// Takes the tokens.
    pub sink: S,
    /// After this time nothing is written to a target.
    pub deadline: Deadline,
}

/// State of one attempt's stream.
struct AttemptStream<'a> {
    order: &'a DispatchOrder,
    tag: String,
    written: Instant,
    progress: ProgressMeter,
}

/// Tokens of one attempt and when they were last reported.
#[derive(Default)]
struct ProgressMeter {
    tokens: u32,
    reported_tokens: u32,
    prefill_tokens: Option<u32>,
    cached_tokens: Option<u32>,
    first_token: Option<Duration>,
    reported: Option<Instant>,
}

impl<S> AttemptRunner for EngineRunner<'_, S>
where
    S: TokenSink,
{
    type Answer = EngineAnswer;

    async fn run(&mut self, order: &DispatchOrder) -> AttemptReport<EngineAnswer> {
        let limits = self.process.timeouts;
        let Some(request) = self.build_call(order) else {
            return AttemptReport::Ended(AttemptEnd::NotSent);
        };
        let connection = self.process.pool.checkout(&order.address, limits.connect).await;
        let Ok(mut connection) = connection else {
            return AttemptReport::Ended(AttemptEnd::NotSent);
        };
        if let Err(end) = self.process.may_write(order, self.deadline).await {
            self.process.pool.give_back(&order.address, connection);
            return AttemptReport::Ended(end);
        }
        let written = Instant::now();
        let answer = connection
            .send_repeatable(&order.address, limits.connect, request, limits.first_byte)
            .await;
        match answer {
            Err(fault) => AttemptReport::Ended(fault_end(order, &fault)),
            Ok(response) => {
                let tag = order.tag();
                let progress = ProgressMeter::default();
                let stream = AttemptStream { order, tag, written, progress };
                self.take_response(stream, connection, response).await
            }
        }
    }

    fn dropped(&mut self, order: &DispatchOrder) {
        let pool = self.process.pool.clone();
        let (address, tag) = (order.address.clone(), order.tag());
        tokio::spawn(async move { super::poll::cancel_request(&pool, &address, &tag).await });
    }
}

impl<S> EngineRunner<'_, S>
where
    S: TokenSink,
{
    fn build_call(&self, order: &DispatchOrder) -> Option<Request<CallBody>> {
        let extension = StreamExtension {
            request_id: order.tag(),
            resume_from: self.position.tokens,
            delivered: self.position.text.clone(),
        };
        let mut fields = self.fields.clone();
        fields.insert("stream".to_owned(), Value::Bool(true));
        fields.insert("tarragon".to_owned(), serde_json::to_value(extension).ok()?);
        let body = serde_json::to_vec(&fields).ok()?;
        Request::builder()
            .method(Method::POST)
            .uri("/v1/chat/completions")
            .header(header::HOST, &order.address)
            .header(header::CONTENT_TYPE, "application/json")
            .header(header::ACCEPT, "text/event-stream")
            .header(REQUEST_ID, order.tag())
            .body(CallBody::new(Bytes::from(body)))
            .ok()
    }

    async fn take_response(
        &mut self,
        stream: AttemptStream<'_>,
        connection: TargetConnection,
        response: Response<TargetBody>,
    ) -> AttemptReport<EngineAnswer> {
        let status = response.status();
        if status == StatusCode::OK {
            let address = stream.order.address.clone();
            let report = self.take_stream(stream, response.into_body()).await;
            if matches!(report, AttemptReport::Answered(_)) {
                self.process.pool.give_back(&address, connection);
            }
            return report;
        }
        if matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
            return AttemptReport::Ended(AttemptEnd::Rejected);
        }
        if !status.is_client_error() {
            return AttemptReport::Ended(AttemptEnd::Failed);
        }
        let headers = forwarded_headers(response.headers());
        let idle = self.process.timeouts.idle;
        match read_whole(&Method::POST, response, MAX_ERROR_BYTES, idle).await {
            Ok(body) => AttemptReport::Answered(EngineAnswer::Rejected(PlainEngineAnswer {
                status,
                headers,
                body,
            })),
            Err(_) => AttemptReport::Ended(AttemptEnd::Broken),
        }
    }

    async fn take_stream(
        &mut self,
        mut stream: AttemptStream<'_>,
        mut body: TargetBody,
    ) -> AttemptReport<EngineAnswer> {
        let idle = self.process.timeouts.idle;
        let mut decoder = EventDecoder::default();
        loop {
            let frame = match timeout(idle, body.frame()).await {
                Err(_) | Ok(None | Some(Err(_))) => {
                    return self.end_stream(&mut stream, AttemptEnd::Broken);
                }
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(data) = frame.into_data() else { continue };
            if decoder.push(&data).is_err() {
                return self.end_stream(&mut stream, AttemptEnd::Garbled);
            }
            while let Some(event) = decoder.next_event() {
                match self.take_event(&mut stream, &event).await {
                    EventResult::Continue => {}
                    EventResult::Done => {
                        // Reads the end of the body, so that the connection can be used again.
                        let _ = timeout(PROGRESS_INTERVAL, body.frame()).await;
                        stream.progress.report(&self.process.link, stream.order);
                        return AttemptReport::Answered(EngineAnswer::Streamed);
                    }
                    EventResult::Failed(end) => return self.end_stream(&mut stream, end),
                    EventResult::CallerStalled => return caller_stalled(),
                }
            }
        }
    }

    fn end_stream(
        &self,
        stream: &mut AttemptStream<'_>,
        end: AttemptEnd,
    ) -> AttemptReport<EngineAnswer> {
        stream.progress.report(&self.process.link, stream.order);
        tracing::warn!(
            attempt = stream.tag,
            target = &*stream.order.target,
            tokens = stream.progress.tokens,
            ?end,
            "a stream ended before its answer was complete"
        );
        AttemptReport::Ended(end)
    }

    async fn take_event(&mut self, stream: &mut AttemptStream<'_>, event: &str) -> EventResult {
        if event == DONE {
            let whole = self.position.finish.is_some();
            return if whole {
                EventResult::Done
            } else {
                EventResult::Failed(AttemptEnd::Garbled)
            };
        }
        let Ok(chunk) = serde_json::from_str::<ChatChunk>(event) else {
            return EventResult::Failed(AttemptEnd::Garbled);
        };
        // The place in the sink is taken first, so that a dropped attempt can't lose a token between the
        // position and the caller.
        let stall = self.process.timeouts.caller_stall;
        let Ok(Ok(place)) = timeout(stall, self.sink.reserve()).await else {
            return EventResult::CallerStalled;
        };
        let first = self.position.tokens == 0;
        match self.position.take(&stream.tag, &chunk) {
            ChunkVerdict::Foreign => {
                self.process.metrics.foreign_chunks.inc();
                tracing::warn!(attempt = stream.tag, "dropped a chunk of another request");
                EventResult::Continue
            }
            ChunkVerdict::Repeated => EventResult::Continue,
            ChunkVerdict::Unusable => EventResult::Failed(AttemptEnd::Garbled),
            ChunkVerdict::New { text, tokens, finish } => {
                stream.progress.take(&chunk, tokens, stream.written);
                S::deliver(place, TokenText { text, tokens, finish, first });
                stream.progress.report_if_due(&self.process.link, stream.order);
                EventResult::Continue
            }
        }
    }
}

/// A caller that takes nothing holds a place at a target that others wait for.
fn caller_stalled() -> AttemptReport<EngineAnswer> {
    let message = "the caller did not take its answer in time";
    let refusal = Refusal::unknown(RefusalCode::DeadlineExceeded, message);
    AttemptReport::Refused(AttemptEnd::Cancelled, refusal)
}

enum EventResult {
    Continue,
    Done,
    Failed(AttemptEnd),
    CallerStalled,
}

impl ProgressMeter {
    fn take(&mut self, chunk: &ChatChunk, tokens: u32, written: Instant) {
        self.tokens += tokens;
        self.first_token.get_or_insert_with(|| written.elapsed());
        if let Some(extension) = &chunk.tarragon {
            self.prefill_tokens = extension.prefill_tokens.or(self.prefill_tokens);
            self.cached_tokens = extension.cached_tokens.or(self.cached_tokens);
        }
    }

    fn report_if_due(&mut self, link: &crate::node_task::NodeLink, order: &DispatchOrder) {
        let due = self.reported.is_none_or(|reported| reported.elapsed() >= PROGRESS_INTERVAL);
        if due {
            self.report(link, order);
        }
    }

    /// Reports the tokens so far. Reports are cumulative, so one that finds the channel full is left to
    /// the next one rather than delaying the stream.
    fn report(&mut self, link: &crate::node_task::NodeLink, order: &DispatchOrder) {
        let Some(first_token) = self.first_token else { return };
        if self.reported.is_some() && self.reported_tokens == self.tokens {
            return;
        }
        let progress = AttemptProgress {
            request: order.request,
            attempt: order.attempt,
            tokens: self.tokens,
            prefill_tokens: self.prefill_tokens,
            cached_tokens: self.cached_tokens,
            first_token,
        };
        if link.try_send(SchedulerEvent::AttemptProgress(progress)) {
            self.reported = Some(Instant::now());
            self.reported_tokens = self.tokens;
        }
    }
}

/// How an attempt without an answer ended.
pub fn fault_end(order: &DispatchOrder, fault: &CallFault) -> AttemptEnd {
    tracing::warn!(attempt = order.tag(), target = &*order.target, %fault, "an attempt failed");
    match fault {
        CallFault::NotSent(_) => AttemptEnd::NotSent,
        CallFault::Broken(_) | CallFault::TimedOut => AttemptEnd::Broken,
    }
}

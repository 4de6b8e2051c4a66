//! Attempts of a call: sends it to a target, classifies the answer and returns or streams it.

pub mod notices;
mod relayed;
mod silence;
mod stream;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use hyper::body::Body;
use tarragon_fleet::{link::ConnectFault, origin::StreamKey, prelude::*};
use tarragon_server::{
    caller::answer::CallerAnswer,
    memory::MemoryCharge,
    process::Deadline,
    request::{AttemptReport, AttemptRunner, DispatchOrder},
    target::{
        body::{AnswerFault, AnswerLimits, collect_body},
        metered::TargetBody,
        pool::{CallBody, CallFault, ConnectionId, TargetConnection},
    },
};
use tokio::{
    sync::oneshot,
    time::{Instant, timeout},
};

use silence::{ReplaceableBody, TargetSilence};
pub use stream::StreamSink;

use self::notices::{
    TargetNotice, answers_the_call, apply_answer_head, idle_limit, watch_interim_answers,
};
use crate::{
    context::GatewayContext,
    platform::{AnswerKind, CallMetadata, CallProtocol},
    relay::PeerSlot,
};

/// Share of the remaining time that a target gets to answer while the call can still be retried.
const RETRYABLE_ATTEMPT_SHARE: f64 = 0.35;
/// A call is not sent with less time left, since its answer could not arrive before the deadline.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(3);

/// The charges of a call.
#[derive(Debug)]
pub struct CallMemory {
    /// For its body.
    pub body: MemoryCharge,
    /// For its head, tasks and channels.
    pub request: MemoryCharge,
}

/// A call of a caller, with its complete body.
#[derive(Debug)]
pub struct ForwardCall {
    /// The process's own id of the request.
    pub request: RequestId,
    /// The caller's id of the request.
    pub tag: String,
    /// The route, workspace and service that were found for it.
    pub routed: RoutedCall,
    /// Method.
    pub method: Method,
    /// Path with query, as the caller sent it.
    pub path: Uri,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Memory that is held until it has ended.
    pub memory: CallMemory,
    /// When it arrived.
    pub arrived: Instant,
    /// When the caller stops waiting for the answer.
    pub deadline: Deadline,
    /// Number of the last event that the caller received over an earlier connection.
    pub resume_after: Option<u64>,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
    /// Build of the targets that may run it, if it takes up a stream.
    pub build: Option<BuildKey>,
    /// Key of its stream, if that may be resumed.
    pub stream: Option<StreamKey>,
    /// Sizes of prompt and answer, if the call generates text.
    pub generation: Option<GenerationHead>,
}

/// An answer that is not streamed.
#[derive(Debug, Clone)]
pub struct WholeAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// How a call was answered.
#[derive(Debug)]
pub enum ForwardAnswer {
    /// By an answer that is not streamed.
    Whole(WholeAnswer),
    /// By a stream that is complete.
    Streamed,
}

/// Runs the attempts of one call.
pub struct ForwardRunner<'a, D> {
    context: &'a Arc<GatewayContext<D>>,
    call: &'a ForwardCall,
    sink: StreamSink,
    /// A server error that a target answered. It is returned to the caller if no later attempt succeeds.
    pub failed_answer: Option<WholeAnswer>,
    /// Build that began the stream, once that is known. Only its targets may get the call.
    build: Option<BuildKey>,
    sent: u32,
    /// Connections that have carried the call. A repeated answer on one of them bears the call's id.
    carriers: Vec<ConnectionId>,
}

/// An answer whose head has arrived, with the connection from which its body is read.
struct IncomingAnswer {
    connection: TargetConnection,
    head: http::response::Parts,
    body: TargetBody,
    sent: Instant,
    /// The peer that carries it, if this process has no link to the target.
    peer: Option<PeerSlot>,
    /// Whether its end shows only by the end of the target's connection.
    is_unframed: bool,
}

/// Why an exchange brought no head of an answer.
#[derive(Debug)]
enum ExchangeFault {
    /// The call failed.
    Call(CallFault),
    /// The target is silent, and the request can be sent again.
    Silent,
}

impl From<CallFault> for ExchangeFault {
    fn from(fault: CallFault) -> ExchangeFault {
        ExchangeFault::Call(fault)
    }
}

impl<D> AttemptRunner for ForwardRunner<'_, D>
where
    D: CallProtocol,
{
    type Answer = ForwardAnswer;

    async fn run(&mut self, order: &DispatchOrder) -> AttemptReport<ForwardAnswer> {
        let started = Instant::now();
        if self.sent == 0 {
            self.context.metrics.queue_time.observe(self.call.arrived.elapsed().as_secs_f64());
        }
        let report = self.attempt(order).await;
        let end = match &report {
            AttemptReport::Answered(_) => AttemptEnd::Finished,
            AttemptReport::Ended(end) | AttemptReport::Refused(end, _) => *end,
        };
        self.context.metrics.attempts.with_label_values(&[end_name(end)]).inc();
        if end != AttemptEnd::Finished {
            tracing::warn!(
                request = self.call.tag,
                attempt = order.attempt,
                target_address = &*order.target,
                end = end_name(end),
                spent_ms = started.elapsed().as_millis() as u64,
                delivered = self.sink.position(),
                "attempt failed"
            );
        }
        report
    }

    fn dropped(&mut self, order: &DispatchOrder) {
        self.context.metrics.attempts.with_label_values(&["dropped"]).inc();
        tracing::info!(
            request = self.call.tag,
            attempt = order.attempt,
            target_address = &*order.target,
            delivered = self.sink.position(),
            "attempt was dropped"
        );
    }
}

impl<'a, D> ForwardRunner<'a, D>
where
    D: CallProtocol,
{
    /// A runner whose streamed answer goes to `head`.
    pub fn new(
        context: &'a Arc<GatewayContext<D>>,
        call: &'a ForwardCall,
        head: oneshot::Sender<CallerAnswer>,
    ) -> ForwardRunner<'a, D> {
        let sink = StreamSink::new(head, call.resume_after, call.arrived);
        ForwardRunner {
            context,
            call,
            sink,
            failed_answer: None,
            build: call.build,
            sent: 0,
            carriers: Vec::new(),
        }
    }

    /// Returns the sink of the caller's answer.
    pub fn into_sink(self) -> StreamSink {
        self.sink
    }

    async fn attempt(&mut self, order: &DispatchOrder) -> AttemptReport<ForwardAnswer> {
        let ended = AttemptReport::Ended;
        if !self.sink.can_go_on() {
            let message = "the stream broke off after an event without a number";
            let refusal = Refusal::unknown(RefusalCode::TargetFailed, message);
            return AttemptReport::Refused(AttemptEnd::Withheld, refusal);
        }
        let is_lost = |node: &mut FleetNode, now, _: &mut _| node.avoids_link(&order.target, now);
        let is_lost = self.context.node.run(is_lost);
        if is_lost {
            match self.attempt_over_peers(order).await {
                // No peer takes it. The link may be back, or was only presumed to be lost.
                AttemptReport::Ended(AttemptEnd::Unreached) => {}
                report => return report,
            }
        }
        let connection = match self.connect(order).await {
            Ok(connection) => connection,
            Err(_) if is_lost => return ended(AttemptEnd::Unreached),
            Err(fault) => return self.attempt_after_fault(order, fault).await,
        };
        // The target may have been taken out of service while the connection was made.
        let service = &self.call.routed.service;
        let grant = self.context.node.view(|node| node.may_send(&order.target, service));
        // A process of another build may have taken its place, too.
        let grant = grant.filter(|grant| self.build.is_none_or(|build| build == grant.build));
        let Some(grant) = grant else { return ended(AttemptEnd::NotSent) };
        let remaining = self.call.deadline.remaining(&self.context.clock);
        if remaining < MIN_REMAINING_TIME {
            return ended(AttemptEnd::Withheld);
        }
        let Some(mut request) = self.build_request(order, &grant, remaining) else {
            return ended(AttemptEnd::Withheld);
        };
        let notice = self.notice(order, &grant);
        let is_reused = connection.is_reused();
        let interim = watch_interim_answers(self.context, &notice, is_reused, &mut request);
        self.context.node.start_attempt(order);
        tracing::info!(
            request = self.call.tag,
            id = self.call.request,
            attempt = order.attempt,
            target_address = &*order.target,
            instance = &*grant.instance,
            build = grant.build,
            service = &*self.call.routed.service,
            tier = self.call.routed.tier.name(),
            prompt_tokens = self.call.generation.as_ref().map(|size| size.prompt_tokens),
            max_tokens = self.call.generation.as_ref().map(|size| size.max_tokens),
            expected_tokens = self.call.generation.as_ref().and_then(|size| size.expected_tokens),
            version = self.call.routed.version,
            resume_after = self.sink.position(),
            remaining_ms = remaining.as_millis() as u64,
            waited_ms = self.call.arrived.elapsed().as_millis() as u64,
            "sent"
        );
        let answer = tokio::select! {
            answer = self.exchange(order, &order.address, connection, request, remaining) => {
                answer
            }
            () = interim.too_many.cancelled() => {
                tracing::warn!(
                    request = self.call.tag,
                    target_address = &*order.target,
                    "too many interim answers from the target"
                );
                return ended(AttemptEnd::Garbled);
            }
        };
        match answer {
            Ok(mut answer) => {
                if interim.is_misplaced() {
                    answer.connection.retire();
                }
                self.context.node.run(|node, now, _| node.record_link_contact(&order.target, now));
                match self.handle_answer(order, &grant, answer).await {
                    AttemptReport::Ended(AttemptEnd::Broken) => {
                        ended(self.judge_break(order).await)
                    }
                    report => report,
                }
            }
            Err(ExchangeFault::Call(CallFault::NotSent(error))) => {
                self.sent = self.sent.saturating_sub(1);
                self.attempt_after_fault(order, ConnectFault::from(&error)).await
            }
            Err(ExchangeFault::Call(CallFault::Broken(_) | CallFault::TimedOut)) => {
                ended(self.judge_break(order).await)
            }
            Err(ExchangeFault::Silent) => ended(AttemptEnd::Silent),
        }
    }

    /// Takes a pooled connection that has not carried the call, or opens a new one for a call that must not be
    /// repeated: if the target had just closed a pooled connection, the outcome of the call would be unknown.
    async fn connect(&self, order: &DispatchOrder) -> Result<TargetConnection, ConnectFault> {
        let limit = self.context.limits.connect;
        let connection = if self.is_repeatable() {
            self.context.pool.checkout_other(&order.address, limit, &self.carriers).await
        } else {
            self.context.pool.open(&order.address, limit).await
        };
        let connection = connection.map_err(|error| {
            tracing::info!(
                request = self.call.tag, target_address = &*order.target, %error,
                "failed to connect to the target"
            );
            self.context.node.run(|node, now, _| node.record_link_failure(&order.target, now));
            ConnectFault::from(&error)
        })?;
        if !connection.is_reused() {
            self.context.node.run(|node, now, _| node.record_link_connection(&order.target, now));
            self.context.metrics.target_connections.inc();
        }
        Ok(connection)
    }

    fn notice(&self, order: &DispatchOrder, grant: &SendGrant) -> TargetNotice {
        TargetNotice {
            target: order.target.clone(),
            instance: grant.instance.clone(),
            tag: self.call.tag.clone(),
        }
    }

    fn is_repeatable(&self) -> bool {
        self.call.routed.route.repeat != RepeatRule::AtMostOnce
    }

    /// Whether the call may be sent to another target if this attempt fails.
    fn may_retry(&self) -> bool {
        self.is_repeatable() && self.sent < self.call.routed.route.max_attempts
    }

    fn build_request(
        &self,
        order: &DispatchOrder,
        grant: &SendGrant,
        remaining: Duration,
    ) -> Option<Request<CallBody>> {
        let call = self.call;
        let metadata = CallMetadata {
            tag: &call.tag,
            instance: &grant.instance,
            workspace: call.routed.workspace.as_deref(),
            remaining,
            resume_after: self.sink.position(),
        };
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(call.path.clone())
            .body(CallBody::new(call.body.clone()))
            .inspect_err(
                |error| tracing::error!(request = call.tag, %error, "failed to build the call"),
            )
            .ok()?;
        *request.headers_mut() = self.context.protocol.call_headers(&call.headers, &metadata);
        if !request.headers().contains_key(header::HOST) {
            let host = call.headers.get(header::HOST).cloned();
            let host = host.or_else(|| order.address.parse().ok())?;
            request.headers_mut().insert(header::HOST, host);
        }
        Some(request)
    }

    /// Returns a connection to the pool, unless no further calls may be sent to its target.
    fn keep_connection(
        &self,
        order: &DispatchOrder,
        peer: Option<&PeerSlot>,
        connection: TargetConnection,
        headers: &HeaderMap,
    ) {
        if let Some(peer) = peer {
            self.context.relays.pool.give_back(&peer.address, connection);
            return;
        }
        let service = &self.call.routed.service;
        if self.context.node.view(|node| node.may_send(&order.target, service)).is_some() {
            let idle = idle_limit(headers);
            self.context.pool.give_back_for(&order.address, connection, idle);
        }
    }

    /// Sends the call and waits for the head of its answer.
    async fn exchange(
        &mut self,
        order: &DispatchOrder,
        address: &str,
        mut connection: TargetConnection,
        request: Request<CallBody>,
        remaining: Duration,
    ) -> Result<IncomingAnswer, ExchangeFault> {
        self.sent += 1;
        let sent = Instant::now();
        let was_reused = connection.is_reused();
        let answer = if self.is_repeatable() {
            let limit = self.context.limits.connect;
            let answer = connection.send_repeatable(address, limit, request, remaining);
            self.await_target(order, self.patience(remaining), answer).await
        } else {
            Ok(connection.send(request, remaining).await)
        };
        let answer = match answer {
            Ok(answer) => answer,
            Err(TargetSilence::Replaceable) => return Err(ExchangeFault::Silent),
            Err(TargetSilence::Overdue) => Err(CallFault::TimedOut),
        };
        self.carriers.push(connection.id());
        if was_reused && !connection.is_reused() {
            self.context.metrics.target_connections.inc();
            tracing::info!(
                request = self.call.tag,
                target_address = &*order.target,
                "connection was replaced before the call was written"
            );
        }
        let response = answer.inspect_err(|fault| {
            tracing::info!(
                request = self.call.tag, target_address = &*order.target, %fault, "no answer from the target"
            );
        })?;
        let (head, body) = response.into_parts();
        let is_unframed = notices::is_unframed(&head.headers);
        Ok(IncomingAnswer { connection, head, body, sent, peer: None, is_unframed })
    }

    /// How long the head of the target's answer, and each part of a body that is not streamed, is waited for
    /// before the request is sent again, if it can be.
    fn patience(&self, remaining: Duration) -> Duration {
        if !self.may_retry() {
            remaining
        } else if self.call.routed.route.streamed {
            self.context
                .limits
                .stream_silence
                .max(remaining.mul_f64(RETRYABLE_ATTEMPT_SHARE))
                .min(remaining)
        } else {
            remaining.mul_f64(RETRYABLE_ATTEMPT_SHARE)
        }
    }

    async fn handle_answer(
        &mut self,
        order: &DispatchOrder,
        grant: &SendGrant,
        answer: IncomingAnswer,
    ) -> AttemptReport<ForwardAnswer> {
        let echo = self.context.protocol.read_echo(&self.call.tag, &answer.head.headers);
        // A peer has checked it against its own connection to the target.
        let is_reused = answer.connection.is_reused() && answer.peer.is_none();
        if !answers_the_call(echo, is_reused) {
            tracing::warn!(
                request = self.call.tag,
                target_address = &*order.target,
                ?echo,
                status = answer.head.status.as_u16(),
                "answer belongs to another request"
            );
            return AttemptReport::Ended(AttemptEnd::Garbled);
        }
        let head = self.context.protocol.read_answer(&answer.head);
        let notice = self.notice(order, grant);
        apply_answer_head(self.context, &notice, &head, answer.head.status, answer.sent);
        match head.kind {
            AnswerKind::Answered => {}
            AnswerKind::NotRun => {
                self.drain_rejection(order, answer).await;
                return AttemptReport::Ended(AttemptEnd::Rejected);
            }
            AnswerKind::OtherInstance => {
                self.context.node.run(|node, now, actions| {
                    node.mark_target_replaced(now, &order.target, &grant.instance, actions);
                });
                return AttemptReport::Ended(AttemptEnd::Rejected);
            }
            AnswerKind::Unusable(cause) => {
                tracing::warn!(
                    request = self.call.tag,
                    target_address = &*order.target,
                    cause,
                    "answer can't be forwarded"
                );
                return AttemptReport::Ended(AttemptEnd::Garbled);
            }
        }
        if !self.sink.accepts(&answer.head) {
            tracing::warn!(
                request = self.call.tag,
                target_address = &*order.target,
                status = answer.head.status.as_u16(),
                delivered = self.sink.position(),
                "answer is no part of the stream that has begun"
            );
            let is_success = answer.head.status.is_success();
            let end = if is_success { AttemptEnd::Garbled } else { AttemptEnd::Failed };
            return AttemptReport::Ended(end);
        }
        if self.call.routed.route.streamed && answer.head.status.is_success() {
            return self.relay_stream(order, grant, answer).await;
        }
        self.read_whole_answer(order, answer).await
    }

    /// Reads the body of a rejection so that the connection can be reused, unless it is too large or slow.
    async fn drain_rejection(&self, order: &DispatchOrder, answer: IncomingAnswer) {
        let IncomingAnswer { connection, head, body, peer, .. } = answer;
        let limits = self.context.limits;
        let read = collect_body(body, limits.rejection_bytes, limits.rejection_time);
        if matches!(timeout(limits.rejection_time, read).await, Ok(Ok(_))) {
            self.keep_connection(order, peer.as_ref(), connection, &head.headers);
        }
    }

    async fn read_whole_answer(
        &mut self,
        order: &DispatchOrder,
        answer: IncomingAnswer,
    ) -> AttemptReport<ForwardAnswer> {
        let IncomingAnswer { connection, head, body, peer, .. } = answer;
        let remaining = self.call.deadline.remaining(&self.context.clock);
        let patience = self.patience(remaining);
        let announced = body.size_hint().exact();
        let source = ReplaceableBody { runner: &*self, order, patience, body };
        let limits = AnswerLimits { bytes: self.context.limits.answer_bytes, wait: remaining };
        let body = match self.context.answers.collect_from(source, announced, limits).await {
            Ok(body) => body,
            Err(AnswerFault::Silent) => return AttemptReport::Ended(AttemptEnd::Silent),
            Err(fault) => {
                tracing::warn!(
                    request = self.call.tag,
                    target_address = &*order.target,
                    ?fault,
                    status = head.status.as_u16(),
                    "answer is incomplete"
                );
                return AttemptReport::Ended(AttemptEnd::Broken);
            }
        };
        self.keep_connection(order, peer.as_ref(), connection, &head.headers);
        let headers = self.context.protocol.answer_headers(&head.headers);
        let whole = WholeAnswer { status: head.status, headers, body };
        if head.status.is_server_error() && self.may_retry() {
            self.failed_answer = Some(whole);
            return AttemptReport::Ended(AttemptEnd::Failed);
        }
        if implies_not_run(head.status) {
            // The target didn't declare that it hasn't run the request, so this status must not be forwarded.
            let message = "the target failed and may have run the request";
            let refusal = Refusal::unknown(RefusalCode::TargetFailed, message);
            return AttemptReport::Refused(AttemptEnd::Failed, refusal);
        }
        AttemptReport::Answered(ForwardAnswer::Whole(whole))
    }
}

/// Whether callers conclude from a status that the request has not run.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// Name of an attempt's end in logs and metrics.
pub fn end_name(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Finished => "finished",
        AttemptEnd::NotSent => "not_sent",
        AttemptEnd::Unreached => "unreached",
        AttemptEnd::Withheld => "withheld",
        AttemptEnd::Rejected => "rejected",
        AttemptEnd::Broken => "broken",
        AttemptEnd::Silent => "silent",
        AttemptEnd::Severed => "severed",
        AttemptEnd::Failed => "failed",
        AttemptEnd::Garbled => "garbled",
        AttemptEnd::Cancelled => "cancelled",
    }
}

/// The answer to a caller that is not streamed.
pub fn whole_response(answer: WholeAnswer) -> CallerAnswer {
    let body = tarragon_server::caller::answer::AnswerBody::Whole(Some(answer.body));
    let mut response = Response::new(body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}

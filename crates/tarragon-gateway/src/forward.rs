//! Attempts of a call: sends it to a target, classifies the answer and returns or streams it.

mod stream;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use tarragon_fleet::{origin::StreamKey, prelude::*};
use tarragon_server::{
    caller::answer::CallerAnswer,
    process::Deadline,
    request::{AttemptReport, AttemptRunner, DispatchOrder},
    target::{
        body::collect_body,
        metered::TargetBody,
        pool::{CallBody, CallFault, ConnectionId, TargetConnection},
    },
};
use tokio::{
    sync::oneshot,
    time::{Instant, timeout},
};
use tokio_util::sync::CancellationToken;

pub use stream::StreamSink;

use crate::{
    context::GatewayContext,
    platform::{AnswerEcho, AnswerHead, AnswerKind, CallMetadata, CallProtocol},
};

/// Share of the remaining time that a target gets to answer while the call can still be retried.
const RETRYABLE_ATTEMPT_SHARE: f64 = 0.35;
/// Interim (1xx) answers accepted for one attempt. A target that sends more is treated as sending no answer.
const MAX_INTERIM_ANSWERS: u32 = 64;
/// A call is not sent with less time left, since its answer could not arrive before the deadline.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(3);
/// How long an idle connection is kept if the target's `Keep-Alive` header gives no limit: the limit may be
/// below one second.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(400);
/// Share of the idle limit in a target's `Keep-Alive` header for which its connection is reused.
const IDLE_SHARE: f64 = 0.7;

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

/// What the interim answers of one attempt have shown.
#[derive(Debug, Clone, Default)]
struct InterimWatch {
    /// Cancelled when there are too many of them.
    too_many: CancellationToken,
    /// Whether one of them belongs to another request.
    misplaced: Arc<AtomicBool>,
}

/// An answer whose head has arrived, with the connection from which its body is read.
struct IncomingAnswer {
    connection: TargetConnection,
    head: http::response::Parts,
    body: TargetBody,
    sent: Instant,
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
        let connection = match self.connect(order).await {
            Ok(connection) => connection,
            Err(end) => return ended(end),
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
        let interim = self.watch_interim_answers(order, &grant, &connection, &mut request);
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
            answer = self.exchange(order, connection, request, remaining) => answer,
            () = interim.too_many.cancelled() => {
                tracing::warn!(
                    request = self.call.tag,
                    target_address = &*order.target,
                    "too many interim answers from the target"
                );
                Err(AttemptEnd::Garbled)
            }
        };
        match answer {
            Ok(mut answer) => {
                if interim.misplaced.load(Ordering::Relaxed) {
                    answer.connection.retire();
                }
                self.handle_answer(order, &grant, answer).await
            }
            Err(end) => ended(end),
        }
    }

    /// Takes a pooled connection that has not carried the call, or opens a new one for a call that must not be
    /// repeated: if the target had just closed a pooled connection, the outcome of the call would be unknown.
    async fn connect(&self, order: &DispatchOrder) -> Result<TargetConnection, AttemptEnd> {
        let limit = self.context.limits.connect;
        let connection = if self.is_repeatable() {
            self.context.pool.checkout_other(&order.address, limit, &self.carriers).await
        } else {
            TargetConnection::open(&order.address, limit).await
        };
        let connection = connection.map_err(|error| {
            tracing::info!(
                request = self.call.tag, target_address = &*order.target, %error,
                "failed to connect to the target"
            );
            AttemptEnd::NotSent
        })?;
        if !connection.is_reused() {
            self.context.metrics.target_connections.inc();
        }
        Ok(connection)
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

    /// Checks interim answers for notices of the target about itself.
    fn watch_interim_answers(
        &self,
        order: &DispatchOrder,
        grant: &SendGrant,
        connection: &TargetConnection,
        request: &mut Request<CallBody>,
    ) -> InterimWatch {
        let context = self.context.clone();
        let (target, instance) = (order.target.clone(), grant.instance.clone());
        let (tag, sent) = (self.call.tag.clone(), Instant::now().into_std());
        let is_reused = connection.is_reused();
        let watch = InterimWatch::default();
        let InterimWatch { too_many, misplaced } = watch.clone();
        let count = AtomicU32::new(0);
        hyper::ext::on_informational(request, move |interim| {
            if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_ANSWERS {
                too_many.cancel();
            }
            let headers = interim.headers();
            let echo = context.protocol.read_echo(&tag, headers);
            if echo == AnswerEcho::Other {
                let target_address = &*target;
                tracing::warn!(
                    request = tag,
                    target_address,
                    "interim answer belongs to another request"
                );
                misplaced.store(true, Ordering::Relaxed);
                return;
            }
            // An answer without an id may be that of an earlier call, but a process doesn't take leaving back.
            if context.protocol.is_leaving(headers) {
                report_leaving(&context, &target, &instance);
            }
            // Interim answers may lack headers that the final one has, so they don't end a limit.
            let rate = context.protocol.read_rate(headers);
            if rate != RateStatement::Unlimited && answers_the_call(echo, is_reused) {
                let answer =
                    RateAnswer { request: &tag, instance: &instance, sent, statement: rate };
                report_rate(&context, &target, &answer);
            }
            let statement = context.protocol.read_rejections(headers);
            if statement != RejectionStatement::Unlimited && answers_the_call(echo, is_reused) {
                let answer =
                    RejectionAnswer { request: &tag, instance: &instance, sent, statement };
                report_rejections(&context, &target, &answer);
            }
        });
        watch
    }

    /// Reports to the node what the head of an answer says about the target itself.
    fn apply_answer_head(
        &self,
        order: &DispatchOrder,
        grant: &SendGrant,
        head: &AnswerHead,
        answer: &IncomingAnswer,
    ) {
        let (target, instance) = (&order.target, &grant.instance);
        if let Some(load) = head.load {
            self.context.node.run(|node, now, actions| {
                node.update_target_load(now, target, load.running, load.waiting, actions);
            });
        }
        if head.leaving {
            report_leaving(self.context, target, instance);
        }
        if let Some(pause) = head.pause {
            self.context.node.run(|node, now, actions| {
                node.pause_target(now, target, instance, pause, actions);
            });
        }
        // Only a success of this target shows that its limit has ended: an error may come from a part of the
        // target that knows nothing of it, and other answers from another instance.
        let is_own_success = head.kind == AnswerKind::Answered && answer.head.status.is_success();
        if is_own_success || head.rate.limit().is_some() {
            let request = &self.call.tag;
            let sent = answer.sent.into_std();
            let answer = RateAnswer { request, instance, sent, statement: head.rate };
            report_rate(self.context, target, &answer);
        }
        if is_own_success || head.rejections.limit().is_some() {
            let (request, sent) = (&self.call.tag, answer.sent.into_std());
            let answer = RejectionAnswer { request, instance, sent, statement: head.rejections };
            report_rejections(self.context, target, &answer);
        }
    }

    /// Returns a connection to the pool, unless no further calls may be sent to its target.
    fn keep_connection(
        &self,
        order: &DispatchOrder,
        connection: TargetConnection,
        headers: &HeaderMap,
    ) {
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
        mut connection: TargetConnection,
        request: Request<CallBody>,
        remaining: Duration,
    ) -> Result<IncomingAnswer, AttemptEnd> {
        self.sent += 1;
        let answer_timeout = self.answer_timeout(remaining);
        let sent = Instant::now();
        let was_reused = connection.is_reused();
        let answer = if self.is_repeatable() {
            let limit = self.context.limits.connect;
            connection.send_repeatable(&order.address, limit, request, answer_timeout).await
        } else {
            connection.send(request, answer_timeout).await
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
        let response = answer.map_err(|fault| {
            tracing::info!(
                request = self.call.tag, target_address = &*order.target, %fault, "no answer from the target"
            );
            match fault {
                CallFault::NotSent(_) => AttemptEnd::NotSent,
                CallFault::Broken(_) | CallFault::TimedOut => AttemptEnd::Broken,
            }
        })?;
        let (head, body) = response.into_parts();
        Ok(IncomingAnswer { connection, head, body, sent })
    }

    /// Longest wait for the head of the target's answer, and for each part of a body that is not streamed.
    fn answer_timeout(&self, remaining: Duration) -> Duration {
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
        if !answers_the_call(echo, answer.connection.is_reused()) {
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
        self.apply_answer_head(order, grant, &head, &answer);
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
        if self.call.routed.route.streamed && answer.head.status.is_success() {
            return self.relay_stream(order, grant, answer).await;
        }
        self.read_whole_answer(order, answer).await
    }

    /// Reads the body of a rejection so that the connection can be reused, unless it is too large or slow.
    async fn drain_rejection(&self, order: &DispatchOrder, answer: IncomingAnswer) {
        let IncomingAnswer { connection, head, body, .. } = answer;
        let limits = self.context.limits;
        let read = collect_body(body, limits.rejection_bytes, limits.rejection_time);
        if matches!(timeout(limits.rejection_time, read).await, Ok(Ok(_))) {
            self.keep_connection(order, connection, &head.headers);
        }
    }

    async fn read_whole_answer(
        &mut self,
        order: &DispatchOrder,
        answer: IncomingAnswer,
    ) -> AttemptReport<ForwardAnswer> {
        let IncomingAnswer { connection, head, body, .. } = answer;
        let remaining = self.call.deadline.remaining(&self.context.clock);
        let answer_timeout = self.answer_timeout(remaining);
        let limit = self.context.limits.answer_bytes;
        let body = match self.context.answers.collect(body, limit, answer_timeout).await {
            Ok(body) => body,
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
        self.keep_connection(order, connection, &head.headers);
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

/// Whether an answer belongs to the call that was sent last on its connection. An answer without an id on a
/// reused connection may belong to an earlier call.
fn answers_the_call(echo: AnswerEcho, is_reused: bool) -> bool {
    match echo {
        AnswerEcho::Own => true,
        AnswerEcho::Missing => !is_reused,
        AnswerEcho::Other => false,
    }
}

/// Tells the node that a target is about to stop, and closes the idle connections to it.
fn report_leaving<D>(context: &GatewayContext<D>, target: &TargetName, instance: &str) {
    context.node.run(|node, now, actions| node.mark_target_leaving(now, target, instance, actions));
    context.pool.retain(|address| address != &**target);
}

/// Tells the node what an answer says about the rate that its target accepts.
fn report_rate<D>(context: &GatewayContext<D>, target: &TargetName, answer: &RateAnswer<'_>) {
    context.metrics.rate_statements.with_label_values(&[answer.statement.name()]).inc();
    let changed =
        context.node.run(|node, now, actions| node.apply_rate(now, target, answer, actions));
    if changed {
        context.node.urgent_digest.notify_one();
    }
}

/// Tells the node what an answer says about the rejections that its target can bear.
fn report_rejections<D>(
    context: &GatewayContext<D>,
    target: &TargetName,
    answer: &RejectionAnswer<'_>,
) {
    context.metrics.rejection_statements.with_label_values(&[answer.statement.name()]).inc();
    let changed =
        context.node.run(|node, now, actions| node.apply_rejections(now, target, answer, actions));
    if changed {
        context.node.urgent_digest.notify_one();
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

/// Time for which an idle connection may be reused, from the target's `Keep-Alive` header.
fn idle_limit(headers: &HeaderMap) -> Duration {
    let text = headers.get("keep-alive").and_then(|value| value.to_str().ok()).unwrap_or("");
    let seconds = text.split(',').find_map(|part| {
        let value = part.trim().strip_prefix("timeout=")?;
        value.trim().parse::<u64>().ok()
    });
    seconds.map_or(DEFAULT_IDLE_TIME, |seconds| Duration::from_secs(seconds).mul_f64(IDLE_SHARE))
}

/// Name of an attempt's end in logs and metrics.
pub fn end_name(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Finished => "finished",
        AttemptEnd::NotSent => "not_sent",
        AttemptEnd::Withheld => "withheld",
        AttemptEnd::Rejected => "rejected",
        AttemptEnd::Broken => "broken",
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

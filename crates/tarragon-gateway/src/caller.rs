//! Handles the requests of callers, from arrival to answer.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, header};
use hyper::body::{Body, Incoming};
use tarragon_fleet::{
    hash::update_field,
    node::{AdmissionRequest, MAX_PREFIX_BLOCKS, prefix_block_count, stream_span, wait_limit},
    origin::{StreamKey, stream_key},
    prelude::*,
};
use tarragon_server::{
    caller::{
        answer::{AnswerBody, CallerAnswer, ErrorBody},
        body::{
            BodyFault, BodyLimits, BodyRoom, ChargedBody, MEMORY_RETRY_AFTER, MEMORY_WAIT,
            REFUSED_BODY_TIME, SMALL_BODY_BYTES, discard_body, discard_rest, read_charged_body,
        },
        listener::UNREAD_BYTES,
    },
    memory::{MemoryCharge, MemoryShare},
    process::Deadline,
    request::{RequestDriver, RequestEnd},
};
use tokio::{sync::oneshot, time::Instant};
use tokio_util::sync::{CancellationToken, DropGuard};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    connection::{AnswerState, BytesBehind, ConnectionWatch},
    context::GatewayContext,
    evidence::find_build_by_part,
    forward::{CallMemory, ForwardAnswer, ForwardCall, ForwardRunner, whole_response},
    origins::{StreamLookup, find_build},
    platform::CallProtocol,
    shared_node::SharedNodeLink,
};

/// Longest wait for the next part of a caller's body.
const BODY_PART_TIMEOUT: Duration = Duration::from_secs(5);
/// Memory of a request that waits, beside its head, its body and its connection: its tasks, channels and headers for the
/// target.
const REQUEST_BYTES: usize = 40 << 10;
/// Memory of a stream: small events that its caller has yet to take, and the read buffer of its target's connection.
const STREAM_BYTES: usize = 32 << 10;
/// How often the bytes of a head are kept: as they arrived, decoded, and for the target.
const HEAD_COPIES: usize = 3;
/// Retry-after time for callers who take up a stream right after the start of a process, which has yet to hear
/// from its peers.
const ORIGIN_KNOWN_SOON: Duration = Duration::from_millis(500);
/// Source of the build of a stream in logs and metrics, if engines have told it.
const EVIDENCE_SOURCE: &str = "cached_part";
/// Most prompt parts in the log line of a request.
const MAX_LOGGED_PARTS: usize = 8;

/// Answers a caller's request.
pub async fn handle<D>(
    context: Arc<GatewayContext<D>>,
    message: Request<Incoming>,
    watch: &ConnectionWatch,
) -> CallerAnswer
where
    D: CallProtocol,
{
    let arrived = Instant::now();
    let (head, mut body) = message.into_parts();
    let head_bytes = head_bytes(&head);
    let announced = body.size_hint().exact();
    watch.claim(head_bytes + announced.unwrap_or(0) as usize);
    let (call_head, routed) = match route(&context, &head) {
        Ok(routed) => routed,
        Err(answer) => {
            tokio::select! {
                () = discard_refused(&context, body) => {}
                () = context.ending.cancelled() => {}
            }
            return *answer;
        }
    };
    watch.set_tag(&call_head.tag);
    let wait = wait_limit(&routed.route, call_head.time_left);
    let deadline = Deadline::after(&context.clock, wait);
    let limits = body_limits(context.caller_limits(), wait);
    let held = charge_request(&context, &call_head, &routed.route, head_bytes);
    let expects_continue = head.headers.contains_key(header::EXPECT);
    let Some(held) = held else {
        let refused = refuse_unread(&context, &mut body, MemoryShare::Requests, &call_head.tag);
        return refused.await;
    };
    let received = receive_body(&context, &call_head.tag, &mut body, limits, expects_continue);
    let ChargedBody { bytes: body, charge: memory } =
        match before_end(&context, &call_head.tag, received).await {
            Ok(Ok(body)) => body,
            Ok(Err(answer)) | Err(answer) => return *answer,
        };
    watch.set_state(AnswerState::Waiting);
    // The length of a body in chunks doesn't tell how many bytes brought it. The charge ends with the connection, also if
    // the call runs on.
    let _behind = match announced.is_none() || watch.has_unclaimed() {
        true => match BytesBehind::charge(&context.memory, watch) {
            Some(behind) => Some(behind),
            None => return memory_refusal(&context, &call_head.tag, MemoryShare::Unread),
        },
        false => None,
    };
    let event_tokens = context.node.view(|node| {
        let terms = node.operator_state().service_configuration(&routed.service);
        terms.map_or(1, |terms| terms.event_tokens.max(1))
    });
    let origin = find_origin(&context, &call_head, &routed);
    let (build, stream) = match before_end(&context, &call_head.tag, origin).await {
        Ok(Ok(origin)) => origin,
        Ok(Err(answer)) | Err(answer) => return *answer,
    };
    let call = ForwardCall {
        request: context.ids.next(),
        tag: call_head.tag.clone(),
        routed,
        method: head.method,
        path: head.uri,
        headers: head.headers,
        body,
        memory: CallMemory { body: memory, request: held },
        arrived,
        deadline,
        resume_after: call_head.resume_after,
        event_tokens,
        build,
        stream,
        generation: call_head.generation,
    };
    let answer = serve_call(context.clone(), call).await;
    let bytes = answer.body().size_hint().exact().unwrap_or(0) as usize;
    if bytes > SMALL_BODY_BYTES {
        let give_up = watch.give_up.clone();
        watch.begin_answer(context.memory.open_transfer(MemoryShare::Answers, bytes, give_up));
    }
    answer
}

/// About as many bytes as the head of a request had.
fn head_bytes(head: &http::request::Parts) -> usize {
    /// Version, separators and line ends of the request line.
    const LINE_BYTES: usize = 12 + 2;
    /// Separator and line end of a header.
    const SEPARATOR_BYTES: usize = 4;
    let header = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        name.as_str().len() + value.len() + SEPARATOR_BYTES
    };
    let path = head.uri.path_and_query().map_or(0, |path| path.as_str().len());
    let line = head.method.as_str().len() + path + LINE_BYTES;
    line + head.headers.iter().map(header).sum::<usize>()
}

/// Charges what a request holds beside its body until it has ended.
fn charge_request<D>(
    context: &GatewayContext<D>,
    head: &CallHead,
    route: &CallRoute,
    head_bytes: usize,
) -> Option<MemoryCharge> {
    let blocks = head.generation.as_ref().map_or(0, prefix_block_count).min(MAX_PREFIX_BLOCKS);
    let stream_bytes = if route.streamed { STREAM_BYTES } else { 0 };
    let bytes = REQUEST_BYTES + stream_bytes + HEAD_COPIES * head_bytes;
    let bytes = bytes + blocks * size_of::<BlockHash>();
    context.memory.charge_now(MemoryShare::Requests, bytes)
}

/// Refuses a request whose body has not been read.
async fn refuse_unread<D>(
    context: &GatewayContext<D>,
    body: &mut Incoming,
    share: MemoryShare,
    tag: &str,
) -> CallerAnswer
where
    D: CallProtocol,
{
    let limit = context.caller_limits().body_bytes;
    discard_rest(body, limit, REFUSED_BODY_TIME).await;
    memory_refusal(context, tag, share)
}

/// Awaits what a request needs before it is admitted. If the process is about to end first, the request is refused.
async fn before_end<D, F>(
    context: &GatewayContext<D>,
    tag: &str,
    wait: F,
) -> Result<F::Output, Box<CallerAnswer>>
where
    D: CallProtocol,
    F: Future,
{
    tokio::select! {
        biased;
        output = wait => Ok(output),
        () = context.ending.cancelled() => {
            let message = "the process shuts down before the request could be served";
            let refusal = Refusal::not_run(RefusalCode::ShuttingDown, message)
                .with_retry_after(RETRY_AFTER_END);
            tracing::warn!(request = tag, cause = refusal.message, "refused");
            context.metrics.count_answer("not_run", refusal_cause(refusal.code));
            Err(Box::new(refusal_answer(context, &refusal)))
        }
    }
}

/// Parses the head of a request and finds its route and service.
fn route<D>(
    context: &GatewayContext<D>,
    head: &http::request::Parts,
) -> Result<(CallHead, RoutedCall), Box<CallerAnswer>>
where
    D: CallProtocol,
{
    let call_head = context.protocol.read_head(head).map_err(|fault| {
        tracing::info!(cause = fault.message, "refused: invalid request head");
        context.metrics.count_answer("not_run", "invalid_head");
        Box::new(text_answer(StatusCode::BAD_REQUEST, HeaderMap::new(), &fault.message))
    })?;
    let host = head.headers.get(header::HOST).and_then(|value| value.to_str().ok()).unwrap_or("");
    let path = head.uri.path();
    let routed = context.node.view(|node| {
        let version = node.operator_state().version();
        node.route(host, path, &call_head).map_err(|fault| (fault, version))
    });
    match routed {
        Ok(routed) => Ok((call_head, routed)),
        Err((fault, version)) => {
            tracing::info!(
                request = call_head.tag,
                host,
                path,
                ?fault,
                version,
                "refused: no route"
            );
            context.metrics.count_answer("not_run", fault_name(fault));
            let (status, headers) = context.protocol.fault_head(fault);
            Err(Box::new(text_answer(status, headers, fault_name(fault))))
        }
    }
}

/// Finds the build to which a request is bound because it takes up a stream, and the key of its stream, if that may
/// be resumed. A stream whose build nobody knows can't go on: its parts might not fit together.
async fn find_origin<D>(
    context: &Arc<GatewayContext<D>>,
    head: &CallHead,
    routed: &RoutedCall,
) -> Result<(Option<BuildKey>, Option<StreamKey>), Box<CallerAnswer>>
where
    D: CallProtocol,
{
    let RoutedCall { route, workspace, service, .. } = routed;
    if route.repeat != RepeatRule::Resumable || !route.streamed {
        return Ok((None, None));
    }
    let key = |tag: &str| stream_key(workspace.as_deref(), service, tag);
    let is_new = head.resumes.is_none() && head.resume_after.is_none_or(|number| number == 0);
    if is_new {
        return Ok((None, Some(key(&head.tag))));
    }
    let asked = Instant::now();
    let stream = head.resumes.as_deref().map(key);
    let lookup = StreamLookup { stream, service, span: stream_span(route) };
    let mut found = find_build(context, lookup).await;
    if found.is_none() {
        found = find_evidence(context, head, routed).await;
    }
    let source = found.map_or("unknown", |(_, source)| source);
    tracing::info!(
        request = head.tag,
        resumes = head.resumes,
        position = head.resume_after,
        build = found.map(|(build, _)| build),
        source,
        asked_ms = asked.elapsed().as_millis() as u64,
        "caller takes up a stream"
    );
    context.metrics.take_ups.with_label_values(&[source]).inc();
    if let Some((build, _)) = found {
        return Ok((Some(build), stream.or_else(|| Some(key(&head.tag)))));
    }
    let message = "the software version that began the stream is not known; begin the request anew";
    let refusal = Refusal::not_run(RefusalCode::NoTarget, message);
    let is_settling = context.node.run(|node, now, _| node.is_settling(now));
    let refusal = if is_settling { refusal.with_retry_after(ORIGIN_KNOWN_SOON) } else { refusal };
    context.metrics.count_answer("not_run", "unknown_origin");
    Err(Box::new(refusal_answer(context, &refusal)))
}

/// Asks the engines for the build of a stream that may have begun before this process and its peers started.
async fn find_evidence<D>(
    context: &Arc<GatewayContext<D>>,
    head: &CallHead,
    routed: &RoutedCall,
) -> Option<(BuildKey, &'static str)>
where
    D: CallProtocol,
{
    let span = stream_span(&routed.route);
    if !context.node.run(|node, now, _| node.may_lack_records(span, now)) {
        return None;
    }
    // The last part belongs to the request, or to its session.
    let (part, _) = head.generation.as_ref()?.parts.last()?;
    let build = find_build_by_part(context, &routed.service, *part).await?;
    Some((build, EVIDENCE_SOURCE))
}

fn fault_name(fault: CallFault) -> &'static str {
    match fault {
        CallFault::NotConfigured => "not_configured",
        CallFault::UnknownRoute => "unknown_route",
        CallFault::UnknownKey => "unknown_key",
    }
}

fn body_limits(limits: CallerLimits, wait: Duration) -> BodyLimits {
    BodyLimits { bytes: limits.body_bytes, part: BODY_PART_TIMEOUT, whole: wait }
}

async fn discard_refused<D>(context: &GatewayContext<D>, body: Incoming) {
    let limits = body_limits(context.caller_limits(), BODY_PART_TIMEOUT);
    if let Err(fault) = discard_body(body, limits).await {
        tracing::info!(?fault, "body of a refused request was not read to its end");
    }
}

/// Receives the body of a request. If that fails, the answer tells why, and the connection is closed after it.
async fn receive_body<D>(
    context: &GatewayContext<D>,
    tag: &str,
    body: &mut Incoming,
    limits: BodyLimits,
    expects_continue: bool,
) -> Result<ChargedBody, Box<CallerAnswer>>
where
    D: CallProtocol,
{
    // Reading on from a refused body asks a caller that has not sent it yet to do so.
    let is_awaited = expects_continue && !body.is_end_stream();
    let Some(_unread) = charge_unread(context, body) else {
        return Err(Box::new(memory_refusal(context, tag, MemoryShare::Unread)));
    };
    let room = BodyRoom {
        account: &context.memory,
        share: MemoryShare::CallerBodies,
        small_share: MemoryShare::SmallBodies,
        wait: MEMORY_WAIT,
    };
    let fault = match read_charged_body(body, limits, room).await {
        Ok(received) => return Ok(received),
        Err(fault) => fault,
    };
    let answer = match fault {
        BodyFault::NoRoom => memory_refusal(context, tag, MemoryShare::CallerBodies),
        _ => body_fault_answer(context, tag, fault),
    };
    if matches!(fault, BodyFault::NoRoom | BodyFault::TooLarge) && !is_awaited {
        discard_rest(body, limits.bytes, REFUSED_BODY_TIME).await;
    }
    Err(Box::new(answer))
}

/// Charges what the kernel may hold of a body that isn't read, or whose length isn't announced. The memory of other
/// small bodies covers it.
fn charge_unread<D>(context: &GatewayContext<D>, body: &Incoming) -> Option<Option<MemoryCharge>> {
    if body.size_hint().exact().is_some_and(|bytes| bytes <= SMALL_BODY_BYTES as u64) {
        return Some(None);
    }
    context.memory.charge_now(MemoryShare::Unread, UNREAD_BYTES).map(Some)
}

/// The answer to a request for which there is no memory.
fn memory_refusal<D>(context: &GatewayContext<D>, tag: &str, share: MemoryShare) -> CallerAnswer
where
    D: CallProtocol,
{
    let message = "the process has no memory for the request at present; repeat later";
    let refusal = Refusal::not_run(RefusalCode::Shed, message).with_retry_after(MEMORY_RETRY_AFTER);
    let used_mb = |share| context.memory.used(share) >> 20;
    tracing::info!(
        request = tag,
        share = share.name(),
        caller_mb = used_mb(MemoryShare::CallerBodies),
        small_mb = used_mb(MemoryShare::SmallBodies),
        unread_mb = used_mb(MemoryShare::Unread),
        peer_mb = used_mb(MemoryShare::PeerBodies),
        answer_mb = used_mb(MemoryShare::Answers) + used_mb(MemoryShare::SmallAnswers),
        stream_mb = used_mb(MemoryShare::Streams),
        request_mb = used_mb(MemoryShare::Requests),
        connection_mb = used_mb(MemoryShare::Connections),
        "refused: no memory"
    );
    context.metrics.memory_refusals.with_label_values(&[share.name()]).inc();
    context.metrics.count_answer("not_run", "memory");
    closing(refusal_answer(context, &refusal))
}

fn body_fault_answer<D>(context: &GatewayContext<D>, tag: &str, fault: BodyFault) -> CallerAnswer {
    tracing::info!(request = tag, ?fault, "refused: request body could not be read");
    context.metrics.count_answer("not_run", "invalid_body");
    closing(text_answer(fault.status(), HeaderMap::new(), fault.message()))
}

/// Tells the caller that the connection is closed after the answer, since its body has not been read.
fn closing(mut answer: CallerAnswer) -> CallerAnswer {
    answer.headers_mut().insert(header::CONNECTION, header::HeaderValue::from_static("close"));
    answer
}

/// Serves a call in a separate task. The returned future, or the body of a streamed answer, holds a guard
/// whose drop tells the task that the caller has disconnected.
async fn serve_call<D>(context: Arc<GatewayContext<D>>, call: ForwardCall) -> CallerAnswer
where
    D: CallProtocol,
{
    let abandoned = CancellationToken::new();
    let guard = CallerGuard {
        link: SharedNodeLink(context.node.clone()),
        request: call.request,
        // A call that is neither streamed nor repeatable runs to completion once it has been sent.
        runs_to_end: call.routed.route.repeat == RepeatRule::AtMostOnce
            && !call.routed.route.streamed,
        token: Some(abandoned.clone().drop_guard()),
    };
    let tag = call.tag.clone();
    let (sender, head) = oneshot::channel();
    let task = run_call(context.clone(), call, abandoned, sender);
    context.spawn(task);
    match head.await {
        Ok(answer) => answer.map(|body| match body {
            AnswerBody::Stream { parts, .. } => {
                AnswerBody::Stream { parts, guard: guard.into_token() }
            }
            whole => whole,
        }),
        Err(_) => {
            let message = "the process ended before the answer";
            let refusal = Refusal::unknown(RefusalCode::ShuttingDown, message);
            tracing::error!(request = tag, "the task of the request ended without an answer");
            context.metrics.count_answer(refusal.outcome.name(), refusal_cause(refusal.code));
            refusal_answer(&context, &refusal)
        }
    }
}

/// Cancels the call when it is dropped, which happens when the caller disconnects. A started call that has to
/// run to its end is not cancelled.
struct CallerGuard {
    link: SharedNodeLink,
    request: RequestId,
    runs_to_end: bool,
    token: Option<DropGuard>,
}

impl CallerGuard {
    fn into_token(mut self) -> Option<DropGuard> {
        self.token.take()
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if self.runs_to_end
            && self.link.0.has_started(self.request)
            && let Some(token) = self.token.take()
        {
            token.disarm();
        }
    }
}

async fn run_call<D>(
    context: Arc<GatewayContext<D>>,
    call: ForwardCall,
    abandoned: CancellationToken,
    head: oneshot::Sender<CallerAnswer>,
) where
    D: CallProtocol,
{
    let _open = OpenCall::new(&context, call.request);
    let order = call_order(&call);
    let route = &call.routed.route;
    tracing::info!(
        request = call.tag,
        id = call.request,
        fingerprint = order.fingerprint,
        workspace = call.routed.workspace.as_deref(),
        route = route.name,
        service = &*call.routed.service,
        rank = route.tier.name(),
        prompt_tokens = call.generation.as_ref().map(|size| size.prompt_tokens),
        delivered_tokens = order.progress.map(|progress| progress.delivered),
        parts = call.generation.as_ref().map(shared_part_ids),
        allowed_ms = call.deadline.remaining(&context.clock).as_millis() as u64,
        open = context.metrics.open_requests.get(),
        "request received"
    );
    if let Some(generation) = &call.generation
        && prefix_block_count(generation) > MAX_PREFIX_BLOCKS
    {
        context.metrics.cut_prompts.inc();
        tracing::info!(
            request = call.tag,
            prompt_tokens = generation.prompt_tokens,
            parts = generation.parts.len(),
            "only the beginning of the prompt is matched"
        );
    }
    let decisions = context.node.admit(order, &call.tag);
    let link = SharedNodeLink(context.node.clone());
    let driver = RequestDriver::of(&link, call.request, call.deadline, abandoned, decisions);
    let mut runner = ForwardRunner::new(&context, &call, head);
    let end = driver.run(&mut runner).await;
    finish(&context, &call, end, runner);
}

/// A request whose task runs. It is closed when this is dropped: a task that panics must leave no attempt open, which
/// would occupy a slot of its target for ever.
struct OpenCall<'a, D> {
    context: &'a GatewayContext<D>,
    request: RequestId,
}

impl<'a, D> OpenCall<'a, D> {
    fn new(context: &'a GatewayContext<D>, request: RequestId) -> OpenCall<'a, D> {
        context.metrics.open_requests.inc();
        OpenCall { context, request }
    }
}

impl<D> Drop for OpenCall<'_, D> {
    fn drop(&mut self) {
        self.context.node.close_request(self.request);
        self.context.metrics.open_requests.dec();
        if std::thread::panicking() {
            self.context.metrics.panicked_requests.inc();
            tracing::error!(id = self.request, "the task of a request has panicked");
        }
    }
}

/// Ids of the first shared parts of a prompt, for logs. The last part belongs to the request alone.
fn shared_part_ids(generation: &GenerationHead) -> String {
    let shared = generation.parts.len().saturating_sub(1);
    let ids = generation.parts[..shared].iter().take(MAX_LOGGED_PARTS);
    Vec::from_iter(ids.map(|(id, _)| format!("{id:x}"))).join(",")
}

fn call_order(call: &ForwardCall) -> AdmissionRequest {
    AdmissionRequest {
        request: call.request,
        routed: call.routed.clone(),
        arrived: call.arrived.into_std(),
        deadline: call.deadline.instant.into_std(),
        fingerprint: fingerprint(call),
        generation: call.generation.clone(),
        progress: answer_progress(call),
    }
}

/// What the caller has of the answer, if the call takes up a stream.
fn answer_progress(call: &ForwardCall) -> Option<AnswerProgress> {
    let events = call.resume_after.unwrap_or(0);
    let delivered = events.saturating_mul(call.event_tokens.into());
    let delivered = u32::try_from(delivered).unwrap_or(u32::MAX);
    call.build.map(|build| AnswerProgress { build, delivered })
}

/// Identifies retries of the same request: it depends only on workspace, method, path and body.
fn fingerprint(call: &ForwardCall) -> Fingerprint {
    let mut hasher = Xxh3::new();
    let path = call.path.path_and_query().map_or("", |path| path.as_str());
    let workspace = call.routed.workspace.as_deref().unwrap_or("");
    for field in [workspace, call.method.as_str(), path] {
        update_field(&mut hasher, field.as_bytes());
    }
    hasher.update(&call.body);
    hasher.digest()
}

/// Logs and counts how the request ended, and sends the final answer unless it has been streamed.
fn finish<D>(
    context: &GatewayContext<D>,
    call: &ForwardCall,
    end: RequestEnd<ForwardAnswer>,
    mut runner: ForwardRunner<'_, D>,
) where
    D: CallProtocol,
{
    let failed_answer = runner.failed_answer.take();
    let sink = runner.into_sink();
    let streamed = call.routed.route.streamed;
    let spent = call.arrived.elapsed();
    let spent_ms = spent.as_millis() as u64;
    let (request, position) = (call.tag.as_str(), sink.position());
    let answer = match end {
        RequestEnd::Answered(ForwardAnswer::Streamed) => {
            tracing::info!(request, spent_ms, position, "stream completed");
            context.metrics.count_answer("done", "streamed");
            context.metrics.observe_answer_time(streamed, spent);
            return;
        }
        RequestEnd::Answered(ForwardAnswer::Whole(answer)) => {
            tracing::info!(request, spent_ms, status = answer.status.as_u16(), "answered");
            context.metrics.count_answer("done", status_class(answer.status));
            context.metrics.observe_answer_time(streamed, spent);
            whole_response(answer)
        }
        RequestEnd::Abandoned => {
            tracing::info!(request, spent_ms, position, "caller disconnected");
            context.metrics.count_answer("abandoned", "caller_gone");
            return;
        }
        RequestEnd::Refused(refusal) if sink.has_begun() => {
            tracing::warn!(
                request, spent_ms, position, code = ?refusal.code, cause = refusal.message,
                "stream aborted"
            );
            context.metrics.count_answer("unknown", "stream_broken_off");
            return;
        }
        RequestEnd::Refused(refusal) => match failed_answer {
            Some(answer) => {
                let status = answer.status.as_u16();
                tracing::info!(request, spent_ms, status, "answered with the target's failure");
                context.metrics.count_answer("done", status_class(answer.status));
                whole_response(answer)
            }
            None => {
                tracing::warn!(
                    request, spent_ms, outcome = refusal.outcome.name(), code = ?refusal.code,
                    cause = refusal.message,
                    retry_ms = refusal.retry_after.map(|delay| delay.as_millis() as u64),
                    route = call.routed.route.name, rank = call.routed.route.tier.name(),
                    prompt_tokens = call.generation.as_ref().map(|size| size.prompt_tokens),
                    "refused"
                );
                context.metrics.count_answer(refusal.outcome.name(), refusal_cause(refusal.code));
                refusal_answer(context, &refusal)
            }
        },
        // Nodes at a shared store make no such decision: the request stays here, and peers carry single attempts of
        // it (`forward::relayed`).
        RequestEnd::Relay(_) => {
            let message = "the process can't serve this request";
            let refusal = Refusal::not_run(RefusalCode::NoTarget, message);
            tracing::warn!(request, spent_ms, cause = refusal.message, "refused");
            context.metrics.count_answer(refusal.outcome.name(), refusal_cause(refusal.code));
            refusal_answer(context, &refusal)
        }
    };
    if let Some(head) = sink.into_head()
        && head.send(answer).is_err()
    {
        tracing::info!(request, spent_ms, "caller disconnected before its answer");
    }
}

fn status_class(status: StatusCode) -> &'static str {
    match status.as_u16() {
        200..=299 => "success",
        400..=499 => "caller_error",
        500..=599 => "target_error",
        _ => "other",
    }
}

fn refusal_cause(code: RefusalCode) -> &'static str {
    match code {
        RefusalCode::LimitReached => "limit_reached",
        RefusalCode::DeadlineExceeded => "deadline_exceeded",
        RefusalCode::NoTarget => "no_target",
        RefusalCode::Shed => "shed",
        RefusalCode::CrashesTargets => "crashes_targets",
        RefusalCode::TargetFailed => "target_failed",
        RefusalCode::ShuttingDown => "shutting_down",
        _ => "other",
    }
}

fn refusal_answer<D>(context: &GatewayContext<D>, refusal: &Refusal) -> CallerAnswer
where
    D: CallProtocol,
{
    let (status, mut headers) = context.protocol.refusal_head(refusal);
    headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    let mut answer =
        Response::new(AnswerBody::Whole(Some(ErrorBody::new(refusal, None).to_bytes())));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

fn text_answer(status: StatusCode, headers: HeaderMap, text: &str) -> CallerAnswer {
    let body = AnswerBody::Whole(Some(Bytes::copy_from_slice(text.as_bytes())));
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

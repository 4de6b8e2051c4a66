//! Carries attempts of peers to targets over the own connections of this process.

use std::{
    convert::Infallible,
    future::Future,
    io,
    net::IpAddr,
    pin::Pin,
    sync::{Arc, atomic::Ordering},
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, Response, header};
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tarragon_fleet::prelude::*;
use tarragon_server::{
    caller::{
        body::{BodyFault, BodyLimits, BodyRoom, ChargedBody, discard_rest, read_charged_body},
        write_limit::WriteLimit,
    },
    memory::{MemoryCharge, MemoryShare},
    target::{
        metered::TargetBody,
        pool::{CallBody, CallFault, ConnectionPool, TargetConnection},
    },
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::{Instant, Sleep, sleep_until},
};

use super::{
    ATTEMPT_HEADER, OUTCOME_HEADER, RELAY_CONNECT_LIMIT, RelayLink, RelayOutcome, RelayedAttempt,
    check_own_link, probe_link,
};
use crate::{
    context::GatewayContext,
    forward::notices::{
        TargetNotice, answers_the_call, apply_answer_head, idle_limit, is_unframed,
        watch_interim_answers,
    },
    listener::{ListenerSignals, accept},
    platform::{AnswerKind, CallProtocol},
    shared_node::SharedNode,
};

/// Largest head of an attempt: that of a caller's request, and the description of the attempt.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Most attempts of peers at once. The rest is declined, so that the peer asks another one.
const MAX_CARRIED: usize = 256;
/// Memory of an attempt that is carried, beside its body: its task and the buffers of its two connections.
const CARRIED_BYTES: usize = 96 << 10;
/// Longest time that a connection of a peer is idle, above that for which peers use it.
const IDLE_TIME: Duration = Duration::from_secs(15);
/// Longest wait for the next part of an attempt's body.
const BODY_PART_TIMEOUT: Duration = Duration::from_secs(1);
/// Headers that belong to one connection and are not passed on.
const CONNECTION_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
];

type PeerAnswer = Response<CarriedBody>;

/// Takes attempts of peers until `signals.close` is cancelled.
pub async fn serve_relays<D>(
    listener: TcpListener,
    context: Arc<GatewayContext<D>>,
    signals: ListenerSignals,
) where
    D: CallProtocol,
{
    let permits = Arc::new(Semaphore::new(context.connections.bounds().peers));
    while let Some((stream, permit)) = accept(&listener, &permits, &signals.close).await {
        let Some(permit) = permit else {
            context.metrics.refused_connections.inc();
            tracing::debug!("connection of a peer is refused: too many are open");
            continue;
        };
        let (context, signals) = (context.clone(), signals.clone());
        let tracker = signals.connections.clone();
        tracker.spawn(async move {
            serve_peer(stream, &context, &signals).await;
            drop(permit);
        });
    }
}

async fn serve_peer<D>(
    stream: TcpStream,
    context: &Arc<GatewayContext<D>>,
    signals: &ListenerSignals,
) where
    D: CallProtocol,
{
    let from = match stream.set_nodelay(true).and_then(|()| stream.peer_addr()) {
        Ok(from) => from.ip(),
        Err(error) => {
            tracing::debug!(%error, "connection of a peer closed right after it was accepted");
            return;
        }
    };
    let service = service_fn(|message: Request<Incoming>| {
        let context = context.clone();
        async move { Ok::<_, Infallible>(answer_peer(&context, message, from).await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIME).max_buf_size(MAX_HEAD_BYTES);
    let stream = TokioIo::new(WriteLimit::new(stream, context.limits.caller_stall));
    let connection = builder.serve_connection(stream, service);
    tokio::pin!(connection);
    let mut is_draining = false;
    let ended = loop {
        tokio::select! {
            ended = connection.as_mut() => break ended,
            () = context.abort.cancelled() => return,
            () = signals.drain.cancelled(), if !is_draining => {
                is_draining = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    };
    if let Err(error) = ended {
        tracing::debug!(peer = %from, %error, "connection of a peer ended early");
    }
}

/// Carries the attempt of one message, and logs how that went.
async fn answer_peer<D>(
    context: &Arc<GatewayContext<D>>,
    message: Request<Incoming>,
    from: IpAddr,
) -> PeerAnswer
where
    D: CallProtocol,
{
    let began = Instant::now();
    let (head, body) = message.into_parts();
    let text = head.headers.get(ATTEMPT_HEADER).and_then(|value| value.to_str().ok());
    let attempt = text.and_then(|text| serde_json::from_str::<RelayedAttempt>(text).ok());
    let Some(attempt) = attempt else {
        tracing::warn!(peer = %from, "attempt of a peer can't be read");
        return refusal(RelayOutcome::Declined);
    };
    let carried = carry(context, &attempt, head, body, from).await;
    let (outcome, cause) = match &carried {
        Ok((outcome, _)) => (*outcome, ""),
        Err((outcome, cause)) => (*outcome, *cause),
    };
    context.metrics.relays_carried.with_label_values(&[outcome.name()]).inc();
    tracing::info!(
        request = attempt.tag,
        peer = %from,
        target_address = &*attempt.target,
        outcome = outcome.name(),
        cause,
        question = attempt.is_question,
        spent_ms = began.elapsed().as_millis() as u64,
        "carried an attempt of a peer"
    );
    match carried {
        Ok((_, answer)) => answer,
        Err((outcome, _)) => refusal(outcome),
    }
}

/// An answer without one of a target.
fn refusal(outcome: RelayOutcome) -> PeerAnswer {
    let mut answer = Response::new(CarriedBody::Empty);
    answer.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.name()));
    answer
}

async fn carry<D>(
    context: &Arc<GatewayContext<D>>,
    attempt: &RelayedAttempt,
    mut head: http::request::Parts,
    mut body: Incoming,
    from: IpAddr,
) -> Result<(RelayOutcome, PeerAnswer), (RelayOutcome, &'static str)>
where
    D: CallProtocol,
{
    let declined = |cause| (RelayOutcome::Declined, cause);
    let until = Instant::now() + Duration::from_millis(attempt.time_ms);
    let mut slot = match attempt.is_question {
        true => None,
        false => Some(CarriedSlot::take(&context.relays).ok_or(declined("full"))?),
    };
    let RelayedAttempt { target, service, instance, .. } = attempt;
    context.node.run(|node, now, _| {
        if !node.members().iter().any(|(address, _)| address.ip() == from) {
            return Err(declined("unknown_sender"));
        }
        if !node.takes_relays(now) {
            return Err(declined("not_open"));
        }
        if node.links().is_lost(target) {
            return Err(declined("own_link_lost"));
        }
        let grant = node.may_send(target, service).ok_or(declined("not_in_service"))?;
        let is_same = grant.instance == *instance && grant.build == attempt.build;
        if is_same { Ok(()) } else { Err(declined("other_instance")) }
    })?;
    let limits = BodyLimits {
        bytes: context.caller_limits().body_bytes,
        part: BODY_PART_TIMEOUT,
        whole: Duration::from_millis(attempt.time_ms),
    };
    // Another peer may have memory at once, so there is no wait.
    let room = BodyRoom {
        account: &context.memory,
        share: MemoryShare::PeerBodies,
        small_share: MemoryShare::PeerBodies,
        wait: Duration::ZERO,
    };
    let read = async {
        let buffers = context.memory.try_charge(room.share, CARRIED_BYTES);
        let mut charge = buffers.ok_or(BodyFault::NoRoom)?;
        let read = read_charged_body(&mut body, limits, room).await?;
        charge.merge(read.charge);
        Ok(ChargedBody { bytes: read.bytes, charge })
    };
    let read = tokio::select! {
        read = read => read,
        () = context.ending.cancelled() => return Err(declined("process_ends")),
    };
    let ChargedBody { bytes: body, charge } = match read {
        Ok(read) => read,
        Err(BodyFault::NoRoom) => {
            context.metrics.memory_refusals.with_label_values(&[room.share.name()]).inc();
            // The peer that still writes would take a reset connection for a lost attempt.
            discard_rest(&mut body, limits.bytes, BODY_PART_TIMEOUT).await;
            return Err(declined("memory"));
        }
        Err(_) => return Err(declined("body")),
    };
    if let Some(slot) = &mut slot {
        slot.memory = Some(charge);
    }
    let opened = if attempt.may_reuse && !attempt.is_question {
        context.pool.checkout(target, RELAY_CONNECT_LIMIT).await
    } else {
        context.pool.open(target, RELAY_CONNECT_LIMIT).await
    };
    let mut connection = match opened {
        Ok(connection) => connection,
        Err(error) => {
            if !attempt.is_question {
                check_own_link(context, attempt, from);
            }
            return Err(unreachable(context, target, &error.to_string()));
        }
    };
    if !connection.is_reused() {
        context.node.run(|node, now, _| node.record_link_connection(target, now));
        context.metrics.target_connections.inc();
    }
    if attempt.is_question {
        return Ok((RelayOutcome::Answered, refusal(RelayOutcome::Answered)));
    }
    head.headers.remove(ATTEMPT_HEADER);
    CONNECTION_HEADERS.iter().for_each(|name| drop(head.headers.remove(name)));
    let mut request = Request::new(CallBody::new(body));
    *request.method_mut() = head.method;
    *request.uri_mut() = head.uri;
    *request.headers_mut() = head.headers;
    let notice = TargetNotice {
        target: target.clone(),
        instance: instance.clone(),
        tag: attempt.tag.clone(),
    };
    let interim = watch_interim_answers(context, &notice, connection.is_reused(), &mut request);
    let sent = Instant::now();
    let limit = until.saturating_duration_since(sent);
    let answer = async {
        if attempt.may_reuse {
            connection.send_repeatable(target, RELAY_CONNECT_LIMIT, request, limit).await
        } else {
            connection.send(request, limit).await
        }
    };
    let answer = tokio::select! {
        answer = answer => answer,
        () = interim.too_many.cancelled() => return Err((RelayOutcome::Garbled, "interim_answers")),
    };
    let response = match answer {
        Ok(response) => response,
        Err(CallFault::NotSent(error)) => {
            return Err(unreachable(context, target, &error.to_string()));
        }
        Err(CallFault::Broken(_)) => return Err(judge_break(context, target).await),
        Err(CallFault::TimedOut) => return Err((RelayOutcome::Severed, "no_answer")),
    };
    let (mut head, body) = response.into_parts();
    let echo = context.protocol.read_echo(&attempt.tag, &head.headers);
    if !answers_the_call(echo, connection.is_reused()) {
        return Err((RelayOutcome::Garbled, "other_request"));
    }
    if interim.is_misplaced() {
        connection.retire();
    }
    let answer_head = context.protocol.read_answer(&head);
    context.node.run(|node, now, _| node.record_link_contact(target, now));
    apply_answer_head(context, &notice, &answer_head, head.status, sent);
    if answer_head.kind == AnswerKind::OtherInstance {
        context.node.run(|node, now, actions| {
            node.mark_target_replaced(now, target, instance, actions);
        });
    }
    let outcome = match is_unframed(&head.headers) {
        true => RelayOutcome::AnsweredUnframed,
        false => RelayOutcome::Answered,
    };
    let idle = idle_limit(&head.headers);
    CONNECTION_HEADERS.iter().for_each(|name| drop(head.headers.remove(name)));
    head.headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.name()));
    let used = UsedConnection {
        connection,
        idle,
        target: target.clone(),
        service: service.clone(),
        pool: context.pool.clone(),
        node: context.node.clone(),
    };
    let mut answer = Response::new(CarriedBody::new(body, until, used, slot));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = head.headers;
    Ok((outcome, answer))
}

/// The connection to a target broke after an attempt was sent. That says nothing about the target if this process
/// may be cut off itself.
async fn judge_break<D>(
    context: &GatewayContext<D>,
    target: &TargetName,
) -> (RelayOutcome, &'static str) {
    if probe_link(context, target).await.is_ok() {
        return (RelayOutcome::Broken, "connection");
    }
    context.node.run(|node, now, _| match node.links().may_be_cut(now) {
        true => (RelayOutcome::Severed, "own_links_failing"),
        false => (RelayOutcome::Broken, "connection"),
    })
}

/// The target can't be reached from here. That says nothing about it if this process may be cut off itself.
fn unreachable<D>(
    context: &GatewayContext<D>,
    target: &TargetName,
    error: &str,
) -> (RelayOutcome, &'static str) {
    tracing::info!(target_address = &**target, error, "failed to connect to the target for a peer");
    context.node.run(|node, now, _| {
        node.record_link_failure(target, now);
        match node.links().may_be_cut(now) {
            true => (RelayOutcome::Declined, "own_links_failing"),
            false => (RelayOutcome::Unreachable, "connect_failed"),
        }
    })
}

/// A connection to a target that is kept once the answer on it is whole.
struct UsedConnection {
    connection: TargetConnection,
    idle: Duration,
    target: TargetName,
    service: ServiceName,
    pool: ConnectionPool,
    node: Arc<SharedNode>,
}

impl UsedConnection {
    fn keep(self) {
        let UsedConnection { connection, idle, target, service, pool, node } = self;
        if node.view(|node| node.may_send(&target, &service)).is_some() {
            pool.give_back_for(&target, connection, idle);
        }
    }
}

/// The body of an answer to a peer. If the target's body breaks, or its time is over, so does this one.
enum CarriedBody {
    /// No target has answered.
    Empty,
    /// A target's answer.
    Target(Box<CarriedAnswer>),
}

struct CarriedAnswer {
    body: TargetBody,
    /// Until its body is whole.
    used: Option<UsedConnection>,
    deadline: Pin<Box<Sleep>>,
    _slot: Option<CarriedSlot>,
}

impl CarriedBody {
    fn new(
        body: TargetBody,
        until: Instant,
        used: UsedConnection,
        slot: Option<CarriedSlot>,
    ) -> CarriedBody {
        let deadline = Box::pin(sleep_until(until));
        let mut answer = CarriedAnswer { body, used: Some(used), deadline, _slot: slot };
        answer.keep_if_whole(false);
        CarriedBody::Target(Box::new(answer))
    }
}

impl CarriedAnswer {
    /// Keeps the connection if the body is whole. The HTTP library doesn't always poll it to its end.
    fn keep_if_whole(&mut self, has_ended: bool) {
        if (has_ended || self.body.is_end_stream())
            && let Some(used) = self.used.take()
        {
            used.keep();
        }
    }
}

impl Body for CarriedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let answer = match self.get_mut() {
            CarriedBody::Empty => return Poll::Ready(None),
            CarriedBody::Target(answer) => answer,
        };
        let frame = match Pin::new(&mut answer.body).poll_frame(context) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                ready!(answer.deadline.as_mut().poll(context));
                let error = io::Error::new(io::ErrorKind::TimedOut, "the time of the call is over");
                return Poll::Ready(Some(Err(error)));
            }
        };
        answer.keep_if_whole(frame.is_none());
        Poll::Ready(frame.map(|frame| frame.map_err(io::Error::other)))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            CarriedBody::Empty => true,
            CarriedBody::Target(answer) => answer.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            CarriedBody::Empty => SizeHint::with_exact(0),
            CarriedBody::Target(answer) => answer.body.size_hint(),
        }
    }
}

/// Counts an attempt of a peer until the drop, and holds its memory.
struct CarriedSlot {
    relays: RelayLink,
    memory: Option<MemoryCharge>,
}

impl CarriedSlot {
    fn take(relays: &RelayLink) -> Option<CarriedSlot> {
        let before = relays.carried.fetch_add(1, Ordering::Relaxed);
        let slot = CarriedSlot { relays: relays.clone(), memory: None };
        (before < MAX_CARRIED).then_some(slot)
    }
}

impl Drop for CarriedSlot {
    fn drop(&mut self) {
        self.relays.carried.fetch_sub(1, Ordering::Relaxed);
    }
}

//! Finds the handler of a caller's request and sees it through to its answer.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use hyper::body::Incoming;
use serde_json::json;
use tarragon_cluster::{event::PeerAddress, signing::MessageSigner};
use tarragon_protocol::{
    header::{OUTCOME, RELAY, TICKET},
    prelude::*,
};

use super::{
    answer::{
        CallerAnswer, error_answer, header_fault_answer, json_answer, refusal_answer, set_outcome,
    },
    arrival::{Arrival, CallerCall},
    body::{
        BodyFault, BodyLimits, BodyRoom, ChargedBody, MEMORY_WAIT, REFUSED_BODY_TIME, discard_body,
        discard_rest, read_charged_body,
    },
    chat::{ServedChat, prepare_chat, serve_chat},
    header::{CallerHeaders, forwarded_headers},
    layer::AssignedId,
    service::{prepare_plain, serve_plain},
};
use crate::{
    guarded::Guarded,
    memory::MemoryShare,
    peer::relay::{open_relay, relay_call, stream_back},
    process::{Deadline, ProcessContext},
    ticket::{TicketedCall, serve_ticketed},
};

/// Path of chat completions.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Path at which tickets are issued.
const TICKET_PATH: &str = "/v1/tickets";
/// Start of the path of plain service calls.
pub const SERVICE_PREFIX: &str = "/services/";

/// Part of the room for open requests that each tier leaves to the tiers above it, as a divisor.
const ROOM_PART: usize = 16;
/// Memory of a request that waits, beside its body and its connection: its head, tasks and channels.
const REQUEST_BYTES: usize = 32 << 10;
/// Delay that a caller is asked to wait when too many requests are open.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time for a ticket to be issued by another VM.
const TICKET_LIMIT: Duration = Duration::from_secs(2);

/// Answers a caller's request.
pub async fn handle(
    process: Arc<ProcessContext>,
    message: Request<Incoming>,
) -> Result<CallerAnswer, Infallible> {
    let path = message.uri().path();
    let answer = match path {
        "/health/live" => json_answer(StatusCode::OK, CallOutcome::Done, "{\"live\":true}".into()),
        "/health/ready" => ready_answer(&process),
        TICKET_PATH if message.method() == Method::POST => issue_ticket(&process).await,
        CHAT_PATH if message.method() == Method::POST => handle_call(&process, message).await,
        TICKET_PATH | CHAT_PATH => method_answer(),
        path if path.starts_with(SERVICE_PREFIX) => handle_call(&process, message).await,
        _ => unknown_path(path),
    };
    Ok(answer)
}

/// Whether the load balancer shall send work here.
pub fn ready_answer(process: &ProcessContext) -> CallerAnswer {
    let ready = {
        let view = process.view.borrow();
        let open = usize::try_from(process.metrics.connections.get()).unwrap_or(0);
        view.ready && !view.draining && open < process.connection_bounds.high
    };
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    json_answer(status, CallOutcome::Done, json!({"ready": ready}).to_string().into())
}

fn method_answer() -> CallerAnswer {
    let message = "the method is not allowed here; send POST";
    let refusal = Refusal::not_run(RefusalCode::InvalidBody, message);
    error_answer(StatusCode::METHOD_NOT_ALLOWED, &refusal, None)
}

fn unknown_path(path: &str) -> CallerAnswer {
    let message = format!(
        "nothing is served at {path}; send to {CHAT_PATH}, {TICKET_PATH} or {SERVICE_PREFIX}NAME/PATH"
    );
    refusal_answer(&Refusal::not_run(RefusalCode::UnknownService, message))
}

/// Issues a ticket. A VM that takes no new work asks one that does, so that the ticket's owner can
/// dispatch the call itself.
async fn issue_ticket(process: &ProcessContext) -> CallerAnswer {
    let relay = process.view.borrow().relay.clone();
    match relay {
        Some(relay) if !relay.peers.is_empty() => {
            let call = ticket_call(process);
            relay_answer(process, &relay.peers, &call).await
        }
        _ => issue_own_ticket(process).await,
    }
}

/// The request for a ticket, as it is relayed. It belongs to no workspace and costs nothing.
fn ticket_call(process: &ProcessContext) -> CallerCall {
    let headers = CallerHeaders {
        workspace: process.settings.vm.clone(),
        tier: Tier::Urgent,
        deadline: TICKET_LIMIT,
        idempotent: Some(true),
        ticket: None,
        attempt: 1,
    };
    let deadline = Deadline::after(&process.clock, TICKET_LIMIT);
    CallerCall {
        arrival: Arrival {
            request: process.ids.next(),
            headers,
            deadline,
            relayed: false,
            memory: None,
        },
        method: Method::POST,
        path: TICKET_PATH.to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
        run_once: false,
    }
}

async fn issue_own_ticket(process: &ProcessContext) -> CallerAnswer {
    match process.link.issue_ticket().await {
        Ok(ticket) => {
            let body = json!({"ticket": ticket.text, "valid_ms": ticket.valid_ms});
            json_answer(StatusCode::OK, CallOutcome::Done, body.to_string().into())
        }
        Err(refusal) => refusal_answer(&refusal),
    }
}

/// A refusal before the owner of a ticket has decided says nothing about an earlier sending of the same
/// call: only the owner may say "not run" of a ticket.
async fn handle_call(process: &Arc<ProcessContext>, message: Request<Incoming>) -> CallerAnswer {
    let ticketed = message.headers().contains_key(TICKET);
    match read_call(process, message).await {
        Ok(call) => serve_call(process, call).await,
        Err(mut answer) => {
            if ticketed {
                set_outcome(&mut answer, CallOutcome::Unknown);
            }
            answer
        }
    }
}

/// Reads headers and body.
async fn read_call(
    process: &ProcessContext,
    message: Request<Incoming>,
) -> Result<CallerCall, CallerAnswer> {
    let (head, mut body) = message.into_parts();
    let checked = check_head(process, &head.headers).and_then(|headers| {
        let memory = process.charge(MemoryShare::Requests, REQUEST_BYTES);
        let memory = memory.map_err(|refusal| refusal_answer(&refusal))?;
        Ok((headers, Arc::new(memory)))
    });
    let (headers, memory) = match checked {
        Ok(checked) => checked,
        Err(answer) => {
            if let Err(fault) = discard_body(body, body_limits(process)).await {
                tracing::info!(?fault, "body of a refused request was not read to its end");
            }
            return Err(*answer);
        }
    };
    let deadline = Deadline::after(&process.clock, headers.deadline);
    let request = head.extensions.get::<AssignedId>().map_or_else(|| process.ids.next(), |id| id.0);
    let body = receive_body(process, &mut body, CALLER_SHARES).await?;
    Ok(CallerCall {
        arrival: Arrival { request, headers, deadline, relayed: false, memory: Some(memory) },
        method: head.method,
        path: head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned(),
        headers: forwarded_headers(&head.headers),
        body,
        run_once: false,
    })
}

/// Shares to which large and small bodies are charged.
type BodyShares = (MemoryShare, MemoryShare);

/// For bodies of callers.
const CALLER_SHARES: BodyShares = (MemoryShare::CallerBodies, MemoryShare::SmallBodies);
/// For bodies of requests that other VMs pass on.
const PEER_SHARES: BodyShares = (MemoryShare::PeerBodies, MemoryShare::PeerBodies);

/// Reads a body whole. Its memory is charged until the last copy of it is dropped.
async fn receive_body(
    process: &ProcessContext,
    body: &mut Incoming,
    (share, small_share): BodyShares,
) -> Result<Bytes, CallerAnswer> {
    let limits = body_limits(process);
    let room = BodyRoom { account: &process.memory, share, small_share, wait: MEMORY_WAIT };
    match read_charged_body(body, limits, room).await {
        Ok(ChargedBody { bytes, charge }) => Ok(charge.attach(bytes)),
        Err(BodyFault::NoRoom) => {
            discard_rest(body, limits.bytes, REFUSED_BODY_TIME).await;
            Err(refusal_answer(&process.memory_refusal(share)))
        }
        Err(fault) => Err(body_fault_answer(fault)),
    }
}

fn check_head(
    process: &ProcessContext,
    headers: &HeaderMap,
) -> Result<CallerHeaders, Box<CallerAnswer>> {
    let headers = CallerHeaders::parse(headers).map_err(|faults| header_fault_answer(&faults))?;
    check_room(process, headers.tier).map_err(|refusal| refusal_answer(&refusal))?;
    Ok(headers)
}

/// Refuses a request if too many are open. Each tier leaves a part of the room to the tiers above it, so
/// that a higher tier is not refused while a lower one is still taken.
fn check_room(process: &ProcessContext, tier: Tier) -> Result<(), Refusal> {
    let room = process.settings.limits.streams as usize;
    let reserved = room / ROOM_PART * (Tier::COUNT - 1 - tier.index());
    if process.tasks.len() < room - reserved {
        return Ok(());
    }
    let message = "too many requests are open at this VM";
    Err(Refusal::not_run(RefusalCode::Shed, message).with_retry_after(RETRY_AFTER))
}

/// Bounds of a caller's body.
pub fn body_limits(process: &ProcessContext) -> BodyLimits {
    let limits = &process.settings.limits;
    BodyLimits {
        bytes: usize::try_from(limits.body_bytes).unwrap_or(usize::MAX),
        part: limits.body_timeout / 3,
        whole: limits.body_timeout,
    }
}

/// The answer for a body that can't be used.
pub fn body_fault_answer(fault: BodyFault) -> CallerAnswer {
    let refusal = Refusal::not_run(RefusalCode::InvalidBody, fault.message());
    error_answer(fault.status(), &refusal, None)
}

/// What became of a call that was served here.
#[derive(Debug)]
pub enum ServeEnd {
    /// It has its answer.
    Answered(CallerAnswer),
    /// It was not run and can't be served here; these peers can take it.
    Relay(Vec<PeerAddress>),
}

/// Serves a whole request: here, by another VM, or with a ticket.
pub async fn serve_call(process: &Arc<ProcessContext>, call: CallerCall) -> CallerAnswer {
    if call.arrival.relayed && call.path == TICKET_PATH {
        return issue_own_ticket(process).await;
    }
    let end = match serve_here(process, &call).await {
        Ok(end) => end,
        Err(refusal) if call.arrival.headers.ticket.is_some() => {
            return refusal_answer(&Refusal { outcome: CallOutcome::Unknown, ..refusal });
        }
        Err(refusal) => return refusal_answer(&refusal),
    };
    match end {
        ServeEnd::Answered(answer) => answer,
        ServeEnd::Relay(peers) => relay_answer(process, &peers, &call).await,
    }
}

async fn serve_here(process: &Arc<ProcessContext>, call: &CallerCall) -> Result<ServeEnd, Refusal> {
    if call.path.split('?').next() == Some(CHAT_PATH) {
        let job = prepare_chat(process, call)?;
        if job.run_once && !call.run_once {
            let ticketed = TicketedCall::of_chat(call, job.service);
            return Ok(ServeEnd::Answered(serve_ticketed(process, &call.arrival, ticketed).await));
        }
        return Ok(match serve_chat(process, job).await {
            ServedChat::Answered(answer) => ServeEnd::Answered(answer),
            ServedChat::Relay(peers) => ServeEnd::Relay(peers),
        });
    }
    let job = prepare_plain(process, call)?;
    if job.run_once && !call.run_once {
        let ticketed = TicketedCall { service: job.service, call: job.call };
        return Ok(ServeEnd::Answered(serve_ticketed(process, &call.arrival, ticketed).await));
    }
    Ok(serve_plain(process, job).await)
}

async fn relay_answer(
    process: &ProcessContext,
    peers: &[PeerAddress],
    call: &CallerCall,
) -> CallerAnswer {
    match relay_call(process, peers, call).await {
        Ok(response) => {
            let answer = stream_back(process, response);
            let outcome = answer.headers().get(OUTCOME);
            let outcome = outcome.and_then(|value| value.to_str().ok()).unwrap_or("unknown");
            process.metrics.answered(Some(call.arrival.headers.tier), outcome, "relayed");
            answer
        }
        Err(fault) => refusal_answer(&fault.refusal()),
    }
}

/// Reads the body of a relayed request and serves it.
pub async fn handle_relay(
    process: Arc<ProcessContext>,
    seal: Arc<Guarded<MessageSigner>>,
    message: Request<Incoming>,
) -> CallerAnswer {
    let (head, mut body) = message.into_parts();
    let body = match receive_body(&process, &mut body, PEER_SHARES).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    let request = head.extensions.get::<AssignedId>().map_or_else(|| process.ids.next(), |id| id.0);
    match open_relay(&seal, &process, &head, body, request) {
        Ok(call) => serve_call(&process, call).await,
        Err(fault) => {
            tracing::warn!(cause = fault.0, "refused a relayed request");
            let refusal = Refusal::not_run(RefusalCode::InvalidHeader, fault.0);
            let mut answer = error_answer(StatusCode::FORBIDDEN, &refusal, Some(RELAY));
            answer.headers_mut().insert(RELAY, HeaderValue::from_static("refused"));
            answer
        }
    }
}

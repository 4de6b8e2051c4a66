//! Non-idempotent calls with a ticket: forwarded to the owner of the ticket, or run here at most once.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::Method;
use serde_json::Value;
use tarragon_cluster::{event::PeerAddress, ticket::CallBinding};
use tarragon_config::rules::DEFAULT_ANSWER_LIMIT;
use tarragon_node::event::TicketCall;
use tarragon_protocol::{
    header::{RELAY, TICKET},
    peer::{ForwardedCall, PlainAnswer, PlainCall, TicketAnswer},
    prelude::*,
};
use tokio::{sync::mpsc, time::timeout};
use tokio_util::sync::CancellationToken;
use tracing::Instrument;

use crate::{
    caller::{
        answer::{CallerAnswer, error_answer, refusal_answer, refusal_status},
        arrival::{Arrival, CallerCall},
        chat::{ChatJob, decoded_bytes, run_chat_once},
        header::{CallerHeaders, forwarded_headers},
        prompt::ChatBody,
        router::{CHAT_PATH, SERVICE_PREFIX},
        service::{PlainJob, plain_answer},
    },
    memory::MemoryShare,
    node_task::{TicketEntry, TicketWait},
    peer::{
        envelope::PeerMethod,
        relay::{RelayFault, relay_call},
    },
    process::{Deadline, ProcessContext},
    request::{Decision, RequestDriver, RequestEnd},
    target::{body::read_whole, plain::PlainRunner},
};

/// Time after a caller's deadline in which the node's own refusal is awaited.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Longest time for which a dispatched call is waited for after its caller's deadline, so that a repeat
/// can get its outcome.
const OUTCOME_LIMIT: Duration = Duration::from_secs(600);

/// A call that must not be run twice.
#[derive(Debug, Clone)]
pub struct TicketedCall {
    /// Service.
    pub service: ServiceName,
    /// Method, path below the service, headers and body.
    pub call: PlainCall,
}

impl TicketedCall {
    /// A chat request as a call that is answered in one piece.
    pub fn of_chat(call: &CallerCall, service: ServiceName) -> TicketedCall {
        let call = PlainCall {
            method: call.method.as_str().to_owned(),
            path: CHAT_PATH.to_owned(),
            headers: call.headers.clone(),
            body: call.body.clone(),
        };
        TicketedCall { service, call }
    }
}

/// Serves a caller's call that must not be run twice.
pub async fn serve_ticketed(
    process: &Arc<ProcessContext>,
    arrival: &Arrival,
    call: TicketedCall,
) -> CallerAnswer {
    let Some(ticket) = arrival.headers.ticket.clone() else {
        let message = format!(
            "this call must not be run twice and needs a ticket; get one with POST /v1/tickets and send \
             it as {TICKET}"
        );
        let refusal = Refusal::not_run(RefusalCode::TicketRequired, message);
        return error_answer(refusal_status(refusal.code), &refusal, Some(TICKET));
    };
    let _in_flight = process.metrics.enter(arrival.headers.tier);
    let streamed = call.call.path == CHAT_PATH && wants_stream(&call.call.body);
    match run_ticket(process, arrival, ticket, call, false).await {
        TicketAnswer::Done(answer) if streamed => plain_answer(as_event_stream(answer)),
        TicketAnswer::Done(answer) => plain_answer(answer),
        TicketAnswer::Refused(refusal) if refusal.code == RefusalCode::TicketMismatch => {
            error_answer(refusal_status(refusal.code), &refusal, Some(TICKET))
        }
        TicketAnswer::Refused(refusal) => refusal_answer(&refusal),
    }
}

/// Runs a call that another entry VM has forwarded.
pub async fn run_forwarded(process: &Arc<ProcessContext>, call: ForwardedCall) -> TicketAnswer {
    let remaining = Duration::from_millis(call.remaining_ms);
    let headers = CallerHeaders {
        workspace: call.workspace,
        tier: call.tier,
        deadline: remaining,
        idempotent: Some(false),
        ticket: None,
        attempt: 1,
    };
    let deadline = Deadline::after(&process.clock, remaining);
    let arrival =
        Arrival { request: process.ids.next(), headers, deadline, relayed: false, memory: None };
    let ticketed = TicketedCall { service: call.service, call: call.call };
    run_ticket(process, &arrival, call.ticket, ticketed, true).await
}

async fn run_ticket(
    process: &Arc<ProcessContext>,
    arrival: &Arrival,
    ticket: String,
    call: TicketedCall,
    forwarded: bool,
) -> TicketAnswer {
    let job = match OwnedCall::new(process, arrival, call) {
        Ok(job) => job,
        Err(refusal) => return TicketAnswer::Refused(refusal),
    };
    let entry = process.link.present_ticket(ticket.clone(), job.ticket_call(process, forwarded));
    match entry.await {
        TicketEntry::Forward(owner) => {
            forward(process, &owner, job.forwarded(process, ticket)).await
        }
        TicketEntry::Run(wait, decisions) => {
            let task = run_owned(process.clone(), job, decisions);
            process.spawn(task.instrument(tracing::Span::current()));
            await_answer(process, arrival, wait).await
        }
        TicketEntry::Wait(wait) => await_answer(process, arrival, wait).await,
        TicketEntry::Answered(answer) => answer,
    }
}

/// Sends the call to the owner of its ticket. Only the owner can say "not run"; whatever hinders its
/// answer leaves the outcome unknown.
async fn forward(
    process: &ProcessContext,
    owner: &PeerAddress,
    call: ForwardedCall,
) -> TicketAnswer {
    let limit = Duration::from_millis(call.remaining_ms) + ANSWER_GRACE;
    let answer =
        process.peers.call::<_, TicketAnswer>(owner, PeerMethod::RunTicket, &call, limit).await;
    match answer {
        Ok(reply) => reply.content,
        Err(fault) => {
            tracing::warn!(owner = &*owner.vm, %fault, "the owner of a ticket gave no answer");
            TicketAnswer::Refused(Refusal::unknown(
                RefusalCode::OwnerUnreachable,
                format!("the owner of the ticket gave no answer: {fault}"),
            ))
        }
    }
}

/// Waits for the outcome of a call until the caller's deadline.
async fn await_answer(
    process: &ProcessContext,
    arrival: &Arrival,
    mut wait: TicketWait,
) -> TicketAnswer {
    let limit = arrival.deadline.remaining(&process.clock) + ANSWER_GRACE;
    match timeout(limit, &mut wait.answer).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) => TicketAnswer::Refused(Refusal::unknown(
            RefusalCode::ShuttingDown,
            "the process ended before the outcome was known",
        )),
        Err(_) => TicketAnswer::Refused(Refusal::unknown(
            RefusalCode::DeadlineExceeded,
            "the deadline passed before the outcome was known",
        )),
    }
}

/// A ticketed call as it is run.
enum OwnedCall {
    Chat(Box<ChatJob>, PlainCall),
    Plain(PlainJob),
}

impl OwnedCall {
    fn new(
        process: &ProcessContext,
        arrival: &Arrival,
        ticketed: TicketedCall,
    ) -> Result<OwnedCall, Refusal> {
        let TicketedCall { service, call } = ticketed;
        let arrival = arrival.clone();
        let rules = process.rules();
        let is_chat = rules
            .services
            .get(&service)
            .is_some_and(|rule| rule.kind == tarragon_config::rules::ServiceKind::Model);
        if !is_chat {
            return Ok(OwnedCall::Plain(PlainJob { arrival, service, call, run_once: true }));
        }
        // The ticket may have been used before, and with another body.
        let memory = process
            .charge(MemoryShare::CallerBodies, decoded_bytes(&call.body))
            .map_err(|refusal| Refusal { outcome: CallOutcome::Unknown, ..refusal })?;
        let body = ChatBody::parse(&call.body)
            .map_err(|message| Refusal::unknown(RefusalCode::InvalidBody, message))?;
        let job = ChatJob { arrival, service, body, run_once: true, memory };
        Ok(OwnedCall::Chat(Box::new(job), call))
    }

    fn arrival(&self) -> &Arrival {
        match self {
            OwnedCall::Chat(job, _) => &job.arrival,
            OwnedCall::Plain(job) => &job.arrival,
        }
    }

    fn call(&self) -> &PlainCall {
        match self {
            OwnedCall::Chat(_, call) => call,
            OwnedCall::Plain(job) => &job.call,
        }
    }

    fn service(&self) -> &ServiceName {
        match self {
            OwnedCall::Chat(job, _) => &job.service,
            OwnedCall::Plain(job) => &job.service,
        }
    }

    fn ticket_call(&self, process: &ProcessContext, forwarded: bool) -> TicketCall {
        let arrival = self.arrival();
        let rules = process.rules();
        let rule = rules.services.get(self.service());
        TicketCall {
            binding: CallBinding::of(&arrival.headers.workspace, self.service(), self.call()),
            profile: match self {
                OwnedCall::Chat(job, _) => job.profile(),
                OwnedCall::Plain(job) => job.profile(),
            },
            answer_limit: usize::try_from(
                rule.map_or(DEFAULT_ANSWER_LIMIT, |rule| rule.answer_limit),
            )
            .unwrap_or(usize::MAX),
            forwarded,
        }
    }

    fn forwarded(&self, process: &ProcessContext, ticket: String) -> ForwardedCall {
        let arrival = self.arrival();
        let remaining = arrival.deadline.remaining(&process.clock);
        ForwardedCall {
            ticket,
            workspace: arrival.headers.workspace.clone(),
            service: self.service().clone(),
            tier: arrival.headers.tier,
            remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            call: self.call().clone(),
        }
    }

    /// The call as the owner relays it to a VM of another data centre.
    fn relayed(&self) -> CallerCall {
        let call = self.call();
        let path = match self {
            OwnedCall::Chat(..) => call.path.clone(),
            OwnedCall::Plain(job) => format!("{SERVICE_PREFIX}{}{}", job.service, call.path),
        };
        CallerCall {
            arrival: self.arrival().clone(),
            method: Method::from_bytes(call.method.as_bytes()).unwrap_or(Method::POST),
            path,
            headers: call.headers.clone(),
            body: call.body.clone(),
            run_once: true,
        }
    }
}

/// Runs a call of an own ticket to its outcome. It goes on when its caller has gone, so that a repeat
/// can be told the outcome.
async fn run_owned(
    process: Arc<ProcessContext>,
    job: OwnedCall,
    decisions: mpsc::Receiver<Decision>,
) {
    let deadline = job.arrival().deadline;
    let abandoned = CancellationToken::new();
    let mut driver = RequestDriver::new(&process.link, job.arrival(), abandoned, decisions);
    driver.attempt_limit = deadline.instant + OUTCOME_LIMIT;
    let end = match &job {
        OwnedCall::Chat(chat, _) => run_chat_once(&process, chat, driver).await,
        OwnedCall::Plain(plain) => {
            let call = &plain.call;
            let mut runner = PlainRunner { process: &process, call, idempotent: false, deadline };
            driver.run(&mut runner).await
        }
    };
    let answer = match end {
        // The record keeps the answer long after its caller has taken it, within bounds of its own.
        RequestEnd::Answered(PlainAnswer { status, headers, body }) => {
            let body = Bytes::copy_from_slice(&body);
            Some(TicketAnswer::Done(PlainAnswer { status, headers, body }))
        }
        RequestEnd::Refused(refusal) => Some(TicketAnswer::Refused(refusal)),
        RequestEnd::Relay(peers) => Some(relay_owned(&process, &job, &peers).await),
        RequestEnd::Abandoned => None,
    };
    let answer = answer.unwrap_or_else(|| {
        let message = "the process ended before the outcome was known";
        TicketAnswer::Refused(Refusal::unknown(RefusalCode::ShuttingDown, message))
    });
    process.link.finish_ticket(job.arrival().request, answer).await;
}

/// Sends the call once to a VM of another data centre, as if that VM were the target.
async fn relay_owned(
    process: &ProcessContext,
    job: &OwnedCall,
    peers: &[PeerAddress],
) -> TicketAnswer {
    let call = job.relayed();
    let request = call.arrival.request;
    let response = match relay_call(process, peers, &call).await {
        Ok(response) => response,
        Err(fault) => {
            if !matches!(fault, RelayFault::Lost) {
                process.link.relay_not_run(request).await;
            }
            return TicketAnswer::Refused(fault.refusal());
        }
    };
    let outcome = response.headers().get(tarragon_protocol::header::OUTCOME).cloned();
    let status = response.status().as_u16();
    let headers = forwarded_headers(response.headers());
    let limits = process.timeouts;
    let whole = read_whole(&call.method, response, limits.answer_bytes, limits.idle).await;
    match (outcome.as_ref().and_then(|value| value.to_str().ok()), whole) {
        (Some("done"), Ok(body)) => TicketAnswer::Done(PlainAnswer { status, headers, body }),
        (Some("not-run"), _) => {
            process.link.relay_not_run(request).await;
            let message = format!("the VM of another data centre did not run the call ({RELAY})");
            TicketAnswer::Refused(Refusal::not_run(RefusalCode::NoTarget, message))
        }
        _ => TicketAnswer::Refused(RelayFault::Lost.refusal()),
    }
}

fn wants_stream(body: &[u8]) -> bool {
    serde_json::from_slice::<Value>(body)
        .is_ok_and(|body| body.get("stream").and_then(Value::as_bool) == Some(true))
}

/// A whole chat answer as a stream of one chunk, for a caller that asked for a stream.
fn as_event_stream(answer: PlainAnswer) -> PlainAnswer {
    let Ok(whole) = serde_json::from_slice::<Value>(&answer.body) else { return answer };
    let Some(content) = whole.pointer("/choices/0/message/content").and_then(Value::as_str) else {
        return answer;
    };
    let chunk = serde_json::json!({
        "id": whole["id"],
        "object": "chat.completion.chunk",
        "created": whole["created"],
        "model": whole["model"],
        "choices": [{
            "index": 0,
            "delta": {"role": "assistant", "content": content},
            "finish_reason": whole.pointer("/choices/0/finish_reason"),
        }],
    });
    let body = format!("data: {chunk}\n\ndata: [DONE]\n\n").into_bytes();
    let headers = vec![("content-type".to_owned(), "text/event-stream".to_owned())];
    PlainAnswer { status: answer.status, headers, body: body.into() }
}

//! Chat completions: streamed and whole answers of model engines.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use tarragon_cluster::event::PeerAddress;
use tarragon_config::rules::{RuleSet, ServiceKind};
use tarragon_protocol::{peer::PlainAnswer, prelude::*};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use tracing::Instrument;

use super::{
    answer::{AnswerBody, CallerAnswer, json_answer, refusal_answer, request_tag, set_outcome},
    arrival::{Arrival, CallerCall},
    header::apply_headers,
    prompt::{ChatBody, chat_fingerprint},
    service::must_run_once,
};
use crate::{
    clock::BootClock,
    memory::{MemoryCharge, MemoryShare},
    process::ProcessContext,
    request::{RequestDriver, RequestEnd},
    target::{
        engine::{EngineAnswer, EngineRunner, PlainEngineAnswer},
        position::StreamPosition,
    },
    token_sink::{EventSink, TokenSink, WholeAnswer, WholeSink},
};

/// A chat request on its way to an engine.
pub struct ChatJob {
    /// What is known of the request since its arrival.
    pub arrival: Arrival,
    /// Service that has the model.
    pub service: ServiceName,
    /// Body.
    pub body: ChatBody,
    /// Whether the call must not be run twice.
    pub run_once: bool,
    /// Memory of the decoded body and of its copies for targets.
    pub memory: MemoryCharge,
}

/// Memory of a body that is being decoded, decoded, and encoded for a target. Each value of the JSON text ends with one
/// of these characters or begins with one.
pub fn decoded_bytes(body: &[u8]) -> usize {
    /// Memory of one value with its key.
    const VALUE_BYTES: usize = 160;
    /// How often the text of the body is kept.
    const COPIES: usize = 4;
    let is_mark = |byte: &&u8| matches!(byte, b',' | b'[' | b'{' | b':');
    body.iter().filter(is_mark).count() * VALUE_BYTES + body.len() * COPIES
}

/// What became of a chat request.
#[derive(Debug)]
pub enum ServedChat {
    /// It has its answer, or the answer has begun.
    Answered(CallerAnswer),
    /// It was not run and can't be served here; these peers can take it.
    Relay(Vec<PeerAddress>),
}

impl ChatJob {
    /// What the scheduler needs to know.
    pub fn profile(&self) -> RequestProfile {
        let headers = &self.arrival.headers;
        RequestProfile {
            parts: Vec::new(),
            request: self.arrival.request,
            workspace: headers.workspace.clone(),
            service: self.service.clone(),
            tier: headers.tier,
            deadline: self.arrival.deadline.instant.into_std(),
            idempotent: !self.run_once,
            fingerprint: chat_fingerprint(&headers.workspace, &self.service, &self.body),
            kind: CallKind::Model(self.body.model_call()),
            options: CallOptions::default(),
        }
    }
}

/// The service that has a model: the one that a rule names, or the only model service.
pub fn model_service(rules: &RuleSet, model: &str) -> Option<ServiceName> {
    if let Some(rule) = rules.models.get(model) {
        return Some(rule.service.clone());
    }
    let mut services = rules.services.iter().filter(|(_, rule)| rule.kind == ServiceKind::Model);
    let (name, _) = services.next()?;
    services.next().is_none().then(|| name.clone())
}

/// Reads the body and finds the service.
pub fn prepare_chat(process: &ProcessContext, call: &CallerCall) -> Result<ChatJob, Refusal> {
    let memory = process.charge(MemoryShare::CallerBodies, decoded_bytes(&call.body))?;
    let body = ChatBody::parse(&call.body)
        .map_err(|message| Refusal::not_run(RefusalCode::InvalidBody, message))?;
    let rules = process.rules();
    let service = model_service(&rules, &body.model).ok_or_else(|| {
        let message = format!("no service has the model {}; name one of the rules", body.model);
        Refusal::not_run(RefusalCode::UnknownService, message)
    })?;
    let rule = rules.services.get(&service);
    let run_once = must_run_once(rule, &call.arrival.headers);
    Ok(ChatJob { arrival: call.arrival.clone(), service, body, run_once, memory })
}

/// Serves a chat request that may be run again. The work goes on in a task of its own, which ends when
/// the caller goes: the returned answer, or this future, holds the guard.
pub async fn serve_chat(process: &Arc<ProcessContext>, job: ChatJob) -> ServedChat {
    let abandoned = CancellationToken::new();
    let guard = abandoned.clone().drop_guard();
    let (sender, head) = oneshot::channel();
    let task = run_chat(process.clone(), job, abandoned, sender);
    process.spawn(task.instrument(tracing::Span::current()));
    match head.await {
        Ok(ServedChat::Answered(answer)) => ServedChat::Answered(hold_guard(answer, guard)),
        Ok(relay) => relay,
        Err(_) => {
            let message = "the process ended before the answer";
            let refusal = Refusal::unknown(RefusalCode::ShuttingDown, message);
            ServedChat::Answered(refusal_answer(&refusal))
        }
    }
}

/// Ties the caller's presence to the life of a streamed body.
fn hold_guard(answer: CallerAnswer, guard: tokio_util::sync::DropGuard) -> CallerAnswer {
    answer.map(|body| match body {
        AnswerBody::Stream { parts, .. } => AnswerBody::Stream { parts, guard: Some(guard) },
        whole => whole,
    })
}

async fn run_chat(
    process: Arc<ProcessContext>,
    job: ChatJob,
    abandoned: CancellationToken,
    head: oneshot::Sender<ServedChat>,
) {
    let _in_flight = process.metrics.enter(job.arrival.headers.tier);
    if job.body.stream {
        stream_chat(&process, &job, abandoned, head).await;
    } else if let Some(served) = whole_chat(&process, &job, abandoned).await {
        let _ = head.send(served);
    }
}

async fn stream_chat(
    process: &ProcessContext,
    job: &ChatJob,
    abandoned: CancellationToken,
    head: oneshot::Sender<ServedChat>,
) {
    let tier = job.arrival.headers.tier;
    let id = answer_id(job.arrival.request);
    let times = process.metrics.stream_times(tier);
    let created = process.clock.unix_seconds();
    let sink = EventSink::new(head, id, created, job.body.model.clone(), times);
    let (end, sink, _) = drive(process, job, abandoned, sink).await;
    let metrics = &process.metrics;
    let stall = process.timeouts.caller_stall;
    match end {
        RequestEnd::Answered(EngineAnswer::Streamed) => {
            let outcome =
                if sink.finish(stall).await { CallOutcome::Done } else { CallOutcome::Unknown };
            metrics.answered(Some(tier), outcome.name(), "none");
        }
        RequestEnd::Answered(EngineAnswer::Rejected(answer)) => {
            if let Some(head) = sink.into_head() {
                let _ = head.send(ServedChat::Answered(engine_answer(answer)));
            }
        }
        RequestEnd::Relay(peers) => {
            if let Some(head) = sink.into_head() {
                let _ = head.send(ServedChat::Relay(peers));
            }
        }
        RequestEnd::Refused(refusal) => {
            if let Some(head) = sink.fail(&refusal, stall).await {
                let _ = head.send(ServedChat::Answered(refusal_answer(&refusal)));
            } else {
                metrics.answered(Some(tier), refusal.outcome.name(), "stream_cut_short");
            }
        }
        RequestEnd::Abandoned => metrics.answered(Some(tier), "unknown", "caller_gone"),
    }
}

/// Runs a chat request whose answer is sent in one piece. `None` if the caller has gone.
pub async fn whole_chat(
    process: &ProcessContext,
    job: &ChatJob,
    abandoned: CancellationToken,
) -> Option<ServedChat> {
    let created = process.clock.unix_seconds();
    let (end, _, position) = drive(process, job, abandoned, WholeSink).await;
    match end {
        RequestEnd::Answered(EngineAnswer::Streamed) => {
            let body = whole_body(job, &position, created);
            let answer = json_answer(StatusCode::OK, CallOutcome::Done, body);
            Some(ServedChat::Answered(answer))
        }
        RequestEnd::Answered(EngineAnswer::Rejected(answer)) => {
            Some(ServedChat::Answered(engine_answer(answer)))
        }
        RequestEnd::Refused(refusal) => Some(ServedChat::Answered(refusal_answer(&refusal))),
        RequestEnd::Relay(peers) => Some(ServedChat::Relay(peers)),
        RequestEnd::Abandoned => {
            let tier = Some(job.arrival.headers.tier);
            process.metrics.answered(tier, "unknown", "caller_gone");
            None
        }
    }
}

async fn drive<S>(
    process: &ProcessContext,
    job: &ChatJob,
    abandoned: CancellationToken,
    sink: S,
) -> (RequestEnd<EngineAnswer>, S, StreamPosition)
where
    S: TokenSink,
{
    let mut runner = engine_runner(process, job, sink);
    let end = match process.link.admit(job.profile(), job.arrival.relayed).await {
        None => RequestEnd::Refused(Refusal::not_run(
            RefusalCode::ShuttingDown,
            "the process is shutting down",
        )),
        Some(decisions) => {
            let driver = RequestDriver::new(&process.link, &job.arrival, abandoned, decisions);
            driver.run(&mut runner).await
        }
    };
    (end, runner.sink, runner.position)
}

fn engine_runner<'a, S>(
    process: &'a ProcessContext,
    job: &'a ChatJob,
    sink: S,
) -> EngineRunner<'a, S>
where
    S: TokenSink,
{
    let position = StreamPosition::default();
    let deadline = job.arrival.deadline;
    EngineRunner { process, fields: &job.body.fields, position, sink, deadline }
}

/// Runs a chat call with a ticket, whose answer is recorded in one piece.
pub async fn run_chat_once(
    process: &ProcessContext,
    job: &ChatJob,
    driver: RequestDriver,
) -> RequestEnd<PlainAnswer> {
    let created = process.clock.unix_seconds();
    let mut runner = engine_runner(process, job, WholeSink);
    let end = driver.run(&mut runner).await;
    let position = runner.position;
    match end {
        RequestEnd::Answered(EngineAnswer::Streamed) => {
            let headers = vec![("content-type".to_owned(), "application/json".to_owned())];
            let body = whole_body(job, &position, created);
            RequestEnd::Answered(PlainAnswer { status: StatusCode::OK.as_u16(), headers, body })
        }
        RequestEnd::Answered(EngineAnswer::Rejected(answer)) => RequestEnd::Answered(PlainAnswer {
            status: answer.status.as_u16(),
            headers: answer.headers,
            body: answer.body,
        }),
        RequestEnd::Refused(refusal) => RequestEnd::Refused(refusal),
        RequestEnd::Relay(peers) => RequestEnd::Relay(peers),
        RequestEnd::Abandoned => RequestEnd::Abandoned,
    }
}

fn whole_body(job: &ChatJob, position: &StreamPosition, created: u64) -> Bytes {
    let answer = WholeAnswer {
        id: &answer_id(job.arrival.request),
        created,
        model: &job.body.model,
        text: &position.text,
        finish: position.finish.as_deref(),
        prompt_tokens: job.body.prompt_tokens,
        completion_tokens: position.tokens,
    };
    answer.to_bytes()
}

/// Id of a chat answer, the same in all its chunks.
fn answer_id(request: RequestId) -> String {
    format!("chatcmpl-{}", request_tag(request))
}

/// The engine's own answer to a call that it refused as faulty.
fn engine_answer(answer: PlainEngineAnswer) -> CallerAnswer {
    let mut response = Response::new(AnswerBody::Whole(Some(answer.body)));
    *response.status_mut() = answer.status;
    let mut headers = HeaderMap::new();
    apply_headers(&mut headers, &answer.headers);
    *response.headers_mut() = headers;
    set_outcome(&mut response, CallOutcome::Done);
    response
}

//! A caller of the demo: sends requests to VMs that are ready, reads whole answers and checks them.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Bytes, body::Incoming};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};
use tarragon_protocol::{engine::ChatMessage, header, prelude::*, prompt::render_prompt};
use tarragon_standin::{
    engine::{answer_length, answer_token},
    service::CALL_ID,
};
use tokio::time::{Instant, sleep, timeout};

use super::plan::{DemoKind, DemoRequest};

/// Interval at which the readiness of the VMs is asked for, as a load balancer does.
const HEALTH_INTERVAL: Duration = Duration::from_millis(250);
/// Time that a caller waits after its deadline for a truthful answer.
const PATIENCE: Duration = Duration::from_secs(3);

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum DemoEnding {
    /// The whole answer came.
    Answered,
    /// It was refused as "not run".
    Refused(String),
    /// It may have run: the answer says so, broke off or did not come.
    Unknown(String),
}

/// Result of one request.
#[derive(Debug, Clone)]
pub(super) struct DemoResult {
    pub(super) tier: Tier,
    pub(super) ending: DemoEnding,
    /// Whether the answer came before the deadline.
    pub(super) in_time: bool,
    /// Tokens of the answer.
    pub(super) tokens: u32,
    /// Id of a dispatch, which must have run once if it was answered and never if it was refused.
    pub(super) call_id: Option<String>,
    /// What the caller found wrong with the answer.
    pub(super) fault: Option<String>,
    /// Request id and message of the answer, to find it in the log.
    pub(super) detail: String,
}

/// An answer as it was read.
#[derive(Debug, Default)]
struct ReadAnswer {
    outcome: String,
    code: Option<String>,
    request_id: String,
    message: String,
    text: String,
    /// Whether the answer is known to be whole.
    complete: bool,
    body: Vec<u8>,
}

/// Sends requests to several VMs.
#[derive(Debug, Clone)]
pub(super) struct DemoClient {
    client: Client<HttpConnector, Full<Bytes>>,
    vms: Arc<[(SocketAddr, AtomicBool)]>,
}

impl DemoClient {
    pub(super) fn new(addresses: Vec<SocketAddr>) -> DemoClient {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let vms = addresses.into_iter().map(|address| (address, AtomicBool::new(true)));
        DemoClient { client, vms: vms.collect() }
    }

    /// Keeps asking the VMs whether they are ready.
    pub(super) async fn follow_health(self) {
        loop {
            for (address, ready) in self.vms.iter() {
                ready.store(self.is_ready(*address).await, Ordering::Relaxed);
            }
            sleep(HEALTH_INTERVAL).await;
        }
    }

    /// Whether a VM wants work from the load balancer.
    pub(super) async fn is_ready(&self, address: SocketAddr) -> bool {
        let request = Request::get(format!("http://{address}/health/ready")).body(Full::default());
        let Ok(request) = request else { return false };
        let answer = timeout(HEALTH_INTERVAL * 4, self.client.request(request)).await;
        answer.is_ok_and(|answer| answer.is_ok_and(|answer| answer.status().is_success()))
    }

    /// A ready VM, or any if none is ready.
    fn pick(&self, choice: usize) -> SocketAddr {
        let ready: Vec<SocketAddr> = self
            .vms
            .iter()
            .filter(|(_, ready)| ready.load(Ordering::Relaxed))
            .map(|(address, _)| *address)
            .collect();
        match ready.is_empty() {
            true => self.vms[choice % self.vms.len()].0,
            false => ready[choice % ready.len()],
        }
    }

    /// Sends a request and waits for its end. The wait is bounded by the deadline.
    pub(super) async fn send(&self, request: DemoRequest) -> DemoResult {
        let begin = Instant::now();
        let answer = timeout(request.deadline + PATIENCE, self.exchange(&request)).await;
        let answer = answer.unwrap_or_else(|_| Err("no answer".to_owned()));
        let mut result = DemoResult {
            tier: request.tier,
            ending: DemoEnding::Answered,
            in_time: begin.elapsed() <= request.deadline,
            tokens: 0,
            call_id: match &request.kind {
                DemoKind::Dispatch { call_id, .. } => Some(call_id.clone()),
                DemoKind::Chat { .. } => None,
            },
            fault: None,
            detail: String::new(),
        };
        match answer {
            Err(cause) => result.ending = DemoEnding::Unknown(cause),
            Ok((answer, fault)) => {
                result.ending = ending(&answer);
                let ReadAnswer { request_id, outcome, message, .. } = answer;
                result.detail = format!("request {request_id} was {outcome}: {message}");
                result.fault = fault;
            }
        }
        if let (DemoKind::Chat { messages, .. }, DemoEnding::Answered) =
            (&request.kind, &result.ending)
        {
            result.tokens = answer_length(&render_prompt(messages));
        }
        result
    }

    async fn exchange(
        &self,
        request: &DemoRequest,
    ) -> Result<(ReadAnswer, Option<String>), String> {
        match &request.kind {
            DemoKind::Chat { messages, stream } => self.chat(request, messages, *stream).await,
            DemoKind::Dispatch { call_id, repeated } => {
                self.dispatch(request, call_id, *repeated).await
            }
        }
    }

    async fn chat(
        &self,
        request: &DemoRequest,
        messages: &[ChatMessage],
        stream: bool,
    ) -> Result<(ReadAnswer, Option<String>), String> {
        let body = json!({ "model": "channel-guide", "stream": stream, "messages": messages });
        let message = Message { path: "/v1/chat/completions", ticket: None, call_id: None };
        let body = body.to_string();
        let answer = self.post(self.pick(request.choice), request, message, body).await?;
        let prompt = render_prompt(messages);
        let expected: String =
            (0..answer_length(&prompt)).map(|index| answer_token(&prompt, index)).collect();
        let fault = match answer.complete && answer.outcome == CallOutcome::Done.name() {
            true if answer.text != expected => Some("an answer has another text".to_owned()),
            false if !expected.starts_with(&answer.text) => {
                Some("a part of an answer has another text".to_owned())
            }
            _ => None,
        };
        Ok((answer, fault))
    }

    /// Takes a ticket and dispatches with it. A repeat goes to another VM and must bring the same answer.
    async fn dispatch(
        &self,
        request: &DemoRequest,
        call_id: &str,
        repeated: bool,
    ) -> Result<(ReadAnswer, Option<String>), String> {
        let first = self.pick(request.choice);
        let message = Message { path: "/v1/tickets", ticket: None, call_id: None };
        let issued = self.post(first, request, message, String::new()).await;
        // Without a ticket nothing was sent that could run.
        let Ok(issued) = issued else {
            return Ok((ReadAnswer::not_sent("no_ticket"), None));
        };
        let body: Value = serde_json::from_slice(&issued.body).unwrap_or_default();
        let Some(ticket) = body.get("ticket").and_then(Value::as_str) else {
            return Ok((ReadAnswer::not_sent(issued.code.as_deref().unwrap_or("no_ticket")), None));
        };
        let path = "/services/dispatch-app/dispatch/trucks";
        let message = Message { path, ticket: Some(ticket), call_id: Some(call_id) };
        let body = json!({ "drain": call_id }).to_string();
        let answer = self.post(first, request, message, body.clone()).await;
        if !repeated || !answer.as_ref().is_ok_and(|answer| answer.complete) {
            return answer.map(|answer| (answer, None));
        }
        let answer = answer?;
        let other = self.pick(request.choice + 1);
        let message = Message { path, ticket: Some(ticket), call_id: Some(call_id) };
        let again = self.post(other, request, message, body).await;
        Ok((repeat_fault(&answer, again), answer)).map(|(fault, answer)| (answer, fault))
    }

    async fn post(
        &self,
        address: SocketAddr,
        request: &DemoRequest,
        message: Message<'_>,
        body: String,
    ) -> Result<ReadAnswer, String> {
        let mut builder = Request::post(format!("http://{address}{}", message.path))
            .header("content-type", "application/json")
            .header(header::WORKSPACE, request.workspace)
            .header(header::TIER, request.tier.name())
            .header(header::DEADLINE, request.deadline.as_millis().to_string());
        if let Some(ticket) = message.ticket {
            builder = builder.header(header::TICKET, ticket);
        }
        if let Some(call_id) = message.call_id {
            builder = builder.header(CALL_ID, call_id);
        }
        let request = builder.body(Full::from(body)).map_err(|error| error.to_string())?;
        match self.client.request(request).await {
            Ok(response) => Ok(read_answer(response).await),
            Err(_) => Err("connection broke".to_owned()),
        }
    }
}

/// Where a message goes and what it carries besides the common headers.
struct Message<'m> {
    path: &'static str,
    ticket: Option<&'m str>,
    call_id: Option<&'m str>,
}

impl ReadAnswer {
    fn not_sent(code: &str) -> ReadAnswer {
        ReadAnswer {
            outcome: CallOutcome::NotRun.name().to_owned(),
            code: Some(code.to_owned()),
            complete: true,
            ..ReadAnswer::default()
        }
    }
}

fn ending(answer: &ReadAnswer) -> DemoEnding {
    let code = || answer.code.clone().unwrap_or_else(|| "broken answer".to_owned());
    match answer.outcome.as_str() {
        "done" if answer.complete && answer.code.is_none() => DemoEnding::Answered,
        "not-run" => DemoEnding::Refused(code()),
        _ => DemoEnding::Unknown(code()),
    }
}

/// A repeat may be answered "unknown", but never with another result.
fn repeat_fault(first: &ReadAnswer, again: Result<ReadAnswer, String>) -> Option<String> {
    let again = again.ok()?;
    let changed = match (first.outcome.as_str(), again.outcome.as_str()) {
        ("done", "done") => first.body != again.body,
        ("done", "not-run") | ("not-run", "done") => true,
        _ => false,
    };
    changed.then(|| format!("a repeat of a ticket was {} after {}", again.outcome, first.outcome))
}

async fn read_answer(response: Response<Incoming>) -> ReadAnswer {
    let text = |name: &str| {
        let value = response.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let streamed = text("content-type").starts_with("text/event-stream");
    let (outcome, request_id) = (text(header::OUTCOME), text(header::REQUEST_ID));
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        match frame.map(|frame| frame.into_data()) {
            Ok(Ok(data)) => bytes.extend_from_slice(&data),
            Ok(Err(_)) => {}
            Err(_) => whole = false,
        }
    }
    let mut answer = ReadAnswer { outcome, request_id, complete: whole, ..ReadAnswer::default() };
    match streamed {
        true => read_stream(&String::from_utf8_lossy(&bytes), &mut answer),
        false => read_json(&bytes, &mut answer),
    }
    answer.body = bytes;
    answer
}

fn read_json(bytes: &[u8], answer: &mut ReadAnswer) {
    let Ok(value) = serde_json::from_slice::<Value>(bytes) else { return };
    answer.code = error_code(&value);
    let message = value.pointer("/error/message").and_then(Value::as_str);
    answer.message = message.unwrap_or_default().to_owned();
    let content = value.pointer("/choices/0/message/content").and_then(Value::as_str);
    answer.text = content.unwrap_or_default().to_owned();
}

/// Reads server-sent events. Only `[DONE]` shows that the answer is whole.
fn read_stream(text: &str, answer: &mut ReadAnswer) {
    answer.complete = false;
    for line in text.lines() {
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            answer.complete = true;
            continue;
        }
        let Ok(value) = serde_json::from_str::<Value>(data) else { continue };
        answer.code = answer.code.take().or_else(|| error_code(&value));
        let content = value.pointer("/choices/0/delta/content").and_then(Value::as_str);
        answer.text.push_str(content.unwrap_or_default());
    }
}

fn error_code(value: &Value) -> Option<String> {
    value.pointer("/error/code").and_then(Value::as_str).map(str::to_owned)
}

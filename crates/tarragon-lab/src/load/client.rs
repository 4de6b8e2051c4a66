//! One caller: sends a planned request, repeats it where that is allowed, and reads the whole answer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::json;
use tarragon_protocol::header;
use tokio::time::Instant;
use tokio_util::codec::{Decoder, LinesCodec};

use crate::workload::{PlannedRequest, RequestClass, Workload};

/// Longest line of a stream that is accepted.
const MAX_LINE: usize = 1 << 20;
/// Additional time that a caller waits after the deadline it named.
const DEADLINE_SLACK: Duration = Duration::from_secs(5);

/// How a request ended, from the caller's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LoadOutcome {
    /// The whole answer arrived.
    Done,
    /// The answer says that the request did not run.
    NotRun,
    /// The answer says that the request may have run.
    Unknown,
    /// The stream ended in an error event.
    StreamError,
    /// The answer ended before it was whole, or without an outcome.
    Broken,
    /// No answer within the deadline.
    TimedOut,
    /// The generator had too many open requests.
    NotSent,
}

impl LoadOutcome {
    /// All outcomes.
    pub const ALL: [LoadOutcome; 7] = [
        LoadOutcome::Done,
        LoadOutcome::NotRun,
        LoadOutcome::Unknown,
        LoadOutcome::StreamError,
        LoadOutcome::Broken,
        LoadOutcome::TimedOut,
        LoadOutcome::NotSent,
    ];

    /// Name in tables.
    pub fn name(self) -> &'static str {
        match self {
            LoadOutcome::Done => "done",
            LoadOutcome::NotRun => "not-run",
            LoadOutcome::Unknown => "unknown",
            LoadOutcome::StreamError => "stream-error",
            LoadOutcome::Broken => "broken",
            LoadOutcome::TimedOut => "timed-out",
            LoadOutcome::NotSent => "not-sent",
        }
    }
}

/// Answer to one planned request.
#[derive(Debug, Clone)]
pub struct LoadAnswer {
    /// Index of the class.
    pub class: usize,
    /// How the last sending ended.
    pub outcome: LoadOutcome,
    /// Time from the intended start to the first byte of the answer.
    pub first: Duration,
    /// Time from the intended start to the end.
    pub total: Duration,
    /// Greatest gap between two chunks of a stream.
    pub gap: Duration,
    /// Times that the request was sent.
    pub sendings: u32,
}

impl LoadAnswer {
    /// A request that the generator could not send.
    pub fn not_sent(class: usize) -> LoadAnswer {
        LoadAnswer {
            class,
            outcome: LoadOutcome::NotSent,
            first: Duration::ZERO,
            total: Duration::ZERO,
            gap: Duration::ZERO,
            sendings: 0,
        }
    }
}

/// Sends requests of one workload.
#[derive(Clone)]
pub(super) struct LoadClient {
    client: Client<HttpConnector, Full<Bytes>>,
    addresses: Arc<[SocketAddr]>,
    workload: Arc<Workload>,
    repeats: u32,
}

/// What one sending brought.
struct SendingResult {
    outcome: LoadOutcome,
    first: Option<Instant>,
    gap: Duration,
}

impl SendingResult {
    fn failed(outcome: LoadOutcome) -> SendingResult {
        SendingResult { outcome, first: None, gap: Duration::ZERO }
    }
}

impl LoadClient {
    pub(super) fn new(
        addresses: Vec<SocketAddr>,
        workload: Arc<Workload>,
        repeats: u32,
    ) -> LoadClient {
        let client = Client::builder(TokioExecutor::new()).build_http();
        LoadClient { client, addresses: addresses.into(), workload, repeats }
    }

    /// Sends a request until it is done, its repeats are used up or its deadline has passed. Each
    /// sending goes to the next VM, as a load balancer would do.
    pub(super) async fn call(
        &self,
        request: &PlannedRequest,
        intended: Instant,
        choice: u32,
    ) -> LoadAnswer {
        let class = &self.workload.classes[request.class];
        let deadline = intended + Duration::from_millis(class.deadline_ms);
        let mut ticket = None;
        let mut sending = 0;
        loop {
            let vm = (choice as usize).wrapping_add(sending as usize) % self.addresses.len();
            sending += 1;
            let attempt =
                self.send_once(self.addresses[vm], request, deadline, sending, &mut ticket);
            let limit = deadline + DEADLINE_SLACK;
            let result = match tokio::time::timeout_at(limit, attempt).await {
                Ok(result) => result,
                Err(_) => SendingResult::failed(LoadOutcome::TimedOut),
            };
            let again = self.may_repeat(class, result.outcome, &mut ticket)
                && sending <= self.repeats
                && Instant::now() < deadline;
            if !again {
                let now = Instant::now();
                let first = result.first.unwrap_or(now);
                return LoadAnswer {
                    class: request.class,
                    outcome: result.outcome,
                    first: first.saturating_duration_since(intended),
                    total: now.saturating_duration_since(intended),
                    gap: result.gap,
                    sendings: sending,
                };
            }
        }
    }

    /// A broken sending may be repeated under the same ticket; after "not-run" a new ticket is taken. An
    /// "unknown" is final for a non-idempotent call.
    fn may_repeat(
        &self,
        class: &RequestClass,
        outcome: LoadOutcome,
        ticket: &mut Option<String>,
    ) -> bool {
        let idempotent = class.plain.as_ref().is_none_or(|plain| plain.idempotent);
        match outcome {
            LoadOutcome::Broken => true,
            LoadOutcome::NotRun => {
                *ticket = None;
                true
            }
            LoadOutcome::StreamError | LoadOutcome::Unknown => idempotent,
            LoadOutcome::Done | LoadOutcome::TimedOut | LoadOutcome::NotSent => false,
        }
    }

    async fn send_once(
        &self,
        address: SocketAddr,
        request: &PlannedRequest,
        deadline: Instant,
        sending: u32,
        ticket: &mut Option<String>,
    ) -> SendingResult {
        let class = &self.workload.classes[request.class];
        let needs_ticket = class.plain.as_ref().is_some_and(|plain| !plain.idempotent);
        if needs_ticket && ticket.is_none() {
            match self.take_ticket(address, request).await {
                Some(taken) => *ticket = Some(taken),
                None => return SendingResult::failed(LoadOutcome::NotRun),
            }
        }
        let left = deadline.saturating_duration_since(Instant::now()).as_millis().max(1);
        let built = self.build(address, request, left, sending, ticket.as_deref());
        let Ok(built) = built else { return SendingResult::failed(LoadOutcome::NotSent) };
        match self.client.request(built).await {
            Ok(response) => read_answer(response).await,
            Err(_) => SendingResult::failed(LoadOutcome::Broken),
        }
    }

    async fn take_ticket(&self, address: SocketAddr, request: &PlannedRequest) -> Option<String> {
        let class = &self.workload.classes[request.class];
        let built = Request::post(format!("http://{address}/v1/tickets"))
            .header(header::WORKSPACE, &self.workload.workspaces[request.workspace].name)
            .header(header::TIER, class.tier.name())
            .body(Full::default())
            .ok()?;
        let response = self.client.request(built).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        let value: serde_json::Value = serde_json::from_slice(&body).ok()?;
        Some(value.get("ticket")?.as_str()?.to_owned())
    }

    fn build(
        &self,
        address: SocketAddr,
        request: &PlannedRequest,
        left_ms: u128,
        sending: u32,
        ticket: Option<&str>,
    ) -> http::Result<Request<Full<Bytes>>> {
        let class = &self.workload.classes[request.class];
        let (path, idempotent, body) = match &class.plain {
            Some(plain) => {
                let service = &self.workload.plain.service;
                let path = format!("/services/{service}{}", plain.path);
                let work_ms = request.work.as_millis() as u64;
                let body = json!({"call": request.unique.to_string(), "work_ms": work_ms});
                (path, plain.idempotent, body)
            }
            None => ("/v1/chat/completions".to_owned(), true, self.chat_body(request)),
        };
        let mut builder = Request::post(format!("http://{address}{path}"))
            .header("content-type", "application/json")
            .header(header::WORKSPACE, &self.workload.workspaces[request.workspace].name)
            .header(header::TIER, class.tier.name())
            .header(header::DEADLINE, left_ms.to_string())
            .header(header::IDEMPOTENT, idempotent.to_string())
            .header(header::ATTEMPT, sending.to_string());
        if let Some(ticket) = ticket {
            builder = builder.header(header::TICKET, ticket);
        }
        builder.body(Full::from(body.to_string()))
    }

    fn chat_body(&self, request: &PlannedRequest) -> serde_json::Value {
        let shared = words(u64::from(request.prefix_group), request.prefix_tokens);
        let own_tokens = request.prompt_tokens - request.prefix_tokens;
        json!({
            "model": self.workload.engines.model,
            "stream": true,
            "max_tokens": request.output_tokens,
            "messages": [
                {"role": "system", "content": shared},
                {"role": "user", "content": words(request.unique, own_tokens)},
            ],
        })
    }
}

/// Text of about this many tokens, at four bytes a token.
fn words(seed: u64, tokens: u32) -> String {
    let mut text = String::with_capacity(tokens as usize * 4);
    let mut state = seed;
    for _ in 0..tokens {
        state =
            state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        text.push_str(&format!("{:03x} ", state >> 52));
    }
    text
}

async fn read_answer(response: Response<Incoming>) -> SendingResult {
    let outcome = response.headers().get(header::OUTCOME).and_then(|value| value.to_str().ok());
    let outcome = match outcome {
        Some("done") => LoadOutcome::Done,
        Some("not-run") => LoadOutcome::NotRun,
        Some("unknown") => LoadOutcome::Unknown,
        _ => LoadOutcome::Broken,
    };
    let kind = response.headers().get("content-type").and_then(|value| value.to_str().ok());
    let streamed = kind.is_some_and(|kind| kind.starts_with("text/event-stream"));
    let mut reader = StreamReader::default();
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return SendingResult { outcome: LoadOutcome::Broken, ..reader.result() };
        };
        if let Ok(data) = frame.into_data() {
            reader.take(&data, Instant::now());
        }
    }
    let outcome = match (outcome, streamed) {
        (LoadOutcome::Done, true) if reader.error => LoadOutcome::StreamError,
        (LoadOutcome::Done, true) if !reader.done => LoadOutcome::Broken,
        (outcome, _) => outcome,
    };
    SendingResult { outcome, ..reader.result() }
}

/// Follows a stream of server-sent events far enough to know how it ended.
struct StreamReader {
    buffer: BytesMut,
    lines: LinesCodec,
    first: Option<Instant>,
    last: Option<Instant>,
    gap: Duration,
    done: bool,
    error: bool,
}

impl Default for StreamReader {
    fn default() -> StreamReader {
        StreamReader {
            buffer: BytesMut::new(),
            lines: LinesCodec::new_with_max_length(MAX_LINE),
            first: None,
            last: None,
            gap: Duration::ZERO,
            done: false,
            error: false,
        }
    }
}

impl StreamReader {
    fn take(&mut self, data: &[u8], now: Instant) {
        if let Some(last) = self.last {
            self.gap = self.gap.max(now - last);
        }
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.buffer.extend_from_slice(data);
        while let Ok(Some(line)) = self.lines.decode(&mut self.buffer) {
            self.done |= line == "data: [DONE]";
            self.error |= line == "event: error";
        }
    }

    fn result(&self) -> SendingResult {
        SendingResult { outcome: LoadOutcome::Done, first: self.first, gap: self.gap }
    }
}

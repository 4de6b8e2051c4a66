//! Relay of a whole request to another entry VM, one hop at most, with the answer streamed back.

use std::time::Duration;

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tarragon_cluster::{
    event::PeerAddress,
    signing::{MessageSigner, SignedMessage},
};
use tarragon_protocol::{
    header::{OUTCOME, RELAY},
    prelude::*,
};
use tokio::{sync::mpsc, time::timeout};

use super::envelope::{PeerMethod, read_call, write_call};
use crate::{
    caller::{
        answer::{AnswerBody, BodyPart, CallerAnswer, set_outcome},
        arrival::{Arrival, CallerCall},
        header::{CallerHeaders, apply_headers, forwarded_headers},
    },
    guarded::Guarded,
    process::{Deadline, ProcessContext},
    target::{
        metered::TargetBody,
        pool::{CallBody, CallFault, TargetConnection},
        timeouts::TargetTimeouts,
    },
};

/// Start of the path of relayed requests on the peer address.
pub const RELAY_PREFIX: &str = "/relay";
/// Times that a request is sealed for one peer.
const SEAL_TRIES: usize = 3;
/// Parts of a relayed answer that wait for a slow caller. Each is as large as a read buffer.
const RELAY_PARTS: usize = 2;
/// Time that the answer of the other VM may take beyond the caller's deadline.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// What the sealed header of a relayed request says. It covers everything that decides how the request
/// is run, so that neither a header nor the body can be exchanged on the way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayProof {
    /// HTTP method.
    method: String,
    /// Path with query.
    path: String,
    /// Workspace.
    workspace: WorkspaceName,
    /// Tier.
    tier: Tier,
    /// Milliseconds until the deadline.
    remaining_ms: u64,
    /// Whether the caller called the request idempotent.
    idempotent: Option<bool>,
    /// The caller's count of attempts.
    attempt: u32,
    /// Whether the owner of a ticket sends this call, which is to be run at most once.
    run_once: bool,
    /// SHA-256 of the body in base64.
    body: String,
}

/// Why a relay brought no answer.
#[derive(Debug)]
pub enum RelayFault {
    /// No peer could be reached: nothing was sent.
    NotSent,
    /// The check right before the write failed: nothing was sent.
    Withheld,
    /// The request was sent and the answer was lost.
    Lost,
}

impl RelayFault {
    /// The answer for the caller.
    pub fn refusal(&self) -> Refusal {
        match self {
            RelayFault::NotSent => Refusal::not_run(
                RefusalCode::NoTarget,
                "the service can't be served here and no other VM could be reached",
            )
            .with_retry_after(Duration::from_secs(1)),
            RelayFault::Withheld => Refusal::not_run(
                RefusalCode::DeadlineExceeded,
                "the deadline passed before the request could be sent",
            ),
            RelayFault::Lost => Refusal::unknown(
                RefusalCode::TargetFailed,
                "the answer of the VM that was to serve the request was lost",
            ),
        }
    }
}

impl RelayProof {
    fn new(call: &CallerCall, remaining: Duration) -> RelayProof {
        let headers = &call.arrival.headers;
        RelayProof {
            method: call.method.as_str().to_owned(),
            path: call.path.clone(),
            workspace: headers.workspace.clone(),
            tier: headers.tier,
            remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            idempotent: headers.idempotent,
            attempt: headers.attempt,
            run_once: call.run_once,
            body: body_hash(&call.body),
        }
    }
}

/// Sends a request to the first of the peers that can be reached and waits for the head of the answer.
/// For the call of a ticket, the node is asked right before the first byte.
pub async fn relay_call(
    process: &ProcessContext,
    peers: &[PeerAddress],
    call: &CallerCall,
) -> Result<Response<TargetBody>, RelayFault> {
    for peer in peers {
        for _ in 0..SEAL_TRIES {
            match relay_to(process, peer, call).await {
                RelayTry::Answered(response) => return Ok(response),
                RelayTry::SealRefused => {
                    if call.run_once {
                        process.link.relay_not_run(call.arrival.request).await;
                    }
                }
                RelayTry::Unreachable => break,
                RelayTry::Failed(fault) => return Err(fault),
            }
        }
    }
    Err(RelayFault::NotSent)
}

/// How an attempt to relay a request ended.
enum RelayTry {
    Answered(Response<TargetBody>),
    /// The peer did not accept the seal and ran nothing. Many requests at once can overtake each other by
    /// more than the peer's replay window holds; a new seal has a newer counter.
    SealRefused,
    /// Nothing was sent.
    Unreachable,
    Failed(RelayFault),
}

async fn relay_to(process: &ProcessContext, peer: &PeerAddress, call: &CallerCall) -> RelayTry {
    let limit = process.timeouts.connect;
    let Ok(mut connection) = TargetConnection::open(&peer.address, limit).await else {
        tracing::debug!(peer = &*peer.vm, "a peer can't be reached for a relay");
        return RelayTry::Unreachable;
    };
    let allowed = !call.run_once || process.link.may_relay(call.arrival.request).await;
    let remaining = call.arrival.deadline.remaining(&process.clock);
    if !allowed || remaining.is_zero() {
        return RelayTry::Failed(RelayFault::Withheld);
    }
    let Some(request) = build_request(process, peer, call, remaining) else {
        return RelayTry::Failed(RelayFault::NotSent);
    };
    match connection.send(request, remaining + ANSWER_GRACE).await {
        Ok(response) if is_seal_refusal(&response) => RelayTry::SealRefused,
        Ok(response) => RelayTry::Answered(response),
        Err(CallFault::NotSent(_)) if !call.run_once => RelayTry::Unreachable,
        Err(fault) => {
            tracing::warn!(peer = &*peer.vm, %fault, "a relayed request got no answer");
            RelayTry::Failed(RelayFault::Lost)
        }
    }
}

/// Whether the answer is the peer's own refusal of a seal, which names the header.
fn is_seal_refusal(response: &Response<TargetBody>) -> bool {
    response.status() == StatusCode::FORBIDDEN && response.headers().contains_key(RELAY)
}

fn build_request(
    process: &ProcessContext,
    peer: &PeerAddress,
    call: &CallerCall,
    remaining: Duration,
) -> Option<Request<CallBody>> {
    let proof = write_call(PeerMethod::Relay, &RelayProof::new(call, remaining)).ok()?;
    let sealed = process.peers.seal_text(peer, proof);
    let sealed = STANDARD_NO_PAD.encode(serde_json::to_vec(&sealed).ok()?);
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(format!("{RELAY_PREFIX}{}", call.path))
        .header(header::HOST, &peer.address)
        .body(CallBody::new(call.body.clone()))
        .ok()?;
    apply_headers(request.headers_mut(), &call.headers);
    request.headers_mut().insert(RELAY, HeaderValue::from_str(&sealed).ok()?);
    Some(request)
}

/// Passes the answer of another VM on as it arrives.
pub fn stream_back(process: &ProcessContext, response: Response<TargetBody>) -> CallerAnswer {
    let (head, body) = response.into_parts();
    let (sender, parts) = mpsc::channel(RELAY_PARTS);
    process.spawn(copy_body(body, sender, process.timeouts));
    let mut answer = Response::new(AnswerBody::Stream { parts, guard: None });
    *answer.status_mut() = head.status;
    apply_headers(answer.headers_mut(), &forwarded_headers(&head.headers));
    // An answer that comes from before the other VM's service says nothing of the request's run.
    set_outcome(&mut answer, CallOutcome::Unknown);
    copy_header(&head.headers, answer.headers_mut(), OUTCOME);
    copy_header(&head.headers, answer.headers_mut(), header::RETRY_AFTER.as_str());
    answer
}

fn copy_header(from: &HeaderMap, to: &mut HeaderMap, name: &'static str) {
    if let Some(value) = from.get(name) {
        to.insert(name, value.clone());
    }
}

/// Copies a body. Dropping the sender before its end breaks the caller's connection, so that a part is
/// never taken for the whole; a caller that goes closes the connection to the other VM.
async fn copy_body(mut body: TargetBody, sender: mpsc::Sender<BodyPart>, timeouts: TargetTimeouts) {
    loop {
        let frame = tokio::select! {
            () = sender.closed() => return,
            frame = timeout(timeouts.idle, body.frame()) => frame,
        };
        let data = match frame {
            Err(_) | Ok(Some(Err(_))) => return,
            Ok(None) => {
                let _ = timeout(timeouts.caller_stall, sender.send(BodyPart::End)).await;
                return;
            }
            Ok(Some(Ok(frame))) => frame.into_data(),
        };
        let Ok(data) = data else { continue };
        let sent = timeout(timeouts.caller_stall, sender.send(BodyPart::Data(data))).await;
        if !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}

/// Why a relayed request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidRelay(pub &'static str);

/// Verifies a relayed request and reads it. `assign` gives it an id.
pub fn open_relay(
    seal: &Guarded<MessageSigner>,
    process: &ProcessContext,
    head: &http::request::Parts,
    body: Bytes,
    request: RequestId,
) -> Result<CallerCall, InvalidRelay> {
    let proof = read_proof(seal, &head.headers)?;
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let path = path.strip_prefix(RELAY_PREFIX).unwrap_or("");
    if proof.method != head.method.as_str() || proof.path != path || proof.body != body_hash(&body)
    {
        return Err(InvalidRelay("the request is not the one that was sealed"));
    }
    let remaining = Duration::from_millis(proof.remaining_ms);
    let headers = CallerHeaders {
        workspace: proof.workspace,
        tier: proof.tier,
        deadline: remaining,
        idempotent: proof.idempotent,
        ticket: None,
        attempt: proof.attempt,
    };
    let deadline = Deadline::after(&process.clock, remaining);
    Ok(CallerCall {
        arrival: Arrival { request, headers, deadline, relayed: true, memory: None },
        method: Method::from_bytes(proof.method.as_bytes())
            .map_err(|_| InvalidRelay("the method is not valid"))?,
        path: proof.path,
        headers: forwarded_headers(&head.headers),
        body,
        run_once: proof.run_once,
    })
}

fn read_proof(
    seal: &Guarded<MessageSigner>,
    headers: &HeaderMap,
) -> Result<RelayProof, InvalidRelay> {
    let text = headers.get(RELAY).ok_or(InvalidRelay("the request has no seal"))?;
    let bytes =
        STANDARD_NO_PAD.decode(text.as_bytes()).map_err(|_| InvalidRelay("the seal is damaged"))?;
    let message: SignedMessage =
        serde_json::from_slice(&bytes).map_err(|_| InvalidRelay("the seal is damaged"))?;
    seal.with(|seal| seal.verify(&message)).map_err(|_| InvalidRelay("the seal is not valid"))?;
    read_call(PeerMethod::Relay, &message.payload)
        .map_err(|_| InvalidRelay("the seal is for another message"))
}

fn body_hash(body: &[u8]) -> String {
    STANDARD_NO_PAD.encode(Sha256::digest(body))
}

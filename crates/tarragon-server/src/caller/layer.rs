//! Tower layer around the service for callers: gives each request an id and a tracing span, and sees to
//! it that every answer names its id and its outcome and is counted.

use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use http::Request;
use tarragon_protocol::{
    header::{ATTEMPT, OUTCOME, TIER},
    prelude::*,
};
use tower::{Layer, Service};
use tracing::Instrument;

use super::answer::{AnswerBody, CallerAnswer, request_tag, set_outcome, set_request_id};
use crate::process::ProcessContext;

/// Adds [`RequestContext`] to a service.
#[derive(Clone)]
pub struct ContextLayer {
    /// What all requests of the process share.
    pub process: Arc<ProcessContext>,
}

impl<S> Layer<S> for ContextLayer {
    type Service = RequestContext<S>;

    fn layer(&self, inner: S) -> RequestContext<S> {
        RequestContext { process: self.process.clone(), inner }
    }
}

/// The id of a request, as an extension of its message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AssignedId(pub RequestId);

/// A service whose requests have ids.
#[derive(Clone)]
pub struct RequestContext<S> {
    process: Arc<ProcessContext>,
    inner: S,
}

impl<S, B> Service<Request<B>> for RequestContext<S>
where
    S: Service<Request<B>, Response = CallerAnswer>,
    S::Future: Send + 'static,
{
    type Response = CallerAnswer;
    type Error = S::Error;
    type Future = Pin<Box<dyn Future<Output = Result<CallerAnswer, S::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, mut message: Request<B>) -> Self::Future {
        let process = self.process.clone();
        let request = process.ids.next();
        message.extensions_mut().insert(AssignedId(request));
        let text = |name| message.headers().get(name).and_then(|value| value.to_str().ok());
        let tier: Option<Tier> = text(TIER).and_then(|tier| tier.parse().ok());
        if text(ATTEMPT).is_some_and(|attempt| attempt != "1") {
            process.metrics.repeated_requests.inc();
        }
        let span = tracing::info_span!(
            "request",
            id = request_tag(request),
            tier = tier.map_or("none", Tier::name),
            method = %message.method(),
            path = message.uri().path(),
            attempt = text(ATTEMPT).unwrap_or("1"),
        );
        let answer = self.inner.call(message);
        let work = async move {
            let mut answer = answer.await?;
            set_request_id(&mut answer, request);
            if !answer.headers().contains_key(OUTCOME) {
                set_outcome(&mut answer, CallOutcome::Done);
            }
            count_answer(&process, tier, &answer);
            Ok(answer)
        };
        Box::pin(work.instrument(span))
    }
}

/// Counts an answer. A stream is counted at its end, by the task that fills it.
fn count_answer(process: &ProcessContext, tier: Option<Tier>, answer: &CallerAnswer) {
    if matches!(answer.body(), AnswerBody::Stream { .. }) {
        return;
    }
    let outcome = answer.headers().get(OUTCOME).and_then(|value| value.to_str().ok());
    let code = answer.extensions().get::<RefusalCode>().map(|code| code_name(*code));
    let code = code.unwrap_or_else(|| "none".to_owned());
    tracing::info!(status = answer.status().as_u16(), outcome, code, "answered");
    process.metrics.answered(tier, outcome.unwrap_or("none"), &code);
}

/// The name of a code as in the JSON error.
fn code_name(code: RefusalCode) -> String {
    match serde_json::to_value(code) {
        Ok(serde_json::Value::String(name)) => name,
        _ => "other".to_owned(),
    }
}

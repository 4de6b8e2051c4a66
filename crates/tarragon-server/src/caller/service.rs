//! Plain service calls: forwarded whole, answered whole.

use std::sync::Arc;

use http::{Response, StatusCode};
use tarragon_config::rules::{ServiceKind, ServiceRule};
use tarragon_protocol::{
    peer::{PlainAnswer, PlainCall},
    prelude::*,
};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use tracing::Instrument;

use super::{
    answer::{AnswerBody, CallerAnswer, refusal_answer, set_outcome},
    arrival::{Arrival, CallerCall},
    header::{CallerHeaders, apply_headers},
    prompt::plain_fingerprint,
    router::{SERVICE_PREFIX, ServeEnd},
};
use crate::{
    process::ProcessContext,
    request::{RequestDriver, RequestEnd},
    target::plain::PlainRunner,
};

/// A plain call on its way to a target.
pub struct PlainJob {
    /// What is known of the request since its arrival.
    pub arrival: Arrival,
    /// Service.
    pub service: ServiceName,
    /// Method, path below the service, headers and body.
    pub call: PlainCall,
    /// Whether the call must not be run twice.
    pub run_once: bool,
}

impl PlainJob {
    /// What the scheduler needs to know.
    pub fn profile(&self) -> RequestProfile {
        let headers = &self.arrival.headers;
        let call = &self.call;
        RequestProfile {
            parts: Vec::new(),
            request: self.arrival.request,
            workspace: headers.workspace.clone(),
            service: self.service.clone(),
            tier: headers.tier,
            deadline: self.arrival.deadline.instant.into_std(),
            idempotent: !self.run_once,
            fingerprint: plain_fingerprint(
                &headers.workspace,
                &self.service,
                &call.method,
                &call.path,
                &call.body,
            ),
            kind: CallKind::Plain,
            options: CallOptions::default(),
        }
    }
}

/// Whether a call must not be run twice: the stricter of the service's rule and the caller's word. A
/// ticket shows that the caller wants its call to run at most once, unless it says otherwise.
pub fn must_run_once(rule: Option<&ServiceRule>, headers: &CallerHeaders) -> bool {
    let by_rule = rule.is_none_or(|rule| !rule.idempotent);
    let by_caller = match headers.idempotent {
        Some(idempotent) => !idempotent,
        None => headers.ticket.is_some(),
    };
    by_rule || by_caller
}

/// Finds the service of a path such as `/services/NAME/PATH?QUERY`.
pub fn prepare_plain(process: &ProcessContext, call: &CallerCall) -> Result<PlainJob, Refusal> {
    let (service, path) = split_path(&call.path);
    let rules = process.rules();
    let rule = rules.services.get(service).filter(|rule| rule.kind == ServiceKind::Plain);
    let Some(rule) = rule else {
        let message = format!("the rules name no plain service {service}");
        return Err(Refusal::not_run(RefusalCode::UnknownService, message));
    };
    if !is_below(&path, rule.path.as_deref()) {
        let message = format!("the service {service} serves no such path");
        return Err(Refusal::not_run(RefusalCode::UnknownService, message));
    }
    Ok(PlainJob {
        arrival: call.arrival.clone(),
        service: service.into(),
        call: PlainCall {
            method: call.method.as_str().to_owned(),
            path,
            headers: call.headers.clone(),
            body: call.body.clone(),
        },
        run_once: must_run_once(Some(rule), &call.arrival.headers),
    })
}

/// Splits the path of a service call into the service and the rest, which starts with a slash.
fn split_path(path: &str) -> (&str, String) {
    let rest = path.strip_prefix(SERVICE_PREFIX).unwrap_or(path);
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    let slash = if path.starts_with('/') { "" } else { "/" };
    (service, format!("{slash}{path}"))
}

/// Whether a path lies below the prefix of a rule. With a prefix, a path that could leave it by dot
/// segments is refused.
fn is_below(path: &str, prefix: Option<&str>) -> bool {
    let Some(prefix) = prefix else { return true };
    let path = path.split('?').next().unwrap_or(path);
    let dotted = |segment: &str| {
        let plain = segment.to_ascii_lowercase().replace("%2e", ".");
        plain == "." || plain == ".."
    };
    let prefix = prefix.trim_end_matches('/');
    let rest = path.strip_prefix(prefix);
    let below = rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'));
    below && !path.split('/').any(dotted)
}

/// Runs a plain call. The work ends when the caller goes.
pub async fn serve_plain(process: &Arc<ProcessContext>, job: PlainJob) -> ServeEnd {
    let abandoned = CancellationToken::new();
    let guard = abandoned.clone().drop_guard();
    let (sender, end) = oneshot::channel();
    let task = run_plain(process.clone(), job, abandoned, sender);
    process.spawn(task.instrument(tracing::Span::current()));
    let end = end.await;
    drop(guard);
    match end {
        Ok(RequestEnd::Answered(answer)) => ServeEnd::Answered(plain_answer(answer)),
        Ok(RequestEnd::Refused(refusal)) => ServeEnd::Answered(refusal_answer(&refusal)),
        Ok(RequestEnd::Relay(peers)) => ServeEnd::Relay(peers),
        Ok(RequestEnd::Abandoned) | Err(_) => {
            let message = "the process ended before the answer";
            let refusal = Refusal::unknown(RefusalCode::ShuttingDown, message);
            ServeEnd::Answered(refusal_answer(&refusal))
        }
    }
}

async fn run_plain(
    process: Arc<ProcessContext>,
    job: PlainJob,
    abandoned: CancellationToken,
    sender: oneshot::Sender<RequestEnd<PlainAnswer>>,
) {
    let tier = job.arrival.headers.tier;
    let _in_flight = process.metrics.enter(tier);
    let deadline = job.arrival.deadline;
    let Some(decisions) = process.link.admit(job.profile(), job.arrival.relayed).await else {
        let message = "the process is shutting down";
        let refusal = Refusal::not_run(RefusalCode::ShuttingDown, message);
        let _ = sender.send(RequestEnd::Refused(refusal));
        return;
    };
    let driver = RequestDriver::new(&process.link, &job.arrival, abandoned, decisions);
    let idempotent = !job.run_once;
    let mut runner = PlainRunner { process: &process, call: &job.call, idempotent, deadline };
    let end = driver.run(&mut runner).await;
    if matches!(end, RequestEnd::Abandoned) {
        process.metrics.answered(Some(tier), "unknown", "caller_gone");
    }
    let _ = sender.send(end);
}

/// The answer of a plain service as it goes to the caller.
pub fn plain_answer(answer: PlainAnswer) -> CallerAnswer {
    let mut response = Response::new(AnswerBody::Whole(Some(answer.body)));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    apply_headers(response.headers_mut(), &answer.headers);
    set_outcome(&mut response, CallOutcome::Done);
    response
}

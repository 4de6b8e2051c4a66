//! The administration API, on an address of its own.

use std::{convert::Infallible, sync::Arc};

use anyhow::ensure;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde_json::json;
use sha2::{Digest, Sha256};
use tarragon_protocol::prelude::*;

use crate::{
    caller::{
        answer::{AnswerBody, CallerAnswer, error_answer, json_answer},
        router::ready_answer,
    },
    explain::read_query,
    process::ProcessContext,
    settings::ServeSettings,
};

/// Refuses settings that would open the administration API to everybody.
pub fn check_address(settings: &ServeSettings) -> anyhow::Result<()> {
    ensure!(
        settings.admin_key.is_some() || settings.admin_address.ip().is_loopback(),
        "admin_address {} is not a loopback address; set admin_key or use 127.0.0.1",
        settings.admin_address
    );
    Ok(())
}

/// Answers an operator's request.
pub async fn handle(
    process: Arc<ProcessContext>,
    message: Request<Incoming>,
) -> Result<CallerAnswer, Infallible> {
    let path = message.uri().path();
    match path {
        "/health/live" => return Ok(json(&json!({"live": true}))),
        "/health/ready" => return Ok(ready_answer(&process)),
        _ => {}
    }
    if !is_allowed(&process.settings, message.headers()) {
        return Ok(fault(StatusCode::UNAUTHORIZED, "send authorization: Bearer KEY"));
    }
    let query = message.uri().query().unwrap_or("");
    let answer = match (message.method(), path) {
        (&Method::GET, "/admin/dump") => dump(&process).await,
        (&Method::GET, "/admin/rules") => rules(&process),
        (&Method::GET, "/admin/explain") => explain(&process, query).await,
        (&Method::GET, "/admin/metrics") => metrics(&process).await,
        (&Method::POST, "/admin/drain") => {
            tracing::info!("an operator asked for a graceful shutdown");
            process.drain.cancel();
            json_answer(
                StatusCode::ACCEPTED,
                CallOutcome::Done,
                Bytes::from_static(b"{\"draining\":true}"),
            )
        }
        _ => fault(
            StatusCode::NOT_FOUND,
            "send GET /admin/dump, /admin/rules, /admin/explain, /admin/metrics or POST /admin/drain",
        ),
    };
    Ok(answer)
}

/// Compares hashes of the keys, so that the time shows nothing of the expected key.
fn is_allowed(settings: &ServeSettings, headers: &HeaderMap) -> bool {
    let Some(expected) = &settings.admin_key else { return true };
    let given = headers.get(header::AUTHORIZATION).map_or(&b""[..], HeaderValue::as_bytes);
    let Some(given) = given.strip_prefix(b"Bearer ") else { return false };
    let (expected, given) = (Sha256::digest(expected.expose()), Sha256::digest(given));
    expected.iter().zip(given.iter()).fold(0, |sum, (left, right)| sum | (left ^ right)) == 0
}

async fn dump(process: &ProcessContext) -> CallerAnswer {
    match process.link.dump().await {
        Some(dump) => json(&process_dump(process, dump)),
        None => fault(StatusCode::SERVICE_UNAVAILABLE, "the process is shutting down"),
    }
}

/// The node's dump with what the server adds.
pub fn process_dump(process: &ProcessContext, node: serde_json::Value) -> serde_json::Value {
    let view = process.view.borrow().clone();
    json!({
        "vm": process.settings.vm,
        "data_centre": process.settings.data_centre,
        "ready": view.ready,
        "draining": view.draining,
        "relay": view.relay.map(|relay| {
            relay.peers.iter().map(|peer| peer.vm.clone()).collect::<Vec<_>>()
        }),
        "tasks": process.tasks.len(),
        "node": node,
    })
}

fn rules(process: &ProcessContext) -> CallerAnswer {
    let rules = process.rules();
    json(&serde_json::to_value(&*rules).unwrap_or_default())
}

async fn explain(process: &ProcessContext, query: &str) -> CallerAnswer {
    match read_query(process, query) {
        Err(message) => fault(StatusCode::BAD_REQUEST, &message),
        Ok(profile) => match process.link.explain(profile).await {
            Some(explanation) => json(&explanation),
            None => fault(StatusCode::SERVICE_UNAVAILABLE, "the process is shutting down"),
        },
    }
}

async fn metrics(process: &ProcessContext) -> CallerAnswer {
    process.metrics.set_refused_versions(process.link.refused_versions().await);
    process.metrics.observe_memory(&process.memory);
    let text = match process.metrics.encode() {
        Ok(text) => text,
        Err(error) => return fault(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    };
    let mut answer = Response::new(AnswerBody::Whole(Some(text.into())));
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
    answer.headers_mut().insert(header::CONTENT_TYPE, content_type);
    answer
}

fn json(value: &serde_json::Value) -> CallerAnswer {
    json_answer(StatusCode::OK, CallOutcome::Done, value.to_string().into())
}

fn fault(status: StatusCode, message: &str) -> CallerAnswer {
    error_answer(status, &Refusal::not_run(RefusalCode::InvalidHeader, message), None)
}

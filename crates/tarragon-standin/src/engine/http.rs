//! HTTP interface of an engine stand-in.

use std::sync::Arc;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use tarragon_protocol::{
    engine::{ChatRequest, EngineOrder},
    prelude::*,
    prompt::render_prompt,
};
use tokio::time::{Instant, sleep};

use super::{EngineSubmission, answer::AnswerStream, handle::EngineShared, order::BlockExchange};
use crate::{
    listener::{CloseConnection, StandinBody, StandinService},
    respond::{empty_response, error_response, json_response, query_number, read_body},
};

/// Answers the requests of one engine.
#[derive(Debug)]
pub(super) struct EngineService {
    pub(super) shared: Arc<EngineShared>,
}

impl StandinService for EngineService {
    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<StandinBody>, CloseConnection> {
        let path = request.uri().path().to_owned();
        Ok(match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/chat/completions") => self.complete(request).await,
            (&Method::DELETE, path) => self.cancel(path),
            (&Method::GET, "/load") => self.load(),
            (&Method::GET, "/cache/events") => self.cache_events(&request),
            (&Method::POST, "/orders") => self.order(request).await,
            (&Method::POST, "/kv/export") => self.export(request).await,
            (&Method::POST, "/kv/import") => self.import(request).await,
            _ => not_found("there is no such path"),
        })
    }
}

impl EngineService {
    async fn complete(&self, request: Request<Incoming>) -> Response<StandinBody> {
        let Some(chat) = read_json::<ChatRequest>(request).await else { return bad_request() };
        let extension = chat.tarragon.unwrap_or_default();
        let submission = EngineSubmission {
            request_id: extension.request_id.clone(),
            model: Arc::from(chat.model.as_str()),
            prompt: render_prompt(&chat.messages),
            resume_from: extension.resume_from,
            delivered: extension.delivered,
            max_tokens: chat.max_tokens,
        };
        let events = {
            let mut batch = self.shared.batch();
            if !batch.holds(&chat.model) {
                drop(batch);
                return not_found("the model is not loaded");
            }
            batch.submit(submission, Instant::now().into_std())
        };
        self.shared.wake();
        let answer = AnswerStream {
            request_id: extension.request_id,
            model: chat.model,
            events,
            next_index: extension.resume_from,
        };
        if chat.stream { answer.streamed().await } else { answer.collected().await }
    }

    fn cancel(&self, path: &str) -> Response<StandinBody> {
        let Some(request_id) = path.strip_prefix("/v1/requests/") else {
            return not_found("there is no such path");
        };
        if self.shared.batch().cancel(request_id) {
            empty_response(StatusCode::NO_CONTENT)
        } else {
            not_found("there is no such request")
        }
    }

    fn load(&self) -> Response<StandinBody> {
        match self.shared.reports().lagging(Instant::now().into_std()) {
            Some(report) => json_response(StatusCode::OK, &report),
            None => error_response(StatusCode::SERVICE_UNAVAILABLE, "starting", "no report yet"),
        }
    }

    fn cache_events<B>(&self, request: &Request<B>) -> Response<StandinBody> {
        let after = query_number(request, "after").unwrap_or(0);
        let now = Instant::now().into_std();
        let events = self.shared.batch().cache.events_after(after, now);
        json_response(StatusCode::OK, &events)
    }

    async fn order(&self, request: Request<Incoming>) -> Response<StandinBody> {
        let Some(order) = read_json::<EngineOrder>(request).await else { return bad_request() };
        let now = Instant::now().into_std();
        let (answer, loading) = self.shared.batch().take_order(order, now);
        if let Some(model) = loading {
            self.load_model(model);
        }
        let status = if answer.taken { StatusCode::OK } else { StatusCode::CONFLICT };
        json_response(status, &answer)
    }

    fn load_model(&self, model: ModelName) {
        let shared = self.shared.clone();
        tokio::spawn(async move {
            let duration = shared.batch().settings().load_duration;
            tokio::select! {
                () = shared.stop.cancelled() => {}
                () = sleep(duration) => shared.batch().add_model(model),
            }
        });
    }

    async fn export(&self, request: Request<Incoming>) -> Response<StandinBody> {
        let Some(wanted) = read_json::<BlockExchange>(request).await else { return bad_request() };
        let held = self.shared.batch().export_blocks(&wanted);
        json_response(StatusCode::OK, &held)
    }

    async fn import(&self, request: Request<Incoming>) -> Response<StandinBody> {
        let Some(given) = read_json::<BlockExchange>(request).await else { return bad_request() };
        let held = self.shared.batch().import_blocks(&given, Instant::now().into_std());
        json_response(StatusCode::OK, &held)
    }
}

async fn read_json<T>(request: Request<Incoming>) -> Option<T>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(&read_body(request).await?).ok()
}

fn bad_request() -> Response<StandinBody> {
    error_response(StatusCode::BAD_REQUEST, "invalid_body", "the body has not the expected shape")
}

fn not_found(message: &str) -> Response<StandinBody> {
    error_response(StatusCode::NOT_FOUND, "not_found", message)
}

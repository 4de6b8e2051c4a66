//! Answers to generation requests, as one JSON body or as server-sent events.

use std::convert::Infallible;

use bytes::Bytes;
use futures::{Stream, stream};
use http::{Response, StatusCode};
use hyper::body::Frame;
use tarragon_protocol::engine::{ChatChunk, ChunkChoice, ChunkDelta, ChunkExtension};
use tokio::sync::mpsc::UnboundedReceiver;

use super::EngineEvent;
use crate::{
    listener::StandinBody,
    respond::{error_response, json_response, stream_response},
};

/// One answer that is being generated.
pub(super) struct AnswerStream {
    pub(super) request_id: String,
    pub(super) model: String,
    pub(super) events: UnboundedReceiver<EngineEvent>,
    /// Index of the token that comes next; each chunk names it.
    pub(super) next_index: u32,
}

impl AnswerStream {
    /// Waits for the first event, so that an early failure gets a status of its own, and then streams.
    pub(super) async fn streamed(mut self) -> Response<StandinBody> {
        match self.next().await {
            EngineEvent::Failed(message) => failure(&message),
            EngineEvent::Cancelled => cancelled(),
            first => stream_response(self.frames(first)),
        }
    }

    /// Collects the whole answer.
    pub(super) async fn collected(mut self) -> Response<StandinBody> {
        let mut content = String::new();
        let mut tokens = 0_u32;
        loop {
            match self.next().await {
                EngineEvent::Token { text, .. } => {
                    content.push_str(&text);
                    tokens += 1;
                }
                EngineEvent::Finished(reason) => return self.completion(&content, tokens, reason),
                EngineEvent::Failed(message) => return failure(&message),
                EngineEvent::Cancelled => return cancelled(),
            }
        }
    }

    /// The next event. After a crash there is none: the connection is reset instead of ending cleanly,
    /// so this waits for the reset.
    async fn next(&mut self) -> EngineEvent {
        match self.events.recv().await {
            Some(event) => event,
            None => std::future::pending().await,
        }
    }

    fn completion(&self, content: &str, tokens: u32, reason: &str) -> Response<StandinBody> {
        let body = serde_json::json!({
            "id": self.request_id,
            "object": "chat.completion",
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": content },
                "finish_reason": reason,
            }],
            "usage": { "completion_tokens": tokens },
        });
        json_response(StatusCode::OK, &body)
    }

    fn frames(
        self,
        first: EngineEvent,
    ) -> impl Stream<Item = Result<Frame<Bytes>, Infallible>> + Send + 'static {
        stream::unfold(Some((self, Some(first))), |state| async move {
            let (mut answer, first) = state?;
            let event = match first {
                Some(event) => event,
                None => answer.next().await,
            };
            if let EngineEvent::Token { index, .. } = &event {
                answer.next_index = index + 1;
            }
            let text = answer.event_text(&event);
            let more = matches!(event, EngineEvent::Token { .. });
            Some((Ok(Frame::data(Bytes::from(text))), more.then_some((answer, None))))
        })
    }

    fn event_text(&self, event: &EngineEvent) -> String {
        match event {
            EngineEvent::Token { index, text, prefill } => {
                let extension = self.extension(*index, 1, *prefill);
                data_line(&self.chunk(Some(text.clone()), None, Some(extension)))
            }
            EngineEvent::Finished(reason) => {
                let extension = self.extension(self.next_index, 0, None);
                let reason = Some((*reason).to_owned());
                let last = data_line(&self.chunk(None, reason, Some(extension)));
                format!("{last}data: [DONE]\n\n")
            }
            EngineEvent::Failed(message) => error_event("engine_failed", message),
            EngineEvent::Cancelled => error_event("cancelled", "the request was cancelled"),
        }
    }

    fn extension(&self, index: u32, tokens: u32, prefill: Option<(u32, u32)>) -> ChunkExtension {
        ChunkExtension {
            request_id: self.request_id.clone(),
            index,
            tokens,
            prefill_tokens: prefill.map(|(computed, _)| computed),
            cached_tokens: prefill.map(|(_, cached)| cached),
        }
    }

    fn chunk(
        &self,
        content: Option<String>,
        finish_reason: Option<String>,
        tarragon: Option<ChunkExtension>,
    ) -> ChatChunk {
        ChatChunk {
            id: self.request_id.clone(),
            object: "chat.completion.chunk".to_owned(),
            model: self.model.clone(),
            choices: vec![ChunkChoice { index: 0, delta: ChunkDelta { content }, finish_reason }],
            tarragon,
        }
    }
}

fn data_line(chunk: &ChatChunk) -> String {
    let json = serde_json::to_string(chunk).unwrap_or_default();
    format!("data: {json}\n\n")
}

fn error_event(code: &str, message: &str) -> String {
    let json = serde_json::json!({ "error": { "code": code, "message": message } });
    format!("event: error\ndata: {json}\n\n")
}

fn failure(message: &str) -> Response<StandinBody> {
    error_response(StatusCode::INTERNAL_SERVER_ERROR, "engine_failed", message)
}

fn cancelled() -> Response<StandinBody> {
    error_response(StatusCode::CONFLICT, "cancelled", "the request was cancelled")
}

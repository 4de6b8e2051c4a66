//! Takes the tokens of a chat answer: as server-sent events for the caller, or only collected for an
//! answer in one piece.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use serde::Serialize;
use serde_json::json;
use tarragon_protocol::prelude::*;
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};

use crate::{
    caller::{
        answer::{BodyPart, ErrorBody, stream_answer},
        chat::ServedChat,
    },
    metrics::StreamTimes,
};

/// Parts of a stream that wait for a slow caller.
const STREAM_PARTS: usize = 16;

/// Tokens to pass on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenText {
    /// Text.
    pub text: String,
    /// Tokens in it.
    pub tokens: u32,
    /// Why the answer ends here, if it does.
    pub finish: Option<String>,
    /// Whether these are the first tokens of the answer.
    pub first: bool,
}

/// The caller has gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerGone;

/// Takes tokens in two steps, so that a place is certain before a token counts as delivered.
pub trait TokenSink: Send + Sync {
    /// A place for one delivery.
    type Place<'a>: Send
    where
        Self: 'a;

    /// Waits until the caller can take more.
    fn reserve(&mut self) -> impl Future<Output = Result<Self::Place<'_>, CallerGone>> + Send;

    /// Passes tokens on.
    fn deliver(place: Self::Place<'_>, text: TokenText);
}

/// Sink of an answer that is sent in one piece.
#[derive(Debug, Default)]
pub struct WholeSink;

impl TokenSink for WholeSink {
    type Place<'a> = ();

    async fn reserve(&mut self) -> Result<(), CallerGone> {
        Ok(())
    }

    fn deliver(_place: (), _text: TokenText) {}
}

/// Sink of a streamed answer. The head goes out with the first tokens, so that a request that fails
/// before them still gets a status of its own.
pub struct EventSink {
    head: Option<oneshot::Sender<ServedChat>>,
    sender: mpsc::Sender<BodyPart>,
    receiver: Option<mpsc::Receiver<BodyPart>>,
    frame: ChunkFrame,
    times: StreamTimes,
}

/// What is the same in all chunks of an answer.
struct ChunkFrame {
    id: String,
    created: u64,
    model: ModelName,
}

#[derive(Serialize)]
struct CallerChunk<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [CallerChoice<'a>; 1],
}

#[derive(Serialize)]
struct CallerChoice<'a> {
    index: u32,
    delta: CallerDelta<'a>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct CallerDelta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

/// A place in an [`EventSink`].
pub struct EventPlace<'a> {
    permit: mpsc::OwnedPermit<BodyPart>,
    head: &'a mut Option<oneshot::Sender<ServedChat>>,
    receiver: &'a mut Option<mpsc::Receiver<BodyPart>>,
    frame: &'a ChunkFrame,
    times: &'a mut StreamTimes,
}

impl EventSink {
    /// A sink whose answer goes to `head`.
    pub fn new(
        head: oneshot::Sender<ServedChat>,
        id: String,
        created: u64,
        model: ModelName,
        times: StreamTimes,
    ) -> EventSink {
        let (sender, receiver) = mpsc::channel(STREAM_PARTS);
        let frame = ChunkFrame { id, created, model };
        EventSink { head: Some(head), sender, receiver: Some(receiver), frame, times }
    }

    /// Ends a stream that is complete. `limit` bounds the wait for a caller that reads nothing: its
    /// connection then breaks without the end mark. Tells whether the end was passed on.
    pub async fn finish(self, limit: Duration) -> bool {
        let done = Bytes::from_static(b"data: [DONE]\n\n");
        self.send_last(done, limit).await
    }

    /// Ends a stream that can't be completed, or gives the head back if nothing was sent.
    pub async fn fail(
        mut self,
        refusal: &Refusal,
        limit: Duration,
    ) -> Option<oneshot::Sender<ServedChat>> {
        if let Some(head) = self.head.take() {
            return Some(head);
        }
        let error = ErrorBody::new(refusal, None).to_bytes();
        let mut event = b"event: error\ndata: ".to_vec();
        event.extend_from_slice(&error);
        event.extend_from_slice(b"\n\n");
        self.send_last(event.into(), limit).await;
        None
    }

    async fn send_last(self, data: Bytes, limit: Duration) -> bool {
        let parts = async {
            self.sender.send(BodyPart::Data(data)).await?;
            self.sender.send(BodyPart::End).await
        };
        matches!(timeout(limit, parts).await, Ok(Ok(())))
    }

    /// Takes the head back, if nothing was sent.
    pub fn into_head(self) -> Option<oneshot::Sender<ServedChat>> {
        self.head
    }
}

impl TokenSink for EventSink {
    type Place<'a> = EventPlace<'a>;

    async fn reserve(&mut self) -> Result<EventPlace<'_>, CallerGone> {
        let permit = self.sender.clone().reserve_owned().await.map_err(|_| CallerGone)?;
        Ok(EventPlace {
            permit,
            head: &mut self.head,
            receiver: &mut self.receiver,
            frame: &self.frame,
            times: &mut self.times,
        })
    }

    fn deliver(place: EventPlace<'_>, text: TokenText) {
        place.times.tokens_sent(text.tokens);
        let bytes = place.frame.event(&text);
        place.permit.send(BodyPart::Data(bytes));
        if let (Some(head), Some(parts)) = (place.head.take(), place.receiver.take()) {
            // The caller's task has gone if this fails; its cancellation ends the request.
            let _ = head.send(ServedChat::Answered(stream_answer(parts)));
        }
    }
}

impl ChunkFrame {
    fn event(&self, text: &TokenText) -> Bytes {
        let content = (!text.text.is_empty()).then_some(text.text.as_str());
        let role = text.first.then_some("assistant");
        let finish_reason = text.finish.as_deref();
        let chunk = CallerChunk {
            id: &self.id,
            object: "chat.completion.chunk",
            created: self.created,
            model: &self.model,
            choices: [CallerChoice {
                index: 0,
                delta: CallerDelta { role, content },
                finish_reason,
            }],
        };
        let mut bytes = b"data: ".to_vec();
        // Writing these fields to memory can't fail.
        let _ = serde_json::to_writer(&mut bytes, &chunk);
        bytes.extend_from_slice(b"\n\n");
        bytes.into()
    }
}

/// Facts of a whole chat answer.
#[derive(Debug)]
pub struct WholeAnswer<'a> {
    /// Id of the answer.
    pub id: &'a str,
    /// Seconds since 1970.
    pub created: u64,
    /// Model.
    pub model: &'a str,
    /// Text.
    pub text: &'a str,
    /// Why the answer ended.
    pub finish: Option<&'a str>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub completion_tokens: u32,
}

impl WholeAnswer<'_> {
    /// The JSON body.
    pub fn to_bytes(&self) -> Bytes {
        let total_tokens = u64::from(self.prompt_tokens) + u64::from(self.completion_tokens);
        let body = json!({
            "id": self.id,
            "object": "chat.completion",
            "created": self.created,
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": self.text},
                "finish_reason": self.finish,
            }],
            "usage": {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": self.completion_tokens,
                "total_tokens": total_tokens,
            },
        });
        body.to_string().into()
    }
}

//! Reads the body of a target's answer whole.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};
use tokio::time::timeout;

use crate::{
    caller::body::{BodyBuffer, BodyRoom, ChargedBody},
    memory::{MemoryAccount, MemoryShare},
    target::metered::TargetBody,
};

/// Why a body is not whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerFault {
    /// The connection ended first, or the answer doesn't tell where it ends.
    CutShort,
    /// No part arrived in time.
    TooSlow,
    /// No part arrived for a while, and the request can be sent again.
    Silent,
    /// Larger than the limit.
    TooLarge,
    /// Answers that are read at once take up all room.
    NoRoom,
}

/// A part of a body, or the error that ends it.
pub type BodyFrame = Result<Frame<Bytes>, hyper::Error>;

/// A body that is read part by part.
pub trait FrameSource {
    /// Waits for the next part; `None` at the end.
    fn next_frame(&mut self)
    -> impl Future<Output = Result<Option<BodyFrame>, AnswerFault>> + Send;
}

/// A body for each of whose parts is waited this long.
struct TimedBody {
    body: TargetBody,
    idle: Duration,
}

impl FrameSource for TimedBody {
    async fn next_frame(&mut self) -> Result<Option<BodyFrame>, AnswerFault> {
        timeout(self.idle, self.body.frame()).await.map_err(|_| AnswerFault::TooSlow)
    }
}

/// Room for the bytes of all answers that are read whole, until their callers have taken them. A target may send bytes
/// without end to each of its callers.
#[derive(Debug, Clone)]
pub struct AnswerRoom {
    account: MemoryAccount,
}

impl AnswerRoom {
    /// Room in the answers' shares of an account.
    pub fn new(account: MemoryAccount) -> AnswerRoom {
        AnswerRoom { account }
    }

    /// Reads a body like [`collect_body`], as long as there is room.
    pub async fn collect(
        &self,
        body: TargetBody,
        limit: usize,
        idle: Duration,
    ) -> Result<Bytes, AnswerFault> {
        let announced = body.size_hint().exact();
        let limits = AnswerLimits { bytes: limit, wait: idle };
        self.collect_from(TimedBody { body, idle }, announced, limits).await
    }

    /// Reads a body like [`read_whole`], as long as there is room.
    pub async fn read_whole(
        &self,
        method: &Method,
        response: Response<TargetBody>,
        limits: AnswerLimits,
        idle: Duration,
    ) -> Result<Bytes, AnswerFault> {
        if !tells_its_end(method, response.status(), response.headers()) {
            return Err(AnswerFault::CutShort);
        }
        let body = response.into_body();
        let announced = body.size_hint().exact();
        self.collect_from(TimedBody { body, idle }, announced, limits).await
    }

    /// Reads a body to its end, as long as there is room. The memory is charged until the last copy of the bytes is
    /// dropped. An announced length is charged at once, so that answers that are read in part don't wait for each
    /// other; other answers don't wait for room.
    pub async fn collect_from<S>(
        &self,
        mut source: S,
        announced: Option<u64>,
        limits: AnswerLimits,
    ) -> Result<Bytes, AnswerFault>
    where
        S: FrameSource,
    {
        if announced.is_some_and(|bytes| bytes > limits.bytes as u64) {
            return Err(AnswerFault::TooLarge);
        }
        let room = BodyRoom {
            account: &self.account,
            share: MemoryShare::Answers,
            small_share: MemoryShare::SmallAnswers,
            wait: announced.map_or(Duration::ZERO, |_| limits.wait),
        };
        let no_room = |_| AnswerFault::NoRoom;
        let mut buffer = match announced {
            Some(bytes) => BodyBuffer::announced(bytes as usize, room).await,
            None => BodyBuffer::growing(limits.bytes, room).await,
        }
        .map_err(no_room)?;
        loop {
            let Some(frame) = source.next_frame().await? else {
                let ChargedBody { bytes, charge } = buffer.finish();
                return Ok(charge.attach(bytes));
            };
            let Ok(data) = frame.map_err(|_| AnswerFault::CutShort)?.into_data() else { continue };
            if buffer.len() + data.len() > limits.bytes {
                return Err(AnswerFault::TooLarge);
            }
            buffer.append(&data, room).await.map_err(no_room)?;
        }
    }
}

/// Bounds of an answer that is read whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerLimits {
    /// Largest answer, in bytes.
    pub bytes: usize,
    /// Longest wait for room, during which nothing is read.
    pub wait: Duration,
}

/// Reads a whole body. `idle` bounds the wait for each part.
pub async fn read_whole(
    method: &Method,
    response: Response<TargetBody>,
    limit: usize,
    idle: Duration,
) -> Result<Bytes, AnswerFault> {
    if !tells_its_end(method, response.status(), response.headers()) {
        return Err(AnswerFault::CutShort);
    }
    collect_body(response.into_body(), limit, idle).await
}

/// Reads a body up to its end, which may also be that of the connection if nothing else tells it. A
/// connection that is reset has not ended the body.
pub async fn collect_body(
    body: TargetBody,
    limit: usize,
    idle: Duration,
) -> Result<Bytes, AnswerFault> {
    let mut source = TimedBody { body, idle };
    let mut whole = Vec::new();
    loop {
        let Some(frame) = source.next_frame().await? else { return Ok(Bytes::from(whole)) };
        let Ok(data) = frame.map_err(|_| AnswerFault::CutShort)?.into_data() else { continue };
        if whole.len() + data.len() > limit {
            return Err(AnswerFault::TooLarge);
        }
        whole.extend_from_slice(&data);
    }
}

/// Whether the end of the body can be told from a broken connection: by a length or by chunks. A body
/// that ends with its connection could be a part of an answer.
fn tells_its_end(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    let bodiless = *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    bodiless
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

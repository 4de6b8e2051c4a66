//! Reads the body of a target's answer whole.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::time::timeout;

use crate::{
    memory::{MemoryAccount, MemoryCharge, MemoryShare},
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

/// Room for the bytes of all answers that are read whole at once. A target may send bytes without end to each of its
/// callers.
#[derive(Debug, Clone)]
pub struct AnswerRoom {
    account: MemoryAccount,
}

impl AnswerRoom {
    /// Room in the answers' share of an account.
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
        self.collect_from(TimedBody { body, idle }, limit).await
    }

    /// Reads a body to its end, as long as there is room.
    pub async fn collect_from<S>(&self, source: S, limit: usize) -> Result<Bytes, AnswerFault>
    where
        S: FrameSource,
    {
        let mut held: Option<MemoryCharge> = None;
        let take = |bytes: usize| {
            let fits = match &mut held {
                Some(held) => held.try_grow(bytes),
                None => {
                    held = self.account.try_charge(MemoryShare::Answers, bytes);
                    held.is_some()
                }
            };
            if fits { Ok(()) } else { Err(AnswerFault::NoRoom) }
        };
        collect_parts(source, limit, take).await
    }
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
    collect_parts(TimedBody { body, idle }, limit, |_| Ok(())).await
}

/// Smallest buffer of an answer, in bytes.
const MIN_BUFFER_BYTES: usize = 4 << 10;

/// Reads a body. `take` is asked for the room of the buffer, which grows in doubling steps.
async fn collect_parts<S, F>(mut source: S, limit: usize, mut take: F) -> Result<Bytes, AnswerFault>
where
    S: FrameSource,
    F: FnMut(usize) -> Result<(), AnswerFault>,
{
    let mut whole = Vec::new();
    loop {
        let Some(frame) = source.next_frame().await? else { return Ok(Bytes::from(whole)) };
        let Ok(data) = frame.map_err(|_| AnswerFault::CutShort)?.into_data() else { continue };
        if whole.len() + data.len() > limit {
            return Err(AnswerFault::TooLarge);
        }
        let (needed, capacity) = (whole.len() + data.len(), whole.capacity());
        if needed > capacity {
            let larger = (2 * capacity).max(MIN_BUFFER_BYTES).min(limit).max(needed);
            take(larger - capacity)?;
            whole.reserve_exact(larger - whole.len());
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

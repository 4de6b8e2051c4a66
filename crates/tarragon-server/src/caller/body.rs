//! Reads a caller's body whole, with a bound on its size and on the time between its parts.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::timeout;

/// Bounds for bodies of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyLimits {
    /// Largest body, in bytes.
    pub bytes: usize,
    /// Longest wait for the next part.
    pub part: Duration,
    /// Longest time for the whole body, so that a sender of one byte at a time can't hold a task.
    pub whole: Duration,
}

/// Why a body can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFault {
    /// Larger than the limit.
    TooLarge,
    /// The connection ended first.
    CutShort,
    /// Its parts came too slowly.
    TooSlow,
}

impl BodyFault {
    /// HTTP status of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            BodyFault::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            BodyFault::CutShort => StatusCode::BAD_REQUEST,
            BodyFault::TooSlow => StatusCode::REQUEST_TIMEOUT,
        }
    }

    /// Text of the answer.
    pub fn message(self) -> &'static str {
        match self {
            BodyFault::TooLarge => "the body is larger than this VM accepts; send a smaller one",
            BodyFault::CutShort => "the body ended before its stated length; send it whole",
            BodyFault::TooSlow => "the body did not arrive in time; send it without pauses",
        }
    }
}

/// Reads the whole body.
pub async fn read_body<B>(body: B, limits: BodyLimits) -> Result<Bytes, BodyFault>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut whole = BytesMut::new();
    read_parts(body, limits, |data| whole.extend_from_slice(&data)).await?;
    Ok(whole.freeze())
}

/// Reads the whole body without keeping it, before a request is refused for its head. A connection that is closed
/// while its caller is still sending is reset, and the answer is lost.
pub async fn discard_body<B>(body: B, limits: BodyLimits) -> Result<(), BodyFault>
where
    B: Body<Data = Bytes> + Unpin,
{
    read_parts(body, limits, drop).await
}

async fn read_parts<B, K>(body: B, limits: BodyLimits, keep: K) -> Result<(), BodyFault>
where
    B: Body<Data = Bytes> + Unpin,
    K: FnMut(Bytes),
{
    let announced = body.size_hint().lower();
    if announced > limits.bytes as u64 {
        return Err(BodyFault::TooLarge);
    }
    timeout(limits.whole, pass_parts(body, limits, keep)).await.unwrap_or(Err(BodyFault::TooSlow))
}

async fn pass_parts<B, K>(mut body: B, limits: BodyLimits, mut keep: K) -> Result<(), BodyFault>
where
    B: Body<Data = Bytes> + Unpin,
    K: FnMut(Bytes),
{
    let mut length = 0;
    loop {
        let frame = timeout(limits.part, body.frame()).await.map_err(|_| BodyFault::TooSlow)?;
        let Some(frame) = frame else { return Ok(()) };
        let Ok(data) = frame.map_err(|_| BodyFault::CutShort)?.into_data() else { continue };
        length += data.len();
        if length > limits.bytes {
            return Err(BodyFault::TooLarge);
        }
        keep(data);
    }
}

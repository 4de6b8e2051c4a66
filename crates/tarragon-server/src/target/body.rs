//! Reads the body of a target's answer whole.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

/// Why a body is not whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerFault {
    /// The connection ended first, or the answer doesn't tell where it ends.
    CutShort,
    /// No part arrived in time.
    TooSlow,
    /// Larger than the limit.
    TooLarge,
}

/// Reads a whole body. `idle` bounds the wait for each part.
pub async fn read_whole(
    method: &Method,
    response: Response<Incoming>,
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
    mut body: Incoming,
    limit: usize,
    idle: Duration,
) -> Result<Bytes, AnswerFault> {
    let mut whole = BytesMut::new();
    loop {
        let frame = timeout(idle, body.frame()).await.map_err(|_| AnswerFault::TooSlow)?;
        let Some(frame) = frame else { return Ok(whole.freeze()) };
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

//! Answers and bodies that all stand-ins use.

use std::{
    convert::Infallible,
    net::{Ipv4Addr, SocketAddr},
};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::Serialize;

use crate::listener::StandinBody;

/// Largest body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// A loopback address with a free port.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

pub(crate) fn json_response<T>(status: StatusCode, value: &T) -> Response<StandinBody>
where
    T: Serialize + ?Sized,
{
    match serde_json::to_vec(value) {
        Ok(body) => bytes_response(status, "application/json", Bytes::from(body)),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// An error in the shape that model engines commonly use.
pub(crate) fn error_response(
    status: StatusCode,
    code: &str,
    message: &str,
) -> Response<StandinBody> {
    let body = serde_json::json!({ "error": { "code": code, "message": message } });
    json_response(status, &body)
}

pub(crate) fn text_response(status: StatusCode, text: &str) -> Response<StandinBody> {
    bytes_response(status, "text/plain", Bytes::copy_from_slice(text.as_bytes()))
}

pub(crate) fn empty_response(status: StatusCode) -> Response<StandinBody> {
    bytes_response(status, "text/plain", Bytes::new())
}

/// An answer that is sent piece by piece.
pub(crate) fn stream_response<S>(stream: S) -> Response<StandinBody>
where
    S: futures::Stream<Item = Result<Frame<Bytes>, Infallible>> + Send + 'static,
{
    let mut response = Response::new(StreamBody::new(stream).boxed_unsync());
    let content_type = http::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

fn bytes_response(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<StandinBody> {
    let mut response = Response::new(Full::new(body).boxed_unsync());
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, http::HeaderValue::from_static(content_type));
    response
}

/// The whole body, or `None` if it is cut short or too large.
pub(crate) async fn read_body(request: Request<Incoming>) -> Option<Bytes> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await.ok()?;
    Some(body.to_bytes())
}

/// A number from the query, such as `after=12`.
pub(crate) fn query_number<B>(request: &Request<B>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then(|| value.parse().ok()).flatten()
    })
}

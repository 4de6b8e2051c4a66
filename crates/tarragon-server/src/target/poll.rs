//! Calls that a process makes to targets for itself: load polls, orders and cancellations.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use serde::de::DeserializeOwned;
use tarragon_protocol::{
    engine::{CacheEvent, EngineOrder},
    prelude::*,
};
use tokio::time::timeout;

use super::{
    body::read_whole,
    pool::{CallBody, ConnectionPool},
};

/// Longest time for a poll. Figures that come later are of no use, since polls repeat each second.
const POLL_LIMIT: Duration = Duration::from_millis(900);
/// Longest time for an order to be taken.
const ORDER_LIMIT: Duration = Duration::from_secs(5);
/// Longest time for a cancellation. Closing the connection cancels too.
const CANCEL_LIMIT: Duration = Duration::from_secs(1);
/// Largest answer that is read, in bytes.
const MAX_ANSWER: usize = 4 << 20;

/// Asks a target for its load.
pub async fn poll_load(pool: &ConnectionPool, address: &str) -> Option<LoadReport> {
    get_json(pool, address, "/load").await
}

/// Asks an engine for its cache events after a number.
pub async fn poll_cache(
    pool: &ConnectionPool,
    address: &str,
    after: u64,
) -> Option<Vec<CacheEvent>> {
    get_json(pool, address, &format!("/cache/events?after={after}")).await
}

/// Gives an order to an engine and tells whether it was taken.
pub async fn send_order(pool: &ConnectionPool, address: &str, order: &EngineOrder) -> bool {
    let Ok(body) = serde_json::to_vec(order) else { return false };
    let answer = call(pool, address, Method::POST, "/orders", Bytes::from(body));
    let status = timeout(ORDER_LIMIT, answer).await.ok().flatten().map(|(status, _)| status);
    status.is_some_and(|status| status.is_success())
}

/// Tells an engine that an attempt is no longer wanted.
pub async fn cancel_request(pool: &ConnectionPool, address: &str, attempt: &str) {
    let path = format!("/v1/requests/{attempt}");
    let answer = call(pool, address, Method::DELETE, &path, Bytes::new());
    if timeout(CANCEL_LIMIT, answer).await.is_err() {
        tracing::debug!(address, attempt, "the target did not confirm a cancellation in time");
    }
}

async fn get_json<T>(pool: &ConnectionPool, address: &str, path: &str) -> Option<T>
where
    T: DeserializeOwned,
{
    let answer = call(pool, address, Method::GET, path, Bytes::new());
    let (status, body) = timeout(POLL_LIMIT, answer).await.ok().flatten()?;
    if status != StatusCode::OK {
        return None;
    }
    let parsed = serde_json::from_slice(&body);
    parsed.inspect_err(|error| tracing::warn!(address, path, %error, "unreadable report")).ok()
}

async fn call(
    pool: &ConnectionPool,
    address: &str,
    method: Method,
    path: &str,
    body: Bytes,
) -> Option<(StatusCode, Bytes)> {
    let request = Request::builder()
        .method(method.clone())
        .uri(path)
        .header(header::HOST, address)
        .header(header::CONTENT_TYPE, "application/json")
        .body(CallBody::new(body))
        .ok()?;
    let mut connection = pool.checkout(address, ORDER_LIMIT).await.ok()?;
    let response = connection.send(request, ORDER_LIMIT).await.ok()?;
    let status = response.status();
    let body = read_whole(&method, response, MAX_ANSWER, ORDER_LIMIT).await.ok()?;
    pool.give_back(address, connection);
    Some((status, body))
}

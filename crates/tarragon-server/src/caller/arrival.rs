//! What is known of a caller's request once its headers, or all of it, have been read.

use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use tarragon_protocol::prelude::*;

use super::header::CallerHeaders;
use crate::{memory::MemoryCharge, process::Deadline};

/// A request that has arrived.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Id.
    pub request: RequestId,
    /// Headers.
    pub headers: CallerHeaders,
    /// After this time the caller has no use for the answer.
    pub deadline: Deadline,
    /// Whether another entry VM passed the request on, so that it must not be passed on again.
    pub relayed: bool,
    /// Memory of its head and its tasks; absent for requests of this process and of peers.
    pub memory: Option<Arc<MemoryCharge>>,
}

/// A whole request.
#[derive(Debug, Clone)]
pub struct CallerCall {
    /// What its headers say.
    pub arrival: Arrival,
    /// HTTP method.
    pub method: Method,
    /// Path with query, as the caller sent it.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
    /// Whether the owner of a ticket relays the call, so that it is run at most once and needs no ticket
    /// of this process.
    pub run_once: bool,
}

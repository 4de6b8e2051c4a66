//! Forwards raw HTTP calls between callers and targets. The fleet's node decides where a call goes; this
//! crate does the I/O. The platform's headers, status codes and store are behind the traits of [`platform`].

pub mod caller;
pub mod connection;
pub mod connections;
pub mod context;
pub mod events;
pub mod evidence;
pub mod explain;
pub mod forward;
pub mod lending;
pub mod listener;
pub mod metrics;
pub mod origins;
pub mod peers;
pub mod platform;
pub mod reader;
pub mod relay;
pub mod serve;
pub mod shared_node;
pub mod shutdown;

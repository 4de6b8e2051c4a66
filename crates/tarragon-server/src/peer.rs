//! Calls between entry VMs: JSON-RPC in sealed envelopes, and the relay of whole requests over HTTP.

pub mod client;
pub mod entry;
pub mod envelope;
pub mod relay;
pub mod server;

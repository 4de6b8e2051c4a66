//! Calls to targets: model engines and instances of plain services.

pub mod body;
pub mod engine;
pub mod event_stream;
pub mod metered;
pub mod plain;
pub mod poll;
pub mod pool;
pub mod position;
pub mod timeouts;

/// Largest status of HTTP. The HTTP library takes three-digit ones up to 999.
pub const MAX_STATUS: u16 = 599;

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

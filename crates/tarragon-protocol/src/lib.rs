//! Types shared by every crate: ids, requests, outcomes, load reports, platform values and peer
//! messages. Nothing here does I/O.

pub mod engine;
pub mod finding;
pub mod header;
pub mod identity;
pub mod load;
pub mod outcome;
pub mod peer;
pub mod platform;
pub mod prelude;
pub mod prompt;
pub mod request;
pub mod tier;

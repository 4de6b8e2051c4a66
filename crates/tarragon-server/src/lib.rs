//! The entry VM's process: HTTP for callers and targets, calls between entry VMs, reads of the platform,
//! administration and graceful shutdown. All decisions are taken by `tarragon_node::Node`.

pub mod admin;
pub mod caller;
pub mod clock;
pub mod explain;
pub mod guarded;
pub mod memory;
pub mod metrics;
pub mod node_task;
pub mod peer;
pub mod platform;
pub mod process;
pub mod request;
pub mod serve;
pub mod settings;
pub mod shutdown;
pub mod target;
pub mod ticket;
pub mod token_sink;

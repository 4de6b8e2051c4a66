//! The decision logic of one process: scheduler, cluster and tickets, composed into one state machine
//! without I/O. The server and the randomised runs drive the same code.

pub mod event;
pub mod node;
pub mod prelude;

pub use node::Node;

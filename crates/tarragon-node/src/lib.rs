//! The decision logic of one process: a state machine without I/O that combines scheduler, cluster and
//! tickets. The server and the randomised simulations run the same code.

pub mod event;
pub mod node;
pub mod prelude;

pub use node::Node;

//! Decisions between the arrival of a request and its dispatch, as a state machine without I/O: it
//! takes events and the time and returns actions, so that tests, randomised runs, benchmarks and the
//! server drive the same code.

pub mod event;
pub mod prelude;
pub mod scheduler;

pub use scheduler::Scheduler;

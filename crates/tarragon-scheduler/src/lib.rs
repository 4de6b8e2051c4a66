//! Scheduling of requests from their arrival to their end, as a state machine without I/O: it takes events
//! and the current time and returns actions, so that tests, randomised runs, benchmarks and the server drive
//! the same code.

pub mod admission;
pub mod choose;
pub mod cost;
pub mod event;
mod forecast;
mod hash;
mod inflight;
pub mod invariant;
mod job;
pub mod placement;
pub mod policy;
pub mod prelude;
mod pressure;
mod queue;
pub mod retry;
mod returns;
pub mod scheduler;
mod share;
pub mod statistics;
mod suspect;
pub mod targets;

pub use scheduler::Scheduler;

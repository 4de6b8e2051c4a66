//! Load generator, randomised runs, scenarios and experiments.

pub mod engine;
pub mod experiment;
pub mod load;
pub mod scenario;
pub mod soak;
pub mod workload;

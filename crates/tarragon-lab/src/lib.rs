//! Load generator, randomised runs, scenarios and experiments.

pub mod engine;
pub mod load;
pub mod workload;

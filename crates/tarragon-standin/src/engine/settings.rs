//! How an engine stand-in behaves.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tarragon_protocol::prelude::*;

use super::PrefillLedger;
use crate::respond::any_port;

/// Speed of one hardware generation.
#[derive(Debug, Clone, PartialEq)]
pub struct HardwareProfile {
    /// Name of the generation.
    pub name: String,
    /// Prompt tokens computed in a second.
    pub prefill_rate: f64,
    /// Most prompt tokens computed in one step.
    pub prefill_chunk: u32,
    /// Time of a step that decodes nothing.
    pub step_base: Duration,
    /// Time that each decoding sequence adds to a step.
    pub step_per_sequence: Duration,
    /// Sequences that are decoded together; others wait inside the engine.
    pub max_batch: u32,
}

impl HardwareProfile {
    /// The older generation: 33 ms between tokens at a full batch of 16.
    pub fn first_generation() -> HardwareProfile {
        HardwareProfile {
            name: "gen-1".to_owned(),
            prefill_rate: 6_000.0,
            prefill_chunk: 512,
            step_base: Duration::from_millis(18),
            step_per_sequence: Duration::from_micros(900),
            max_batch: 16,
        }
    }

    /// The newer generation: about twice as fast, with larger batches.
    pub fn second_generation() -> HardwareProfile {
        HardwareProfile {
            name: "gen-2".to_owned(),
            prefill_rate: 14_000.0,
            prefill_chunk: 1024,
            step_base: Duration::from_millis(9),
            step_per_sequence: Duration::from_micros(400),
            max_batch: 32,
        }
    }

    /// The same profile, `factor` times as fast.
    pub fn scaled(mut self, factor: f64) -> HardwareProfile {
        self.prefill_rate *= factor;
        self.step_base = self.step_base.div_f64(factor);
        self.step_per_sequence = self.step_per_sequence.div_f64(factor);
        self
    }
}

/// Settings of one engine stand-in.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Name, for logs.
    pub name: TargetName,
    /// Address to listen on.
    pub bind: SocketAddr,
    /// Speed.
    pub hardware: HardwareProfile,
    /// Concurrent requests that it reports to bear when warm.
    pub warm_bears: u32,
    /// Concurrent requests that it bears when cold. More make it collapse.
    pub cold_bears: u32,
    /// Time from a cold start until it is warm. Overload starts it again.
    pub cold_duration: Duration,
    /// Time without any output after an overload while cold.
    pub collapse_duration: Duration,
    /// Whether it starts cold.
    pub start_cold: bool,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Age of the figures in load reports.
    pub report_lag: Duration,
    /// Time until a cache event can be read.
    pub event_lag: Duration,
    /// Every so many cache events one is lost; 0 for none.
    pub event_gap: u64,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Models that it holds at start.
    pub models: Vec<ModelName>,
    /// Time to load a model.
    pub load_duration: Duration,
    /// Time from a crash until connections are accepted again.
    pub restart_delay: Duration,
    /// A prompt that contains this text crashes the engine.
    pub crash_text: Option<String>,
    /// Whether the runs of each request are counted. They take memory for each request id.
    pub count_runs: bool,
    /// Blocks computed by all engines of a test, to count repeated prefill.
    pub ledger: Option<Arc<PrefillLedger>>,
}

impl EngineSettings {
    /// A warm engine that holds one model.
    pub fn new(name: &str, hardware: HardwareProfile, model: &str) -> EngineSettings {
        EngineSettings {
            name: Arc::from(name),
            bind: any_port(),
            warm_bears: hardware.max_batch,
            hardware,
            cold_bears: 2,
            cold_duration: Duration::from_secs(10),
            collapse_duration: Duration::from_secs(3),
            start_cold: false,
            cache_blocks: 2048,
            report_lag: Duration::from_millis(500),
            event_lag: Duration::from_millis(200),
            event_gap: 0,
            checks_fencing: true,
            models: vec![Arc::from(model)],
            load_duration: Duration::from_secs(2),
            restart_delay: Duration::from_millis(500),
            crash_text: None,
            count_runs: true,
            ledger: None,
        }
    }
}

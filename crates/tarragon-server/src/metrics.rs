//! Metrics of a process, in the prometheus format.

use std::time::Duration;

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};
use tarragon_protocol::prelude::*;
use tarragon_scheduler::statistics::SchedulerStatistics;
use tokio::time::Instant;

use crate::memory::{MemoryAccount, MemoryShare};

/// Bounds of the buckets for the time to the first token, in seconds. 0.33 s is the target.
const FIRST_TOKEN_BUCKETS: [f64; 12] =
    [0.02, 0.05, 0.1, 0.2, 0.33, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0];
/// Bounds of the buckets for the time between tokens, in seconds. 46 ms is the target.
const TOKEN_GAP_BUCKETS: [f64; 9] = [0.005, 0.01, 0.02, 0.046, 0.1, 0.2, 0.5, 1.0, 5.0];

/// All metrics of one process. Each process has a registry of its own, so that several can run in one
/// program.
#[derive(Clone)]
pub struct ServerMetrics {
    registry: Registry,
    requests: IntCounterVec,
    first_token: HistogramVec,
    token_gap: HistogramVec,
    in_flight: IntGaugeVec,
    waiting: IntGaugeVec,
    invariant_violations: IntCounterVec,
    peer_bytes: IntCounterVec,
    /// Prompt tokens that were computed for answers that were not delivered whole.
    pub wasted_prefill: IntCounter,
    /// Attempts that follow a failure.
    pub retries: IntCounter,
    /// Streams cancelled in favour of urgent work.
    pub preemptions: IntCounter,
    /// Chunks that belonged to another request.
    pub foreign_chunks: IntCounter,
    /// Version of the configuration in force.
    pub configuration_version: IntGauge,
    /// Configurations that were refused because they were older.
    pub refused_versions: IntCounter,
    /// Configurations that were refused because they were not valid.
    pub refused_configurations: IntCounter,
    /// Open connections of callers.
    pub connections: IntGauge,
    /// Open connections of other entry VMs.
    pub peer_connections: IntGauge,
    /// Open connections of operators.
    pub admin_connections: IntGauge,
    /// Connections that were closed at once because too many were open.
    pub refused_connections: IntCounter,
    memory_bytes: IntGaugeVec,
    memory_refusals: IntCounterVec,
    given_up_transfers: IntGauge,
    /// Requests with an attempt number above 1.
    pub repeated_requests: IntCounter,
    /// Time that the node's task needs for one command.
    pub decision_time: Histogram,
}

/// Label for the direction of bytes between peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerDirection {
    /// Sent to peers.
    Sent,
    /// Received from peers.
    Received,
}

impl ServerMetrics {
    /// Metrics that start at zero.
    pub fn new() -> anyhow::Result<ServerMetrics> {
        let registry = Registry::new();
        let metrics = ServerMetrics {
            requests: counters(
                "requests_total",
                "Answered requests",
                &["tier", "outcome", "code"],
            )?,
            first_token: histograms(
                "first_token_seconds",
                "Time from arrival to the first token",
                &FIRST_TOKEN_BUCKETS,
            )?,
            token_gap: histograms(
                "token_gap_seconds",
                "Time between two tokens of a stream",
                &TOKEN_GAP_BUCKETS,
            )?,
            in_flight: gauges(
                "in_flight",
                "Requests that have arrived and are not answered",
                &["tier"],
            )?,
            waiting: gauges("waiting", "Requests that wait for a target", &["tier"])?,
            invariant_violations: counters(
                "invariant_violations_total",
                "Violations of the named invariants",
                &["invariant"],
            )?,
            peer_bytes: counters(
                "peer_bytes_total",
                "Bytes of control messages between entry VMs",
                &["direction"],
            )?,
            wasted_prefill: counter(
                "wasted_prefill_tokens_total",
                "Prompt tokens computed for answers that were not delivered",
            )?,
            retries: counter("retries_total", "Attempts that follow a failure")?,
            preemptions: counter(
                "preemptions_total",
                "Streams cancelled in favour of urgent work",
            )?,
            foreign_chunks: counter("foreign_chunks_total", "Chunks of another request")?,
            configuration_version: gauge(
                "configuration_version",
                "Version of the configuration in force",
            )?,
            refused_versions: counter("refused_versions_total", "Refused older configurations")?,
            refused_configurations: counter(
                "refused_configurations_total",
                "Refused configurations that were not valid",
            )?,
            connections: gauge("connections", "Open connections of callers")?,
            peer_connections: gauge("peer_connections", "Open connections of other entry VMs")?,
            admin_connections: gauge("admin_connections", "Open connections of operators")?,
            refused_connections: counter(
                "connections_refused_total",
                "Connections that were closed at once because too many were open",
            )?,
            memory_bytes: gauges("memory_bytes", "Bytes that are charged, by share", &["share"])?,
            memory_refusals: counters(
                "memory_refusals_total",
                "Requests that were refused because there was no memory for them",
                &["share"],
            )?,
            given_up_transfers: gauge(
                "given_up_transfers",
                "Slow bodies that were given up for others since the start",
            )?,
            repeated_requests: counter(
                "repeated_requests_total",
                "Requests with an attempt number above 1",
            )?,
            decision_time: Histogram::with_opts(
                HistogramOpts::new(name("decision_seconds"), "Time for one command of the node")
                    .buckets(vec![0.000_005, 0.000_02, 0.000_1, 0.000_5, 0.002, 0.01, 0.1]),
            )?,
            registry,
        };
        metrics.register()?;
        Ok(metrics)
    }

    /// Counts a request for which there was no memory.
    pub fn memory_refused(&self, share: MemoryShare) {
        self.memory_refusals.with_label_values(&[share.name()]).inc();
    }

    /// Takes what an account holds.
    pub fn observe_memory(&self, memory: &MemoryAccount) {
        for share in MemoryShare::ALL {
            let used = i64::try_from(memory.used(share)).unwrap_or(i64::MAX);
            self.memory_bytes.with_label_values(&[share.name()]).set(used);
        }
        let given_up = i64::try_from(memory.given_up_transfers()).unwrap_or(i64::MAX);
        self.given_up_transfers.set(given_up);
    }

    fn register(&self) -> anyhow::Result<()> {
        let registry = &self.registry;
        registry.register(Box::new(self.requests.clone()))?;
        registry.register(Box::new(self.refused_connections.clone()))?;
        registry.register(Box::new(self.memory_bytes.clone()))?;
        registry.register(Box::new(self.memory_refusals.clone()))?;
        registry.register(Box::new(self.given_up_transfers.clone()))?;
        registry.register(Box::new(self.first_token.clone()))?;
        registry.register(Box::new(self.token_gap.clone()))?;
        registry.register(Box::new(self.in_flight.clone()))?;
        registry.register(Box::new(self.waiting.clone()))?;
        registry.register(Box::new(self.invariant_violations.clone()))?;
        registry.register(Box::new(self.peer_bytes.clone()))?;
        registry.register(Box::new(self.wasted_prefill.clone()))?;
        registry.register(Box::new(self.retries.clone()))?;
        registry.register(Box::new(self.preemptions.clone()))?;
        registry.register(Box::new(self.foreign_chunks.clone()))?;
        registry.register(Box::new(self.configuration_version.clone()))?;
        registry.register(Box::new(self.refused_versions.clone()))?;
        registry.register(Box::new(self.refused_configurations.clone()))?;
        registry.register(Box::new(self.connections.clone()))?;
        registry.register(Box::new(self.peer_connections.clone()))?;
        registry.register(Box::new(self.admin_connections.clone()))?;
        registry.register(Box::new(self.repeated_requests.clone()))?;
        registry.register(Box::new(self.decision_time.clone()))?;
        Ok(())
    }

    /// The text that prometheus reads.
    pub fn encode(&self) -> anyhow::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }

    /// Counts an answered request. Requests whose headers can't be read have no tier.
    pub fn answered(&self, tier: Option<Tier>, outcome: &str, code: &str) {
        let tier = tier.map_or("none", Tier::name);
        self.requests.with_label_values(&[tier, outcome, code]).inc();
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn enter(&self, tier: Tier) -> InFlightGuard {
        let gauge = self.in_flight.with_label_values(&[tier.name()]);
        gauge.inc();
        InFlightGuard { gauge }
    }

    /// Requests in flight by tier.
    pub fn in_flight_by_tier(&self) -> Vec<(Tier, i64)> {
        let count = |tier: Tier| self.in_flight.with_label_values(&[tier.name()]).get();
        Tier::DESCENDING.into_iter().map(|tier| (tier, count(tier))).collect()
    }

    /// Sets the number of waiting requests by tier.
    pub fn set_waiting(&self, waiting: [u32; Tier::COUNT]) {
        for tier in Tier::DESCENDING {
            let count = i64::from(waiting[tier.index()]);
            self.waiting.with_label_values(&[tier.name()]).set(count);
        }
    }

    /// Takes over the numbers of violations by invariant.
    pub fn set_violations(&self, violations: &[(&'static str, u64)]) {
        for (invariant, count) in violations {
            raise(&self.invariant_violations.with_label_values(&[*invariant]), *count);
        }
    }

    /// Takes over what the scheduler has counted.
    pub fn take_counts(&self, statistics: &SchedulerStatistics) {
        raise(&self.wasted_prefill, statistics.wasted_prefill_tokens);
        raise(&self.retries, statistics.retries);
        raise(&self.preemptions, statistics.preemptions);
    }

    /// Takes over the number of refused older configurations.
    pub fn set_refused_versions(&self, count: u64) {
        raise(&self.refused_versions, count);
    }

    /// Counts bytes of messages between entry VMs.
    pub fn peer_bytes(&self, direction: PeerDirection, bytes: usize) {
        let label = match direction {
            PeerDirection::Sent => "sent",
            PeerDirection::Received => "received",
        };
        self.peer_bytes.with_label_values(&[label]).inc_by(bytes as u64);
    }

    /// Times of a stream that starts now.
    pub fn stream_times(&self, tier: Tier) -> StreamTimes {
        StreamTimes {
            arrived: Instant::now(),
            last: None,
            first_token: self.first_token.with_label_values(&[tier.name()]),
            token_gap: self.token_gap.with_label_values(&[tier.name()]),
        }
    }
}

/// Measures the times between the tokens of one stream.
pub struct StreamTimes {
    arrived: Instant,
    last: Option<Instant>,
    first_token: Histogram,
    token_gap: Histogram,
}

impl StreamTimes {
    /// Tokens were passed on now.
    pub fn tokens_sent(&mut self, tokens: u32) {
        if tokens == 0 {
            return;
        }
        let now = Instant::now();
        match self.last.replace(now) {
            None => self.first_token.observe(seconds(now - self.arrived)),
            Some(last) => self.token_gap.observe(seconds(now - last) / f64::from(tokens)),
        }
    }
}

/// Counts a request as in flight while it lives.
pub struct InFlightGuard {
    gauge: IntGauge,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.gauge.dec();
    }
}

/// Raises a counter to a count that is kept elsewhere.
pub fn raise(counter: &IntCounter, count: u64) {
    counter.inc_by(count.saturating_sub(counter.get()));
}

fn seconds(duration: Duration) -> f64 {
    duration.as_secs_f64()
}

fn name(suffix: &str) -> String {
    format!("tarragon_{suffix}")
}

fn gauge(suffix: &str, help: &str) -> prometheus::Result<IntGauge> {
    IntGauge::new(name(suffix), help)
}

fn counter(suffix: &str, help: &str) -> prometheus::Result<IntCounter> {
    IntCounter::new(name(suffix), help)
}

fn counters(suffix: &str, help: &str, labels: &[&str]) -> prometheus::Result<IntCounterVec> {
    IntCounterVec::new(Opts::new(name(suffix), help), labels)
}

fn gauges(suffix: &str, help: &str, labels: &[&str]) -> prometheus::Result<IntGaugeVec> {
    IntGaugeVec::new(Opts::new(name(suffix), help), labels)
}

fn histograms(suffix: &str, help: &str, buckets: &[f64]) -> prometheus::Result<HistogramVec> {
    let options = HistogramOpts::new(name(suffix), help).buckets(buckets.to_vec());
    HistogramVec::new(options, &["tier"])
}

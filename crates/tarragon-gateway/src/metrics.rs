//! Metrics of a process that forwards calls, in the Prometheus format. All label values come from fixed sets,
//! never from callers.

use std::time::Duration;

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};
use tarragon_fleet::{
    node::LendingStatistics,
    prelude::{SchedulerStatistics, Tier},
};
use tarragon_server::metrics::raise;

/// Bucket bounds of the histograms.
const TIME_BUCKETS_SECONDS: [f64; 12] =
    [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 30.0];

/// All metrics of one process.
#[derive(Clone)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Answers to callers by outcome and cause.
    pub answers: IntCounterVec,
    /// Requests that the end of their connection left without a whole answer, by state and cause.
    pub cut_requests: IntCounterVec,
    /// Attempts by how they ended.
    pub attempts: IntCounterVec,
    /// Time from arrival to the dispatch of the first attempt.
    pub queue_time: Histogram,
    /// Time from arrival to the first part of the answer.
    pub first_part: HistogramVec,
    /// Time between consecutive events of a stream.
    pub event_gap: Histogram,
    /// Time from arrival to the end of the answer.
    pub answer_time: HistogramVec,
    /// Calls to the store by call and result.
    pub store_calls: IntCounterVec,
    /// Questions to engines for the build that began a stream, by outcome.
    pub evidence: IntCounterVec,
    /// Entries of the store that were left out because they can't be read, by call.
    pub skipped_entries: IntCounterVec,
    /// Tasks of the process that ended by a panic and were started again, by task.
    pub restarted_tasks: IntCounterVec,
    /// Times when the event loop stalled.
    pub stalls: IntCounter,
    /// Requests that waited for a busy target which had their prompt cached.
    pub holder_waits: IntCounter,
    /// Bytes of digests by direction.
    pub peer_bytes: IntCounterVec,
    /// Version of the active configuration.
    pub configuration_version: IntGauge,
    /// Open connections of callers.
    pub connections: IntGauge,
    /// Attempts and questions that peers were sent, by outcome.
    pub relays_sent: IntCounterVec,
    /// Attempts and questions of peers, by outcome.
    pub relays_carried: IntCounterVec,
    /// Links to targets that are lost.
    pub lost_links: IntGauge,
    /// Requests that have arrived but not ended.
    pub open_requests: IntGauge,
    /// Peers that are present.
    pub peers: IntGauge,
    /// Connections made to targets.
    pub target_connections: IntCounter,
    /// Answers of targets by what they say about the rate that the target accepts.
    pub rate_statements: IntCounterVec,
    /// Answers of targets by what they say about the rejections that the target can bear.
    pub rejection_statements: IntCounterVec,
    /// Targets that name a rejection limit.
    pub rejection_limited_targets: IntGauge,
    /// Targets that name a rate limit.
    pub limited_targets: IntGauge,
    /// Requests that are suspected of crashing targets, or convicted of it.
    pub suspects: IntGauge,
    /// Suspects that the last digest left out.
    pub unannounced_suspects: IntGauge,
    /// Slots of targets that peers were asked for, and loans of them, by step.
    pub slot_loans: IntCounterVec,
    /// Streams that callers have taken up, by how the build that began them became known.
    pub take_ups: IntCounterVec,
    /// Requests refused because they would have started too late, by tier.
    pub forecast_refusals: IntCounterVec,
    /// Refused requests that came back, by whether they did so as told.
    pub returned_requests: IntCounterVec,
    /// Bytes that are charged to the memory account, by share.
    pub memory_bytes: IntGaugeVec,
    /// Requests and bodies that were refused because there was no memory for them, by share.
    pub memory_refusals: IntCounterVec,
    /// Idle connections that were closed because connections ran low.
    pub idle_closed: IntCounter,
    /// Requests whose tasks have panicked.
    pub panicked_requests: IntCounter,
    /// Connections that were given up because others waited for the memory that they held.
    pub given_up_connections: IntCounter,
    /// Connections that were closed at once because too many were open.
    pub refused_connections: IntCounter,
    /// Slow bodies and answers that were given up for others since the start.
    pub given_up_transfers: IntGauge,
    /// Prompts of which only the beginning is matched with what engines hold.
    pub cut_prompts: IntCounter,
}

impl GatewayMetrics {
    /// Creates and registers the metrics.
    pub fn new() -> anyhow::Result<GatewayMetrics> {
        let registry = Registry::new();
        let metrics = GatewayMetrics {
            answers: counter_vec("answers_total", "Answers to callers", &["outcome", "cause"])?,
            cut_requests: counter_vec(
                "cut_requests_total",
                "Requests whose connection ended before the answer was complete",
                &["state", "cause"],
            )?,
            attempts: counter_vec("attempts_total", "Ends of attempts at targets", &["end"])?,
            queue_time: histogram("queue_seconds", "Time from the arrival to the first dispatch")?,
            first_part: histogram_vec("first_part_seconds", "Time to the first part of an answer")?,
            event_gap: histogram("event_gap_seconds", "Time between two events of a stream")?,
            answer_time: histogram_vec("whole_answer_seconds", "Time to the end of an answer")?,
            store_calls: counter_vec(
                "store_calls_total",
                "Calls to the store",
                &["call", "result"],
            )?,
            evidence: counter_vec(
                "evidence_total",
                "Questions to engines for the build that began a stream",
                &["outcome"],
            )?,
            skipped_entries: counter_vec(
                "skipped_entries_total",
                "Entries of the store that can't be read",
                &["call"],
            )?,
            stalls: IntCounter::new(
                metric_name("stalls_total"),
                "Times when the event loop stalled",
            )?,
            holder_waits: IntCounter::new(
                metric_name("holder_waits_total"),
                "Requests that waited for a busy target which had their prompt cached",
            )?,
            restarted_tasks: counter_vec(
                "restarted_tasks_total",
                "Tasks that ended by a panic",
                &["task"],
            )?,
            peer_bytes: counter_vec("peer_bytes_total", "Bytes between peers", &["direction"])?,
            configuration_version: gauge("configuration_version", "Configuration in force")?,
            relays_sent: counter_vec(
                "relays_sent_total",
                "Attempts that went over peers, and questions to them whether they reach a target",
                &["kind", "outcome"],
            )?,
            relays_carried: counter_vec(
                "relays_carried_total",
                "Attempts and questions of peers that have lost their links",
                &["outcome"],
            )?,
            lost_links: gauge("lost_links", "Links to targets that are lost")?,
            connections: gauge("connections", "Open connections of callers")?,
            open_requests: gauge("open_requests", "Requests that have not ended")?,
            peers: gauge("peers", "Peers that are present")?,
            target_connections: IntCounter::new(
                metric_name("target_connections_total"),
                "Connections made to targets",
            )?,
            rate_statements: counter_vec(
                "rate_statements_total",
                "Answers of targets by what they say about the rate that they accept",
                &["statement"],
            )?,
            rejection_statements: counter_vec(
                "rejection_statements_total",
                "Answers of targets by what they say about the rejections that they can bear",
                &["statement"],
            )?,
            rejection_limited_targets: gauge(
                "rejection_limited_targets",
                "Targets that name a rejection limit",
            )?,
            limited_targets: gauge("limited_targets", "Targets that name a rate limit")?,
            suspects: gauge("suspects", "Requests that are suspected of crashing targets")?,
            unannounced_suspects: gauge(
                "untold_suspects",
                "Suspects that the last digest left out",
            )?,
            slot_loans: counter_vec(
                "slot_loans_total",
                "Slots of targets that peers were asked for, lent and borrowed",
                &["step"],
            )?,
            take_ups: counter_vec(
                "take_ups_total",
                "Streams that callers take up by how the build that began them is known",
                &["source"],
            )?,
            forecast_refusals: counter_vec(
                "forecast_refusals_total",
                "Requests refused because they would have started too late",
                &["tier"],
            )?,
            returned_requests: counter_vec(
                "returned_requests_total",
                "Requests that came back after such a refusal",
                &["kind"],
            )?,
            memory_bytes: IntGaugeVec::new(
                Opts::new(metric_name("memory_bytes"), "Bytes that are charged, by share"),
                &["share"],
            )?,
            memory_refusals: counter_vec(
                "memory_refusals_total",
                "Requests and bodies that were refused because there was no memory for them",
                &["share"],
            )?,
            idle_closed: IntCounter::new(
                metric_name("idle_connections_closed_total"),
                "Idle connections that were closed because connections ran low",
            )?,
            given_up_connections: IntCounter::new(
                metric_name("connections_given_up_total"),
                "Connections that were given up because others waited for the memory that they held",
            )?,
            refused_connections: IntCounter::new(
                metric_name("connections_refused_total"),
                "Connections that were closed at once because too many were open",
            )?,
            given_up_transfers: gauge(
                "given_up_transfers",
                "Slow bodies and answers that were given up for others since the start",
            )?,
            panicked_requests: IntCounter::new(
                metric_name("panicked_requests_total"),
                "Requests whose tasks have panicked",
            )?,
            cut_prompts: IntCounter::new(
                metric_name("cut_prompts_total"),
                "Prompts of which only the beginning is matched with what engines hold",
            )?,
            registry,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> prometheus::Result<()> {
        let registry = &self.registry;
        registry.register(Box::new(self.answers.clone()))?;
        registry.register(Box::new(self.cut_requests.clone()))?;
        registry.register(Box::new(self.attempts.clone()))?;
        registry.register(Box::new(self.queue_time.clone()))?;
        registry.register(Box::new(self.first_part.clone()))?;
        registry.register(Box::new(self.event_gap.clone()))?;
        registry.register(Box::new(self.answer_time.clone()))?;
        registry.register(Box::new(self.store_calls.clone()))?;
        registry.register(Box::new(self.evidence.clone()))?;
        registry.register(Box::new(self.skipped_entries.clone()))?;
        registry.register(Box::new(self.restarted_tasks.clone()))?;
        registry.register(Box::new(self.stalls.clone()))?;
        registry.register(Box::new(self.holder_waits.clone()))?;
        registry.register(Box::new(self.peer_bytes.clone()))?;
        registry.register(Box::new(self.configuration_version.clone()))?;
        registry.register(Box::new(self.relays_sent.clone()))?;
        registry.register(Box::new(self.relays_carried.clone()))?;
        registry.register(Box::new(self.lost_links.clone()))?;
        registry.register(Box::new(self.connections.clone()))?;
        registry.register(Box::new(self.open_requests.clone()))?;
        registry.register(Box::new(self.peers.clone()))?;
        registry.register(Box::new(self.target_connections.clone()))?;
        registry.register(Box::new(self.rate_statements.clone()))?;
        registry.register(Box::new(self.rejection_statements.clone()))?;
        registry.register(Box::new(self.rejection_limited_targets.clone()))?;
        registry.register(Box::new(self.limited_targets.clone()))?;
        registry.register(Box::new(self.suspects.clone()))?;
        registry.register(Box::new(self.unannounced_suspects.clone()))?;
        registry.register(Box::new(self.slot_loans.clone()))?;
        registry.register(Box::new(self.take_ups.clone()))?;
        registry.register(Box::new(self.forecast_refusals.clone()))?;
        registry.register(Box::new(self.returned_requests.clone()))?;
        registry.register(Box::new(self.memory_bytes.clone()))?;
        registry.register(Box::new(self.memory_refusals.clone()))?;
        registry.register(Box::new(self.idle_closed.clone()))?;
        registry.register(Box::new(self.panicked_requests.clone()))?;
        registry.register(Box::new(self.given_up_connections.clone()))?;
        registry.register(Box::new(self.refused_connections.clone()))?;
        registry.register(Box::new(self.given_up_transfers.clone()))?;
        registry.register(Box::new(self.cut_prompts.clone()))
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn encode(&self) -> anyhow::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }

    /// Counts an answer to a caller.
    pub fn count_answer(&self, outcome: &str, cause: &str) {
        self.answers.with_label_values(&[outcome, cause]).inc();
    }

    /// Counts the entries that a read of the store has left out.
    pub fn count_skipped_entries(&self, call: &str, skipped: usize) {
        self.skipped_entries.with_label_values(&[call]).inc_by(skipped as u64);
    }

    /// Takes over what the scheduler has counted.
    pub fn take_counts(&self, statistics: &SchedulerStatistics) {
        for tier in Tier::DESCENDING {
            let counter = self.forecast_refusals.with_label_values(&[tier.name()]);
            raise(&counter, statistics.forecast_refusals[tier.index()]);
        }
        raise(&self.returned_requests.with_label_values(&["placed"]), statistics.returns_placed);
        raise(&self.returned_requests.with_label_values(&["early"]), statistics.returns_early);
        raise(&self.holder_waits, statistics.holder_waits);
    }

    /// Takes over what the node has counted of loans of slots.
    pub fn take_loan_counts(&self, loans: &LendingStatistics) {
        let LendingStatistics { asked, lent, borrowed, declined, expired } = *loans;
        let counts = [
            ("asked", asked),
            ("lent", lent),
            ("borrowed", borrowed),
            ("declined", declined),
            ("expired", expired),
        ];
        for (step, count) in counts {
            raise(&self.slot_loans.with_label_values(&[step]), count);
        }
    }

    /// Records the time to the first part of an answer.
    pub fn observe_first_part(&self, streamed: bool, time: Duration) {
        self.first_part.with_label_values(&[answer_form(streamed)]).observe(time.as_secs_f64());
    }

    /// Records the time to the end of an answer.
    pub fn observe_answer_time(&self, streamed: bool, time: Duration) {
        self.answer_time.with_label_values(&[answer_form(streamed)]).observe(time.as_secs_f64());
    }
}

fn answer_form(streamed: bool) -> &'static str {
    if streamed { "stream" } else { "plain" }
}

fn metric_name(suffix: &str) -> String {
    format!("tarragon_gateway_{suffix}")
}

fn gauge(suffix: &str, help: &str) -> prometheus::Result<IntGauge> {
    IntGauge::new(metric_name(suffix), help)
}

fn counter_vec(suffix: &str, help: &str, labels: &[&str]) -> prometheus::Result<IntCounterVec> {
    IntCounterVec::new(Opts::new(metric_name(suffix), help), labels)
}

fn histogram(suffix: &str, help: &str) -> prometheus::Result<Histogram> {
    Histogram::with_opts(
        HistogramOpts::new(metric_name(suffix), help).buckets(TIME_BUCKETS_SECONDS.to_vec()),
    )
}

fn histogram_vec(suffix: &str, help: &str) -> prometheus::Result<HistogramVec> {
    let options =
        HistogramOpts::new(metric_name(suffix), help).buckets(TIME_BUCKETS_SECONDS.to_vec());
    HistogramVec::new(options, &["kind"])
}

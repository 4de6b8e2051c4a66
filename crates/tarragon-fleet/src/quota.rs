//! Quotas of workspaces across the whole fleet. Each process counts the units that it admits in a sliding
//! window, gets the counts of the others from their digests, and admits a request if the total stays within
//! the quota.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use crate::{
    digest::{NameKey, SpanSums, UsageSum, name_key},
    prelude::*,
};

/// Resolution of the window.
const STEP: Duration = Duration::from_millis(250);
/// Fraction of a quota's tolerance (overage and slack) that is available to processes that don't know what
/// they admitted before their restart. The rest is left for sums that lag behind.
const RESTART_FRACTION: f64 = 0.85;
/// Down time that counts as time since the start: the least time that the platform leaves between the end of
/// a process and its next start. The tolerance accrues evenly over one window, so that all restarts within a
/// window together use it once.
const MIN_DOWN_TIME: Duration = Duration::from_millis(500);
/// Assumed least time between two starts of a process. The tolerance that accrues in this time is usable at
/// once. Processes that run for a shorter time end before they admit much.
const MIN_START_INTERVAL: Duration = Duration::from_secs(1);
/// Number of equal spans that the window is divided into. In any one, two or three consecutive spans, a
/// workspace gets at most its rate and some bursts, so that a restarted process knows the most that may have
/// been admitted in the part of the window that it has no data on.
const SPAN_COUNT: u32 = 4;
/// Number of bursts allowed in consecutive spans of the window. With one, callers who stay within the limit
/// of the window are refused even on days without faults; with more, the bound after a restart is weaker.
const BURSTS_PER_SPAN: f64 = 2.0;
/// Shortest retry time given to a refused caller. The longest is the window, since by then all earlier usage
/// has left it.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Usage of one workspace in the sliding window, in time steps.
#[derive(Debug, Clone, Default)]
struct UsageWindow {
    steps: VecDeque<(Instant, u64)>,
    sum: u64,
}

impl UsageWindow {
    fn add(&mut self, units: u64, now: Instant) {
        match self.steps.back_mut() {
            Some((start, sum)) if now.saturating_duration_since(*start) < STEP => {
                *sum = sum.saturating_add(units);
            }
            _ => self.steps.push_back((now, units)),
        }
        self.sum = self.sum.saturating_add(units);
    }

    /// Units used in the last one, two and three spans of the window.
    fn span_sums(&self, window: Duration, now: Instant) -> SpanSums {
        let span = window / SPAN_COUNT;
        [1, 2, 3].map(|spans| self.recent(span * spans, now))
    }

    /// Adds the usage before the restart of this process. The units of each span count as used at its end.
    fn insert_former_usage(&mut self, former: &UsageSum, window: Duration, now: Instant) {
        let span = window / SPAN_COUNT;
        let [last, last_two, last_three] = former.recent;
        let later = [0, last, last_two, last_three];
        let until = [last, last_two, last_three, former.units];
        for (age, (until, later)) in (0..).zip(until.into_iter().zip(later)) {
            let units = until.saturating_sub(later);
            let end = now.checked_sub(span * age).unwrap_or(now);
            self.steps.push_back((end, units));
            self.sum = self.sum.saturating_add(units);
        }
        self.steps.make_contiguous().sort_by_key(|(start, _)| *start);
    }

    /// Units used in the steps that began less than `span` ago.
    fn recent(&self, span: Duration, now: Instant) -> u64 {
        let recent = |start: &Instant| now.saturating_duration_since(*start) < span;
        let steps = self.steps.iter().rev().take_while(|(start, _)| recent(start));
        steps.map(|(_, units)| *units).fold(0, u64::saturating_add)
    }

    /// Removes the steps that have left the window.
    fn expire(&mut self, window: Duration, now: Instant) {
        while let Some((start, units)) = self.steps.front().copied() {
            if now.saturating_duration_since(start) < window + STEP {
                break;
            }
            self.steps.pop_front();
            self.sum = self.sum.saturating_sub(units);
        }
    }
}

/// Parameters of all quotas.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Length of the sliding window.
    pub window: Duration,
    /// Fraction of a limit by which the fleet may exceed it.
    pub overage: f64,
    /// Units by which the fleet may exceed a limit in addition to that fraction.
    pub slack: f64,
}

impl QuotaBounds {
    /// Units that a workspace may use in the window.
    fn limit(&self, terms: &WorkspaceConfiguration) -> f64 {
        terms.rate * self.window.as_secs_f64() + terms.burst
    }

    /// Units that a workspace may use in so many consecutive spans of the window.
    fn allowed(&self, terms: &WorkspaceConfiguration, spans: u32) -> f64 {
        let time = self.window.as_secs_f64() * f64::from(spans) / f64::from(SPAN_COUNT);
        (terms.rate * time + terms.burst * BURSTS_PER_SPAN).min(self.limit(terms))
    }

    /// The most that a process may have used of its share of a quota in a time span for which it doesn't know
    /// its usage, as a fraction of that share.
    pub fn presumed_share(&self, terms: &WorkspaceConfiguration, unknown_span: Duration) -> f64 {
        if unknown_span.is_zero() || terms.rate <= 0.0 {
            return 0.0;
        }
        let spans =
            (unknown_span.div_duration_f64(self.window) * f64::from(SPAN_COUNT)).ceil() as u32;
        self.allowed(terms, spans.min(SPAN_COUNT)) / self.limit(terms)
    }

    /// Fraction of its share of the tolerance that is available to a process that doesn't know its usage in a
    /// span of the window.
    pub fn accrued_tolerance(&self, unknown_span: Duration) -> f64 {
        if unknown_span.is_zero() {
            return 0.0;
        }
        let age = self.window.saturating_sub(unknown_span) + MIN_DOWN_TIME;
        age.max(MIN_START_INTERVAL).div_duration_f64(self.window).min(1.0)
    }
}

/// Usage of one workspace's quota by other processes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerUsage {
    /// Units used in the window, as reported by the present processes.
    pub reported: u64,
    /// Units used in the last spans of the window, as reported by them.
    pub reported_recent: SpanSums,
    /// Units used in the last half second, as reported by them.
    pub reported_latest: u64,
    /// Time by which these sums lag behind.
    pub lag: Duration,
    /// Number of processes whose usage the reported sums include.
    pub present: usize,
    /// Number of silent processes that share the quota. Each may use an equal share.
    pub silent: usize,
    /// Number of processes that share the quota and that this one has not heard from yet. Each may use an
    /// equal share.
    pub unmet: usize,
    /// Whether this process has just started and has heard from no peer, so that it can't know how many share
    /// the quota.
    pub alone: bool,
    /// Sum over the processes that don't know their usage before their start: the fraction of its share of
    /// the tolerance that each may use by now.
    pub accrued: f64,
    /// Sum over the same processes: the fraction of its share of the quota that each may have used before its
    /// start.
    pub presumed: f64,
    /// Number of processes that share the quota, this one included.
    pub sharing: usize,
}

/// Time span over which the current rate of a workspace is measured: long enough for several requests, short
/// enough to show a burst that has just begun.
const LATEST_SPAN: Duration = Duration::from_millis(500);
/// Largest fraction of a limit that other processes are assumed to have admitted only because this process did.
const MAX_UNREPORTED_FRACTION: f64 = 0.1;
/// Time span of the own usage from which the rate at other processes is estimated. Requests differ in size by
/// a factor of a hundred, so a shorter span would reflect a single request rather than a rate.
const OWN_RATE_SPAN: Duration = Duration::from_secs(1);

/// Estimates the units that other processes have admitted since they reported: at the rate that they
/// reported, or at about the rate of this process, whichever gives more.
fn estimate_unreported(usage: &UsageWindow, peers: PeerUsage, limit: f64, now: Instant) -> u64 {
    let by_reported = peers.reported_latest as f64 * peers.lag.div_duration_f64(LATEST_SPAN);
    let own = usage.recent(OWN_RATE_SPAN, now) as f64 * peers.lag.div_duration_f64(OWN_RATE_SPAN);
    let by_own = (own * peers.present as f64).min(limit * MAX_UNREPORTED_FRACTION);
    by_reported.max(by_own) as u64
}

/// The units that this process has admitted, by workspace.
#[derive(Debug, Clone)]
pub struct QuotaLedger {
    bounds: QuotaBounds,
    /// Start of this process, as long as its usage before that is unknown. `None` on the first start of the
    /// fleet.
    started: Option<Instant>,
    own: IndexMap<NameKey, UsageWindow>,
}

impl QuotaLedger {
    /// Creates an empty ledger. `started` is the start of this process, or `None` if the fleet can't have
    /// admitted any requests before.
    pub fn new(bounds: QuotaBounds, started: Option<Instant>) -> QuotaLedger {
        QuotaLedger { bounds, started, own: IndexMap::new() }
    }

    /// Parameters of all quotas.
    pub fn bounds(&self) -> QuotaBounds {
        self.bounds
    }

    /// Charges the units of a request, or returns after which time to retry.
    pub fn admit(
        &mut self,
        workspace: &str,
        terms: &WorkspaceConfiguration,
        units: u64,
        peers: PeerUsage,
        now: Instant,
    ) -> Result<(), Duration> {
        let bounds = self.bounds;
        let QuotaBounds { window, overage, slack } = bounds;
        let unknown_span = self.unknown_span(now);
        let own_accrued = if peers.alone { 0.0 } else { bounds.accrued_tolerance(unknown_span) };
        let accrued = peers.accrued + own_accrued;
        let own_presumed = bounds.presumed_share(terms, unknown_span);
        let presumed = peers.presumed + own_presumed;
        let usage = self.own.entry(name_key(workspace)).or_default();
        usage.expire(window, now);
        if terms.rate > 0.0 {
            let limit = bounds.limit(terms);
            let sharing = peers.sharing.max(1) as f64;
            // Silent processes may be using their shares, and restarted ones may have used theirs in this
            // window.
            let reserved = limit / sharing * ((peers.silent + peers.unmet) as f64 + presumed);
            let tolerance_share = (limit * overage + slack) * RESTART_FRACTION / sharing;
            let tolerance = tolerance_share * accrued;
            let unreported = estimate_unreported(usage, peers, limit, now).saturating_add(units);
            let used = usage.sum.saturating_add(peers.reported).saturating_add(unreported) as f64
                + reserved;
            let own_recent = usage.span_sums(window, now);
            let mut excess = used - limit - tolerance;
            if peers.unmet > 0 && !unknown_span.is_zero() {
                // Other processes, which know of these peers too, may use those peers' shares of the tolerance.
                let own_share =
                    tolerance_share * own_accrued + limit / sharing * (1.0 - own_presumed);
                excess = excess.max(usage.sum.saturating_add(units) as f64 - own_share);
            }
            for (spans, (own, reported)) in (1..).zip(own_recent.iter().zip(peers.reported_recent))
            {
                let recent = own.saturating_add(reported).saturating_add(unreported) as f64;
                excess = excess.max(recent - bounds.allowed(terms, spans).max(units as f64));
            }
            if excess > 0.0 {
                if peers.alone {
                    // Peers answer the first digest at once, so a short wait is enough.
                    return Err(MIN_RETRY_AFTER);
                }
                let wait = Duration::from_secs_f64((excess / terms.rate).min(60.0));
                return Err(wait.clamp(MIN_RETRY_AFTER, window));
            }
        }
        usage.add(units, now);
        Ok(())
    }

    /// Refunds the units of a request that was not run.
    pub fn refund(&mut self, workspace: &str, units: u64) {
        let Some(usage) = self.own.get_mut(&name_key(workspace)) else { return };
        let mut remaining = units;
        for (_, step) in usage.steps.iter_mut().rev() {
            let refunded = remaining.min(*step);
            *step -= refunded;
            remaining -= refunded;
        }
        usage.sum = usage.sum.saturating_sub(units - remaining);
    }

    /// Usage of all workspaces that used units in the window, for the next digest.
    pub fn sums(&mut self, now: Instant) -> Vec<UsageSum> {
        let window = self.bounds.window;
        self.own.retain(|_, usage| {
            usage.expire(window, now);
            usage.sum > 0
        });
        let sum = |(key, usage): (&NameKey, &UsageWindow)| UsageSum {
            workspace: *key,
            units: usage.sum,
            recent: usage.span_sums(window, now),
            latest: usage.recent(LATEST_SPAN, now),
        };
        self.own.iter().map(sum).collect()
    }

    /// Restores the usage of this process before its restart, as remembered by a peer.
    pub fn restore_former_usage(&mut self, usage: &[UsageSum], now: Instant) {
        if self.unknown_span(now).is_zero() {
            return;
        }
        let window = self.bounds.window;
        for sum in usage {
            self.own.entry(sum.workspace).or_default().insert_former_usage(sum, window, now);
        }
        self.started = None;
    }

    /// Span of the current window before the start of this process, for which it doesn't know its usage.
    pub fn unknown_span(&self, now: Instant) -> Duration {
        let Some(started) = self.started else { return Duration::ZERO };
        self.bounds.window.saturating_sub(now.saturating_duration_since(started))
    }
}

//! Quotas of workspaces over the whole fleet. Each process counts what it admits in a sliding window, hears
//! of the others' sums by digests, and admits a request if all sums together leave room.

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
/// Part of a quota's tolerance that processes may use which don't know what they admitted before they were
/// restarted. The rest is left for sums that lag behind.
const RESTART_PART: f64 = 0.85;
/// That part becomes usable evenly over one window, so that restarts within a window use it once together.
/// This much counts from before the start: the platform's least time between an end and the next start.
const DOWN_TIME: Duration = Duration::from_millis(500);
/// What accrues between two starts is usable at once, if starts are at least this far apart. Shorter lives end
/// before they admit much.
const LEAST_SPACING: Duration = Duration::from_secs(1);
/// Equal parts of the window. In any one, two or three of them together, a workspace gets at most its rate and
/// some bursts, so that a process which was restarted knows the most that may have been admitted in the rest of
/// the window.
const SPANS: u32 = 4;
/// Bursts in a part of the window. With one, callers who stay within the window's limit are refused on calm
/// days; with more, less is certain after a restart.
const SPAN_BURSTS: f64 = 2.0;
/// Least time after which a refused caller is asked to come back. The longest is the window: all that was used
/// has left it by then.
const LEAST_WAIT: Duration = Duration::from_millis(250);

/// Use of one workspace in steps of the window.
#[derive(Debug, Default)]
struct UsageWindow {
    steps: VecDeque<(Instant, u64)>,
    sum: u64,
}

impl UsageWindow {
    fn add(&mut self, units: u64, now: Instant) {
        match self.steps.back_mut() {
            Some((start, sum)) if now.saturating_duration_since(*start) < STEP => *sum += units,
            _ => self.steps.push_back((now, units)),
        }
        self.sum += units;
    }

    /// Units of the last one, two and three parts of the window.
    fn span_sums(&self, window: Duration, now: Instant) -> SpanSums {
        let span = window / SPANS;
        [1, 2, 3].map(|spans| self.recent(span * spans, now))
    }

    /// Adds what was used before the restart of this process. Each part counts as used at its end.
    fn insert_former(&mut self, former: &UsageSum, window: Duration, now: Instant) {
        let span = window / SPANS;
        let [last, last_two, last_three] = former.recent;
        let later = [0, last, last_two, last_three];
        let until = [last, last_two, last_three, former.units];
        for (age, (until, later)) in (0..).zip(until.into_iter().zip(later)) {
            let units = until.saturating_sub(later);
            let end = now.checked_sub(span * age).unwrap_or(now);
            self.steps.push_back((end, units));
            self.sum += units;
        }
        self.steps.make_contiguous().sort_by_key(|(start, _)| *start);
    }

    /// Units of the last steps, as long as they began less than `span` ago.
    fn recent(&self, span: Duration, now: Instant) -> u64 {
        let recent = |start: &Instant| now.saturating_duration_since(*start) < span;
        let steps = self.steps.iter().rev().take_while(|(start, _)| recent(start));
        steps.map(|(_, units)| units).sum()
    }

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

/// Bounds of all quotas.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Sliding window that the bounds hold for.
    pub window: Duration,
    /// Part of a limit by which the fleet may exceed it.
    pub overage: f64,
    /// Units by which the fleet may exceed a limit beside that part.
    pub slack: f64,
}

impl QuotaBounds {
    /// Units that a workspace may use in the window.
    fn limit(&self, terms: &WorkspaceConfiguration) -> f64 {
        terms.rate * self.window.as_secs_f64() + terms.burst
    }

    /// Units that a workspace may use in a part of the window.
    fn allowed(&self, terms: &WorkspaceConfiguration, spans: u32) -> f64 {
        let time = self.window.as_secs_f64() * f64::from(spans) / f64::from(SPANS);
        (terms.rate * time + terms.burst * SPAN_BURSTS).min(self.limit(terms))
    }

    /// The most that a process may have used of its share of a quota in a part of the window of which it knows
    /// nothing, as a part of that share.
    pub fn presumed(&self, terms: &WorkspaceConfiguration, unknown: Duration) -> f64 {
        if unknown.is_zero() || terms.rate <= 0.0 {
            return 0.0;
        }
        let spans = (unknown.div_duration_f64(self.window) * f64::from(SPANS)).ceil() as u32;
        self.allowed(terms, spans.min(SPANS)) / self.limit(terms)
    }

    /// Part of its share of the tolerance that a process may use which doesn't know its use in a part of the
    /// window.
    pub fn accrued(&self, unknown: Duration) -> f64 {
        if unknown.is_zero() {
            return 0.0;
        }
        let age = self.window.saturating_sub(unknown) + DOWN_TIME;
        age.max(LEAST_SPACING).div_duration_f64(self.window).min(1.0)
    }
}

/// What other processes use of one workspace's quota.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerUsage {
    /// Units in the window, as told by the processes that are present.
    pub told: u64,
    /// Units in the last parts of the window, as told by them.
    pub told_recent: SpanSums,
    /// Units in the last half second, as told by them.
    pub told_latest: u64,
    /// Time by which these sums lag behind.
    pub lag: Duration,
    /// Processes that have told.
    pub present: usize,
    /// Processes that share the quota and are silent: each may use an equal part.
    pub silent: usize,
    /// Processes that share the quota and that this one has not met: each may use an equal part, too.
    pub unmet: usize,
    /// This process has just started and has met nobody. It can't tell how many share the quota.
    pub alone: bool,
    /// Sum over the processes that don't know what they used before their start: the parts of their share of
    /// the tolerance that they may use by now.
    pub accrued: f64,
    /// Sum over the same processes: the part of its share of the quota that each may have used before.
    pub presumed: f64,
    /// All processes that share the quota, this one included.
    pub sharing: usize,
}

/// Time over which the present rate of a workspace is measured: long enough for several requests, short enough to
/// show a burst that has just begun.
const LATEST: Duration = Duration::from_millis(500);
/// Part of a limit that others are taken to have admitted, at most, because this process has.
const UNTOLD_PART: f64 = 0.1;
/// Time over which the own use tells what others do. Requests differ in size by a factor of a hundred, so that
/// a shorter one tells more of one request than of a rate.
const OWN_SPAN: Duration = Duration::from_secs(1);

/// Units that others have admitted since they told their sums, probably: as many as before, or about as many as
/// this process, whichever is more.
fn untold(usage: &UsageWindow, peers: PeerUsage, limit: f64, now: Instant) -> u64 {
    let by_told = peers.told_latest as f64 * peers.lag.div_duration_f64(LATEST);
    let own = usage.recent(OWN_SPAN, now) as f64 * peers.lag.div_duration_f64(OWN_SPAN);
    let by_own = (own * peers.present as f64).min(limit * UNTOLD_PART);
    by_told.max(by_own) as u64
}

/// Units that this process has admitted.
#[derive(Debug)]
pub struct QuotaLedger {
    bounds: QuotaBounds,
    /// Time of the process's start, unless the whole fleet started for the first time.
    started: Option<Instant>,
    own: IndexMap<NameKey, UsageWindow>,
}

impl QuotaLedger {
    /// A ledger without entries. `started` is given if the fleet may have admitted requests before.
    pub fn new(bounds: QuotaBounds, started: Option<Instant>) -> QuotaLedger {
        QuotaLedger { bounds, started, own: IndexMap::new() }
    }

    /// Bounds of all quotas.
    pub fn bounds(&self) -> QuotaBounds {
        self.bounds
    }

    /// Takes a request's units into account, or tells when to come back.
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
        let unknown = self.unknown(now);
        let own_accrued = if peers.alone { 0.0 } else { bounds.accrued(unknown) };
        let accrued = peers.accrued + own_accrued;
        let own_presumed = bounds.presumed(terms, unknown);
        let presumed = peers.presumed + own_presumed;
        let usage = self.own.entry(name_key(workspace)).or_default();
        usage.expire(window, now);
        if terms.rate > 0.0 {
            let limit = bounds.limit(terms);
            let sharing = peers.sharing.max(1) as f64;
            // A silent process may use its part, and a restarted one may have used it in this window.
            let kept = limit / sharing * ((peers.silent + peers.unmet) as f64 + presumed);
            let tolerance_part = (limit * overage + slack) * RESTART_PART / sharing;
            let tolerance = tolerance_part * accrued;
            let untold = untold(usage, peers, limit, now) + units;
            let used = (usage.sum + peers.told + untold) as f64 + kept;
            let own_recent = usage.span_sums(window, now);
            let mut excess = used - limit - tolerance;
            if peers.unmet > 0 && !unknown.is_zero() {
                // Others that know these peers as well may use the peers' parts of the tolerance.
                let own_part =
                    tolerance_part * own_accrued + limit / sharing * (1.0 - own_presumed);
                excess = excess.max((usage.sum + units) as f64 - own_part);
            }
            for (spans, (own, told)) in (1..).zip(own_recent.iter().zip(peers.told_recent)) {
                let recent = (own + told + untold) as f64;
                excess = excess.max(recent - bounds.allowed(terms, spans).max(units as f64));
            }
            if excess > 0.0 {
                if peers.alone {
                    // Peers answer the first digest at once.
                    return Err(LEAST_WAIT);
                }
                let wait = Duration::from_secs_f64((excess / terms.rate).min(60.0));
                return Err(wait.clamp(LEAST_WAIT, window));
            }
        }
        usage.add(units, now);
        Ok(())
    }

    /// Gives units back of a request that was not run.
    pub fn refund(&mut self, workspace: &str, units: u64) {
        let Some(usage) = self.own.get_mut(&name_key(workspace)) else { return };
        let mut left = units;
        for (_, step) in usage.steps.iter_mut().rev() {
            let taken = left.min(*step);
            *step -= taken;
            left -= taken;
        }
        usage.sum = usage.sum.saturating_sub(units - left);
    }

    /// Sums of all workspaces with use in the window, for the next digest.
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
            latest: usage.recent(LATEST, now),
        };
        self.own.iter().map(sum).collect()
    }

    /// Takes over what this process had used before its restart, as a peer remembers it.
    pub fn adopt(&mut self, usage: &[UsageSum], now: Instant) {
        if self.unknown(now).is_zero() {
            return;
        }
        let window = self.bounds.window;
        for sum in usage {
            self.own.entry(sum.workspace).or_default().insert_former(sum, window, now);
        }
        self.started = None;
    }

    /// Part of the present window before this process's start, of whose use it knows nothing.
    pub fn unknown(&self, now: Instant) -> Duration {
        let Some(started) = self.started else { return Duration::ZERO };
        self.bounds.window.saturating_sub(now.saturating_duration_since(started))
    }
}

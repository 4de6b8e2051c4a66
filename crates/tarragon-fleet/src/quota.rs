//! Quotas of workspaces over the whole fleet. Each process counts what it admits in a sliding window, hears
//! of the others' sums by digests, and admits a request if all sums together leave room.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use crate::{
    digest::{NameKey, UsageSum, name_key},
    prelude::*,
};

/// Resolution of the window.
const STEP: Duration = Duration::from_millis(250);
/// Part of a quota's tolerance that processes may use which don't know what they admitted before they were
/// restarted. The rest is left for sums that lag behind.
const RESTART_PART: f64 = 0.85;
/// Parts of the window. In each of them a workspace gets at most [`SPAN_PART`] of its limit, so that a process
/// which was restarted knows the most that may have been admitted in the rest of the window.
const SPANS: u32 = 4;
const SPAN_PART: f64 = 0.45;
/// Bounds of the time after which a refused caller is asked to come back.
const LEAST_WAIT: Duration = Duration::from_millis(250);
const LONGEST_WAIT: Duration = Duration::from_secs(2);

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

/// What other processes use of one workspace's quota.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ForeignUse {
    /// Units in the window, as told by the processes that are present.
    pub told: u64,
    /// Units in the last span of the window, as told by them.
    pub told_recent: u64,
    /// Processes that have told.
    pub present: usize,
    /// Processes that share the quota and are silent: each may use an equal part.
    pub silent: usize,
    /// Processes that are present and may have used their parts before they were started.
    pub restarted: usize,
    /// Sum of the parts of their parts that they may have used.
    pub presumed: f64,
    /// All processes that share the quota, this one included.
    pub sharing: usize,
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

    /// Takes a request's units into account, or tells when to come back.
    pub fn admit(
        &mut self,
        workspace: &str,
        terms: &WorkspaceTerms,
        units: u64,
        foreign: ForeignUse,
        now: Instant,
    ) -> Result<(), Duration> {
        let QuotaBounds { window, overage, slack } = self.bounds;
        let own_presumed = self.presumed(now);
        let restarted = foreign.restarted + usize::from(own_presumed > 0.0);
        let presumed = foreign.presumed + own_presumed;
        let usage = self.own.entry(name_key(workspace)).or_default();
        usage.expire(window, now);
        if terms.rate > 0.0 {
            let limit = terms.rate * window.as_secs_f64() + terms.burst;
            let sharing = foreign.sharing.max(1) as f64;
            // A silent process may use its part, and a restarted one may have used it in this window.
            let unknown = limit / sharing * (foreign.silent as f64 + presumed);
            let tolerance = (limit * overage + slack) * RESTART_PART * restarted as f64 / sharing;
            // What others told is as old as a step; meanwhile they have admitted about as much as this process.
            let untold = usage.recent(STEP, now) * foreign.present as u64 + units;
            let used = (usage.sum + foreign.told + untold) as f64 + unknown;
            let recent = usage.recent(window / SPANS, now) + foreign.told_recent + untold;
            let excess = (used - limit - tolerance)
                .max(recent as f64 - (limit * SPAN_PART).max(units as f64));
            if excess > 0.0 {
                let wait = Duration::from_secs_f64((excess / terms.rate).min(60.0));
                return Err(wait.clamp(LEAST_WAIT, LONGEST_WAIT));
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
        let span = window / SPANS;
        let sum = |(key, usage): (&NameKey, &UsageWindow)| UsageSum {
            workspace: *key,
            units: usage.sum,
            recent: usage.recent(span, now),
        };
        self.own.iter().map(sum).collect()
    }

    /// Takes over what this process had used before its restart, as a peer remembers it.
    pub fn adopt(&mut self, usage: &[UsageSum], now: Instant) {
        if self.presumed(now) == 0.0 {
            return;
        }
        for sum in usage {
            self.own.entry(sum.workspace).or_default().add(sum.units, now);
        }
        self.started = None;
    }

    /// Part of this process's share that it may have used in the present window before it was started.
    pub fn presumed(&self, now: Instant) -> f64 {
        let Some(started) = self.started else { return 0.0 };
        let span = self.bounds.window / SPANS;
        let left = self.bounds.window.saturating_sub(now.saturating_duration_since(started));
        let spans = (left.as_secs_f64() / span.as_secs_f64()).ceil();
        (SPAN_PART * spans).min(1.0)
    }
}

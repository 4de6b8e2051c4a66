//! Quotas of workspaces over the whole fleet. Each process counts what it admits in a sliding window, hears
//! of the others' sums by digests, and admits a request if all sums together leave room.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use crate::{
    digest::{NameKey, name_key},
    prelude::*,
};

/// Resolution of the window.
const STEP: Duration = Duration::from_millis(250);
/// Part of a limit that is presumed used by the fleet before the start of this process, spread evenly over
/// the window. Together with the quota's overage it leaves room for what was used in fact.
const PRESUMED: f64 = 0.6;
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

/// What other processes use of one workspace's quota.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ForeignUse {
    /// Units in the window, as told by the processes that are present.
    pub told: u64,
    /// Processes that share the quota and are silent: each may use an equal part.
    pub silent: usize,
    /// Sum of the parts of their shares that processes which are present may have used before they started.
    pub presumed: f64,
    /// All processes that share the quota, this one included.
    pub sharing: usize,
}

/// Units that this process has admitted.
#[derive(Debug)]
pub struct QuotaLedger {
    window: Duration,
    /// Time of the process's start, unless the whole fleet started for the first time.
    started: Option<Instant>,
    own: IndexMap<NameKey, UsageWindow>,
}

impl QuotaLedger {
    /// A ledger without entries. `started` is given if the fleet may have admitted requests before.
    pub fn new(window: Duration, started: Option<Instant>) -> QuotaLedger {
        QuotaLedger { window, started, own: IndexMap::new() }
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
        let presumed = foreign.presumed + self.presumed(now);
        let usage = self.own.entry(name_key(workspace)).or_default();
        usage.expire(self.window, now);
        if terms.rate > 0.0 {
            let limit = terms.rate * self.window.as_secs_f64() + terms.burst;
            let part = limit / foreign.sharing.max(1) as f64;
            let silent = part * foreign.silent as f64;
            let used = usage.sum as f64 + foreign.told as f64 + silent + part * presumed;
            let excess = used + units as f64 - limit;
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
    pub fn sums(&mut self, now: Instant) -> Vec<(NameKey, u64)> {
        let window = self.window;
        self.own.retain(|_, usage| {
            usage.expire(window, now);
            usage.sum > 0
        });
        self.own.iter().map(|(key, usage)| (*key, usage.sum)).collect()
    }

    /// Part of this process's share that may have been used in the window before its start.
    pub fn presumed(&self, now: Instant) -> f64 {
        let Some(started) = self.started else { return 0.0 };
        let age = now.saturating_duration_since(started).as_secs_f64();
        PRESUMED * (1.0 - age / self.window.as_secs_f64()).max(0.0)
    }
}

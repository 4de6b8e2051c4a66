//! Usage and limits of each workspace.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use tarragon_config::rules::{RuleSet, WorkspaceRule};

use crate::prelude::*;

/// A workspace without requests is removed after this time.
const IDLE_LIFETIME: Duration = Duration::from_secs(60);

/// Rows examined in each sweep, so that its cost doesn't depend on the number of workspaces.
const ROWS_PER_SWEEP: usize = 256;

/// A rate limit allows bursts of as many requests as it grants in this time, and at least one request.
const BURST: Duration = Duration::from_secs(1);

/// Limits of one workspace over the whole deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkspaceLimits {
    /// Highest tier allowed.
    pub tier: Tier,
    /// Requests a second.
    pub rate: Option<f64>,
    /// Requests in flight.
    pub concurrency: Option<u32>,
    /// Tokens that may wait.
    pub queued_tokens: Option<u64>,
    /// Weight in fair queueing.
    pub weight: u32,
}

impl Default for WorkspaceLimits {
    fn default() -> WorkspaceLimits {
        WorkspaceLimits {
            tier: Tier::Urgent,
            rate: None,
            concurrency: None,
            queued_tokens: None,
            weight: 1,
        }
    }
}

impl WorkspaceLimits {
    fn of(rule: Option<&WorkspaceRule>) -> WorkspaceLimits {
        let Some(rule) = rule else { return WorkspaceLimits::default() };
        WorkspaceLimits {
            tier: rule.tier.unwrap_or(Tier::Urgent),
            rate: rule.rate,
            concurrency: rule.concurrency,
            queued_tokens: rule.queued_tokens,
            weight: rule.weight.unwrap_or(1).max(1),
        }
    }
}

/// Usage of one workspace.
#[derive(Debug)]
pub struct WorkspaceUsage {
    /// Name.
    pub name: WorkspaceName,
    /// Limits in force.
    pub limits: WorkspaceLimits,
    /// Requests in flight.
    pub in_flight: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Tokens of waiting requests.
    pub queued_tokens: u64,
    /// Waiting requests set aside because the workspace is at its concurrency limit.
    pub parked: VecDeque<RequestId>,
    /// Tokens in the token bucket of the rate limit, one per request.
    rate_tokens: f64,
    refilled_at: Instant,
    last_used: Instant,
}

/// Limit that forbids a workspace one more request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitFault {
    /// The tier is above the workspace's highest.
    Tier(Tier),
    /// The rate limit is exceeded; the next request is allowed after this time.
    Rate(Duration),
    /// The workspace may have no request in flight.
    Suspended,
    /// Too many tokens wait.
    QueuedTokens,
}

/// Usage of all workspaces that have requests or had some recently.
#[derive(Debug, Default)]
pub struct WorkspaceTable {
    rows: Vec<Option<WorkspaceUsage>>,
    free: Vec<usize>,
    names: IndexMap<WorkspaceName, usize>,
    cursor: usize,
}

impl WorkspaceTable {
    /// Position of a workspace; creates it if needed.
    pub fn index(&mut self, name: &WorkspaceName, rules: &RuleSet, now: Instant) -> usize {
        if let Some(index) = self.names.get(name) {
            return *index;
        }
        let limits = WorkspaceLimits::of(rules.workspaces.get(name));
        let usage = WorkspaceUsage {
            name: name.clone(),
            limits,
            in_flight: 0,
            waiting: 0,
            queued_tokens: 0,
            parked: VecDeque::new(),
            rate_tokens: f64::INFINITY,
            refilled_at: now,
            last_used: now,
        };
        let index = match self.free.pop() {
            Some(index) => index,
            None => {
                self.rows.push(None);
                self.rows.len() - 1
            }
        };
        self.rows[index] = Some(usage);
        self.names.insert(name.clone(), index);
        index
    }

    /// Usage at a position.
    pub fn row(&self, index: usize) -> Option<&WorkspaceUsage> {
        self.rows.get(index)?.as_ref()
    }

    /// Usage at a position.
    pub fn row_mut(&mut self, index: usize) -> Option<&mut WorkspaceUsage> {
        self.rows.get_mut(index)?.as_mut()
    }

    /// All rows.
    pub fn iter(&self) -> impl Iterator<Item = &WorkspaceUsage> {
        self.rows.iter().flatten()
    }

    /// Number of workspaces.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Applies the limits of new rules.
    pub fn apply_rules(&mut self, rules: &RuleSet) {
        for usage in self.rows.iter_mut().flatten() {
            usage.limits = WorkspaceLimits::of(rules.workspaces.get(&usage.name));
        }
    }

    /// Removes idle workspaces among the next few rows.
    pub fn sweep(&mut self, now: Instant) {
        for _ in 0..ROWS_PER_SWEEP.min(self.rows.len()) {
            self.cursor = (self.cursor + 1) % self.rows.len();
            let idle = self.rows[self.cursor].as_ref().is_some_and(|usage| usage.is_idle(now));
            if idle && let Some(usage) = self.rows[self.cursor].take() {
                self.names.swap_remove(&usage.name);
                self.free.push(self.cursor);
            }
        }
    }
}

impl WorkspaceUsage {
    /// Checks the limits for one more request of this tier with this many tokens, and charges it to the rate
    /// limit. `share` is the fraction of the deployment-wide limits that this process may grant.
    pub fn admit(
        &mut self,
        tier: Tier,
        tokens: u64,
        share: f64,
        now: Instant,
    ) -> Result<(), LimitFault> {
        self.last_used = now;
        if tier > self.limits.tier {
            return Err(LimitFault::Tier(self.limits.tier));
        }
        if self.limits.concurrency == Some(0) {
            return Err(LimitFault::Suspended);
        }
        if let Some(limit) = self.limits.queued_tokens {
            let limit = (limit as f64 * share) as u64;
            // A single request above the limit is admitted when nothing else waits; otherwise it could never
            // run.
            if self.waiting > 0 && self.queued_tokens + tokens > limit {
                return Err(LimitFault::QueuedTokens);
            }
        }
        self.take_rate_token(share, now)
    }

    /// Whether one more request may be in flight.
    pub fn may_dispatch(&self, share: f64) -> bool {
        match self.limits.concurrency {
            Some(limit) => {
                self.in_flight < ((f64::from(limit) * share) as u32).clamp(1.min(limit), limit)
            }
            None => true,
        }
    }

    fn take_rate_token(&mut self, share: f64, now: Instant) -> Result<(), LimitFault> {
        let Some(rate) = self.limits.rate else { return Ok(()) };
        let rate = (rate * share).max(1e-6);
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let burst = (rate * BURST.as_secs_f64()).max(1.0);
        self.rate_tokens = (self.rate_tokens + elapsed * rate).min(burst);
        if self.rate_tokens < 1.0 {
            let missing = (1.0 - self.rate_tokens) / rate;
            return Err(LimitFault::Rate(Duration::from_secs_f64(missing.min(60.0))));
        }
        self.rate_tokens -= 1.0;
        Ok(())
    }

    fn is_idle(&self, now: Instant) -> bool {
        self.in_flight == 0
            && self.waiting == 0
            && now.saturating_duration_since(self.last_used) > IDLE_LIFETIME
    }
}

//! Limits that targets name in their answers for all processes of the fleet together: how many requests per second
//! they accept, and how many they can reject per second for want of room.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

const MILLIONTHS: f64 = 1e6;

/// Requests per second, in millionths so that equal rates compare equal after transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate(u64);

impl RequestRate {
    /// A rate in requests per second; `None` if the value is negative or not finite.
    pub fn from_per_second(value: f64) -> Option<RequestRate> {
        let valid = value.is_finite() && value >= 0.0;
        valid.then_some(RequestRate((value * MILLIONTHS) as u64))
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / MILLIONTHS
    }
}

/// Requests per second that a target can reject for want of room before it fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RejectionLimit(pub u32);

/// What the head of an answer says about a limit of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitStatement<L> {
    /// The target names no limit.
    Unlimited,
    /// The target names this limit for all processes together.
    Limited(L),
    /// The target names something that is not a limit, which counts as none.
    Malformed,
}

/// What the head of an answer says about the rate that its target accepts.
pub type RateStatement = LimitStatement<RequestRate>;
/// What the head of an answer says about the rejections that its target can bear.
pub type RejectionStatement = LimitStatement<RejectionLimit>;

impl<L> LimitStatement<L> {
    /// Name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            LimitStatement::Unlimited => "unlimited",
            LimitStatement::Limited(_) => "limited",
            LimitStatement::Malformed => "malformed",
        }
    }

    /// The limit that applies after this statement.
    pub fn limit(self) -> Option<L> {
        match self {
            LimitStatement::Limited(limit) => Some(limit),
            LimitStatement::Unlimited | LimitStatement::Malformed => None,
        }
    }
}

/// A statement about a limit of a target, with the answer that made it.
#[derive(Debug, Clone, Copy)]
pub struct LimitAnswer<'a, L> {
    /// The caller's id of the request that was answered.
    pub request: &'a str,
    /// Instance that was expected at the target's address.
    pub instance: &'a str,
    /// When the request was sent. The target made the statement at some time since.
    pub sent: Instant,
    /// Statement.
    pub statement: LimitStatement<L>,
}

/// A statement about a target's rate, with the answer that made it.
pub type RateAnswer<'a> = LimitAnswer<'a, RequestRate>;
/// A statement about the rejections that a target can bear, with the answer that made it.
pub type RejectionAnswer<'a> = LimitAnswer<'a, RejectionLimit>;

/// What a digest says about a limit of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNotice<L> {
    /// Identifies the start of the target's process.
    pub restart_id: u64,
    /// The target's last statement.
    pub statement: LimitStatement<L>,
    /// Milliseconds from the time that the statement reflects to the digest.
    pub age_ms: u32,
}

/// What a digest says about the rate that a target accepts.
pub type RateNotice = LimitNotice<RequestRate>;
/// What a digest says about the rejections that a target can bear.
pub type RejectionNotice = LimitNotice<RejectionLimit>;

/// What is believed of a limit of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitBelief<L> {
    /// Last statement.
    pub statement: LimitStatement<L>,
    /// Time that the belief reflects. Limits count from their arrival, their ends and increases from the time
    /// at which the answered request was sent, so that an answer that is late can't lift a newer limit.
    pub as_of: Instant,
    /// When this process learned of the last change, or that a peer doesn't know it yet.
    learned: Instant,
}

impl<L> LimitBelief<L>
where
    L: Copy + Ord,
{
    /// The belief that a target has no limit, as an answer to a request sent at `sent` shows.
    pub fn unlimited(sent: Instant, now: Instant) -> LimitBelief<L> {
        LimitBelief { statement: LimitStatement::Unlimited, as_of: sent, learned: now }
    }

    /// Updates a belief by a statement in an answer to a request that was sent at `sent`. Returns whether the
    /// statement differs from the one before.
    pub fn apply_answer(
        belief: &mut Option<LimitBelief<L>>,
        statement: LimitStatement<L>,
        sent: Instant,
        now: Instant,
    ) -> bool {
        let is_lifted = match (belief.and_then(|known| known.limit()), statement.limit()) {
            (Some(before), Some(after)) => after > before,
            (_, after) => after.is_none(),
        };
        let as_of = if is_lifted { sent } else { now };
        LimitBelief::replace(belief, statement, as_of, now)
    }

    /// Updates a belief by a statement that a peer reports. Returns whether the statement differs from the one
    /// before.
    pub fn apply_report(
        belief: &mut Option<LimitBelief<L>>,
        statement: LimitStatement<L>,
        as_of: Instant,
        now: Instant,
    ) -> bool {
        if let Some(known) = belief.as_mut().filter(|known| known.as_of > as_of)
            && known.limit().is_none()
            && statement.limit().is_some()
        {
            known.learned = now;
        }
        LimitBelief::replace(belief, statement, as_of, now)
    }

    fn replace(
        belief: &mut Option<LimitBelief<L>>,
        statement: LimitStatement<L>,
        as_of: Instant,
        now: Instant,
    ) -> bool {
        match belief {
            None if statement == LimitStatement::Unlimited => false,
            None => {
                *belief = Some(LimitBelief { statement, as_of, learned: now });
                true
            }
            Some(known) if known.as_of >= as_of => false,
            Some(known) if known.statement == statement => {
                known.as_of = as_of;
                false
            }
            Some(known) => {
                *known = LimitBelief { statement, as_of, learned: now };
                true
            }
        }
    }

    /// Makes the belief older.
    pub fn age(&mut self, time: Duration) {
        self.as_of = self.as_of.checked_sub(time).unwrap_or(self.as_of);
    }

    /// The limit that applies.
    pub fn limit(&self) -> Option<L> {
        self.statement.limit()
    }

    /// What digests report of it: limits always, the lack of one for some time after it was learned.
    pub fn notice(
        &self,
        restart_id: u64,
        report_time: Duration,
        now: Instant,
    ) -> Option<LimitNotice<L>> {
        let recent = now.saturating_duration_since(self.learned) < report_time;
        let age = now.saturating_duration_since(self.as_of);
        (self.limit().is_some() || recent).then(|| LimitNotice {
            restart_id,
            statement: self.statement,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        })
    }
}

//! This process's part of the places at targets that name a rejection limit, and of the rejections themselves.
//!
//! A target's places are divided among all processes, the silent ones included, so that no process learns how full
//! a target is by being rejected. Where processes outnumber the places of a target, each place passes from process
//! to process in turns on the clock that the fleet shares. The places of a target change hands one after the other,
//! and so seldom that the rejections that this may cause stay below the limit.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use crate::{
    node::{FleetNode, limits::MEETING_TIME},
    prelude::*,
};

/// Least length of a turn, and the time at its end in which no request begins, since the ones before have to end
/// until the place changes hands.
const MIN_TURN: Duration = Duration::from_secs(3);
const HANDOVER_TIME: Duration = Duration::from_millis(500);
/// Most changes of hands of a target's places a second, as a part of its limit.
const HANDOVER_SHARE: f64 = 0.5;
/// Time in which a target counts its rejections.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);
/// Longest time without requests to a target after its rejections.
const MAX_REST: Duration = Duration::from_secs(30);
/// Time without a confirmation after which a limit ends.
const LIMIT_LIFETIME: Duration = Duration::from_secs(60);

/// Recent rejections at a target that names a limit.
#[derive(Debug, Default)]
pub(super) struct RejectionState {
    recent: VecDeque<Instant>,
    /// Until when this process sends nothing to the target.
    rests_until: Option<Instant>,
    /// Whether no request has succeeded since the last rejection. Only one is in flight at a time until then.
    is_probing: bool,
}

impl RejectionState {
    /// Records a rejection. Returns the time without requests that follows, if this process has used its part of
    /// the limit.
    fn record(&mut self, part: RejectionPart, now: Instant) -> Option<Duration> {
        let is_recent = |time: &Instant| now.saturating_duration_since(*time) < REJECTION_WINDOW;
        self.recent.retain(is_recent);
        self.recent.push_back(now);
        self.is_probing = true;
        let is_used = self.recent.len() >= part.per_second as usize;
        let rest = is_used.then_some(part.interval.clamp(REJECTION_WINDOW, MAX_REST));
        self.rests_until = self.rests_until.max(rest.map(|rest| now + rest));
        rest
    }

    /// Places of the given ones that may be used.
    fn bound(&self, places: u32, now: Instant) -> u32 {
        match self.rests_until {
            Some(until) if now < until => 0,
            _ if self.is_probing => places.min(1),
            _ => places,
        }
    }
}

/// A process's part of a rejection limit.
#[derive(Debug, Clone, Copy)]
struct RejectionPart {
    /// Whole rejections a second.
    per_second: u32,
    /// Mean time between rejections.
    interval: Duration,
}

/// Rejection limits by service: the lowest one that a target of the service names.
pub(super) type ServiceRejectionLimits = IndexMap<ServiceName, RejectionLimit>;

impl FleetNode {
    /// Rejection limits of the services.
    pub(super) fn service_rejection_limits(&self) -> ServiceRejectionLimits {
        let mut limits = ServiceRejectionLimits::new();
        for (target, limit) in self.directory.rejection_limited() {
            let Some(entry) = self.directory.get(target) else { continue };
            let known = limits.entry(entry.listed.service.clone()).or_insert(limit);
            *known = limit.min(*known);
        }
        limits
    }

    /// The rejection limit that applies to a target. One that has not answered yet may have the limit that others
    /// of its service name.
    pub(super) fn rejection_limit(
        &self,
        target: &str,
        services: &ServiceRejectionLimits,
    ) -> Option<RejectionLimit> {
        if services.is_empty() {
            return None;
        }
        let entry = self.directory.get(target)?;
        let has_answered = entry.has_stated_rejections();
        let inherited = services.get(&entry.listed.service).filter(|_| !has_answered).copied();
        entry.rejection_limit().or(inherited)
    }

    /// Places of this process at a target with a rejection limit, of `capacity` in all. `used` are those that peers
    /// use according to their digests.
    pub(super) fn limited_places(
        &mut self,
        target: &TargetName,
        limit: RejectionLimit,
        (capacity, used): (u32, u32),
        is_streamed: bool,
        now: Instant,
    ) -> u32 {
        if now.saturating_duration_since(self.started) < MEETING_TIME {
            return 0;
        }
        let sharing = u32::try_from(self.settled_sharing(now)).unwrap_or(u32::MAX);
        let rank = u32::try_from(self.target_rank(target, None)).unwrap_or(u32::MAX);
        let is_divided = sharing <= capacity;
        let places = if is_divided {
            capacity / sharing + u32::from(rank < capacity % sharing)
        } else {
            let time = self.clock.time(now);
            places_in_turn(PlaceTurns { capacity, sharing, rank, limit }, time)
        };
        // Requests that began before the limit, or in an earlier turn, may still hold places. Calls that are not
        // streamed have ended before a digest can report them.
        let free = capacity.saturating_sub(used);
        let places = if is_divided || is_streamed { places.min(free) } else { places };
        let state = self.targets.get(target).map(|state| &state.rejections);
        state.map_or(places, |state| state.bound(places, now))
    }

    /// Records a rejection by a target, or a success, if the target names a rejection limit.
    pub(super) fn record_rejection(
        &mut self,
        target: &TargetName,
        end: AttemptEnd,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if !matches!(end, AttemptEnd::Rejected | AttemptEnd::Finished) {
            return;
        }
        if end == AttemptEnd::Finished {
            if let Some(state) = self.targets.get_mut(target) {
                state.rejections.is_probing = false;
            }
            return;
        }
        let services = self.service_rejection_limits();
        let Some(limit) = self.rejection_limit(target, &services) else { return };
        let sharing = self.settled_sharing(now);
        let total = limit.0 as usize;
        let rank = self.target_rank(target, None);
        let part = RejectionPart {
            per_second: (total / sharing + usize::from(rank < total % sharing)) as u32,
            interval: REJECTION_WINDOW.mul_f64(sharing as f64 / f64::from(limit.0.max(1))),
        };
        let Some(state) = self.targets.get_mut(target) else { return };
        let rest = state.rejections.record(part, now);
        tracing::info!(
            target_address = &**target,
            limit_per_second = limit.0,
            own_per_second = part.per_second,
            sharing,
            rest_ms = rest.map(|rest| rest.as_millis() as u64),
            "target with a rejection limit rejected a request"
        );
        self.update_targets(now, actions);
    }

    /// Ends rejection limits that nothing has confirmed for long.
    pub(super) fn expire_rejection_limits(&mut self, now: Instant) {
        self.directory.expire_rejection_limits(LIMIT_LIFETIME, now);
    }
}

/// Passing of a target's places from process to process.
#[derive(Debug, Clone, Copy)]
struct PlaceTurns {
    capacity: u32,
    sharing: u32,
    /// Position of this process among those that share the places.
    rank: u32,
    limit: RejectionLimit,
}

/// Number of places in which a process may begin requests at a time on the fleet's clock.
fn places_in_turn(turns: PlaceTurns, time: Duration) -> u32 {
    let PlaceTurns { capacity, sharing, rank, limit } = turns;
    let (capacity_u64, sharing) = (u64::from(capacity), u64::from(sharing));
    let rank = u64::from(rank);
    if limit.0 == 0 {
        return u32::from(rank < capacity_u64);
    }
    let handovers = f64::from(limit.0) * HANDOVER_SHARE;
    let turn = Duration::from_secs_f64(f64::from(capacity) / handovers).max(MIN_TURN);
    let turn_ms = turn.as_millis().max(1) as u64;
    let time_ms = time.as_millis() as u64;
    let last_start = turn_ms.saturating_sub(HANDOVER_TIME.as_millis() as u64);
    let is_own = |place: &u64| {
        let shifted = time_ms + turn_ms * place / capacity_u64;
        let owner = (shifted / turn_ms * capacity_u64 + place) % sharing;
        owner == rank && shifted % turn_ms < last_start
    };
    (0..capacity_u64).filter(is_own).count() as u32
}

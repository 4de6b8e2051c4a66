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
/// Longest time to a turn that is forecast.
const MAX_FORECAST: Duration = Duration::from_secs(600);
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
    /// When this process next has a place at the target, if it has none now.
    next_place: Option<Instant>,
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
        let time = self.clock.time(now);
        let turns = PlaceTurns { capacity, sharing, rank, limit };
        let places = if is_divided {
            capacity / sharing + u32::from(rank < capacity % sharing)
        } else {
            turns.places(time)
        };
        let has_turn = places > 0;
        // Requests that began before the limit, or in an earlier turn, may still hold places. Calls that are not
        // streamed have ended before a digest can report them.
        let free = capacity.saturating_sub(used);
        let places = if is_divided || is_streamed { places.min(free) } else { places };
        let Some(target_state) = self.targets.get_mut(target) else { return places };
        let state = &mut target_state.rejections;
        let rests_until = state.rests_until.filter(|until| now < *until);
        let next_turn = (!has_turn).then(|| now + turns.time_to_place(time));
        state.next_place = next_turn.max(rests_until);
        state.bound(places, now)
    }

    /// Forecasts for the services at whose targets in service this process has no place now: when it next has one.
    /// How many requests it then serves isn't known.
    pub(super) fn place_forecasts(&self, now: Instant) -> IndexMap<ServiceName, StartForecast> {
        let limits = self.service_rejection_limits();
        let mut services: IndexMap<ServiceName, Option<Instant>> = IndexMap::new();
        for (target, entry) in self.directory.iter().filter(|(_, entry)| entry.in_service()) {
            let service = &entry.listed.service;
            if !limits.contains_key(service) {
                continue;
            }
            let is_limited = self.rejection_limit(target, &limits).is_some();
            let state = self.targets.get(target).filter(|_| is_limited);
            let next = state.and_then(|state| state.rejections.next_place);
            let earliest = services.entry(service.clone()).or_insert(next);
            *earliest = earliest.zip(next).map(|(one, other)| one.min(other));
        }
        let forecast = |next: Instant| StartForecast { next, interval: Duration::ZERO };
        let later = |(service, next): (ServiceName, Option<Instant>)| {
            Some((service, forecast(next.filter(|next| *next > now)?)))
        };
        services.into_iter().filter_map(later).collect()
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

impl PlaceTurns {
    fn length_ms(&self) -> u64 {
        let handovers = f64::from(self.limit.0) * HANDOVER_SHARE;
        let turn = Duration::from_secs_f64(f64::from(self.capacity) / handovers).max(MIN_TURN);
        turn.as_millis() as u64
    }

    /// Number of places in which the process may begin requests at a time on the fleet's clock.
    fn places(&self, time: Duration) -> u32 {
        if self.limit.0 == 0 {
            return u32::from(self.rank < self.capacity);
        }
        let turn = self.length_ms();
        let last_start = turn.saturating_sub(HANDOVER_TIME.as_millis() as u64);
        let is_open = |place: &u32| {
            let shifted = self.shifted_ms(*place, time);
            self.owner(*place, shifted / turn) == self.rank && shifted % turn < last_start
        };
        (0..self.capacity).filter(is_open).count() as u32
    }

    /// Time from some time on the fleet's clock until the next place becomes the process's own.
    fn time_to_place(&self, time: Duration) -> Duration {
        if self.limit.0 == 0 {
            return MAX_FORECAST;
        }
        let turn = self.length_ms();
        let next = |place: u32| {
            let shifted = self.shifted_ms(place, time);
            let following = shifted / turn + 1..=shifted / turn + u64::from(self.sharing);
            let own = following.into_iter().find(|one| self.owner(place, *one) == self.rank)?;
            Some(Duration::from_millis(own * turn - shifted))
        };
        (0..self.capacity).filter_map(next).min().unwrap_or(MAX_FORECAST)
    }

    /// The places change hands one after the other.
    fn shifted_ms(&self, place: u32, time: Duration) -> u64 {
        time.as_millis() as u64 + self.length_ms() * u64::from(place) / u64::from(self.capacity)
    }

    /// Position of the process that has a place in a turn.
    fn owner(&self, place: u32, turn: u64) -> u32 {
        ((turn * u64::from(self.capacity) + u64::from(place)) % u64::from(self.sharing)) as u32
    }
}

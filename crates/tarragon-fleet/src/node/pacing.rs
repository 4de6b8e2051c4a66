//! This process's part of the rates that targets name for all processes together.
//!
//! A target's rate is divided into slots of equal length on the clock that the fleet shares. The processes own
//! the slots in turn, in an order on which processes with the same known peers agree, so that the parts add up
//! to the rate however many processes there are, without a message for a request. Silent peers keep their
//! slots until they are forgotten. A slot that is not used lapses after a while: permits that were saved up
//! would be a burst of all processes at once.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::{
    node::{
        FleetNode,
        limits::{MIN_SHARING, SETTLING_TIME},
    },
    prelude::*,
};

/// Least rate of all processes together, in requests per second, so that the end of a lower limit is noticed.
const TRIAL_RATE: f64 = 0.2;
/// Time for which a permit for a start can be used: some time for requests to arrive, and this many slots.
/// Together with the slots of a window of 4 s these are 5 s of the rate and 3 requests; the users' rule allows
/// 6 s of the rate and 5 requests.
const PERMIT_TIME: Duration = Duration::from_secs(1);
const PERMIT_SLOTS: f64 = 2.0;
/// Longest time for which slots are granted at once. Slots before that have passed while the process was
/// paused or its clock was behind, and are lost.
const MAX_GRANT_SPAN: Duration = Duration::from_millis(300);

/// Longest time in a forecast.
const MAX_FORECAST_SECONDS: f64 = 3_600.0;

impl FleetNode {
    /// Tells the scheduler whether a target needs permits for starts, because it names a rate.
    pub(super) fn update_pacing(
        &mut self,
        target: &TargetName,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(target_state) = self.targets.get(target) else { return };
        let is_limited =
            self.directory.get(target).is_some_and(|entry| entry.rate_limit().is_some());
        if is_limited != target_state.paced_to.is_some() {
            self.set_pacing(target, now, actions);
        }
    }

    /// As [`FleetNode::update_pacing`], for a target of which the scheduler may still have an older state.
    pub(super) fn set_pacing(
        &mut self,
        target: &TargetName,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let limit = self.directory.get(target).and_then(|entry| entry.rate_limit());
        let time = self.clock.time(now);
        let Some(target_state) = self.targets.get_mut(target) else { return };
        target_state.paced_to = limit.map(|_| time);
        let event = SchedulerEvent::StartsPaced(target.clone(), limit.is_some());
        self.schedule(now, event, actions);
    }

    /// Passes permits for this process's slots since the last call, and the forecast of the next ones, to the
    /// scheduler.
    pub(super) fn pace_starts(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        let limited: Vec<(TargetName, RequestRate)> = self.directory.limited().collect();
        let mut forecasts = self.place_forecasts(now);
        if !limited.is_empty() {
            self.permit_starts(&limited, now, actions);
            forecasts.extend(self.start_forecasts(now));
        }
        let ended = self.forecasts.keys().filter(|service| !forecasts.contains_key(*service));
        let ended: Vec<ServiceName> = ended.cloned().collect();
        for service in ended {
            self.schedule(now, SchedulerEvent::StartsForecast(service, None), actions);
        }
        for (service, forecast) in &forecasts {
            if self.forecasts.get(service) != Some(forecast) {
                let event = SchedulerEvent::StartsForecast(service.clone(), Some(*forecast));
                self.schedule(now, event, actions);
            }
        }
        self.forecasts = forecasts;
    }

    /// Passes permits for this process's slots since the last call to the scheduler.
    fn permit_starts(
        &mut self,
        limited: &[(TargetName, RequestRate)],
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let time = self.clock.time(now);
        for (target, limit) in limited {
            let rate = limit.per_second().max(TRIAL_RATE);
            let count = self.slots_since_last(target, rate, time);
            if count == 0 || self.is_settling(now) {
                continue;
            }
            let until = now + PERMIT_TIME + Duration::from_secs_f64(PERMIT_SLOTS / rate);
            let target = target.clone();
            let event = SchedulerEvent::StartsPermitted { target, count, until };
            self.schedule(now, event, actions);
        }
    }

    /// Number of slots of this process at a target since the last call.
    fn slots_since_last(&mut self, target: &TargetName, rate: f64, time: Duration) -> u32 {
        let sharing = self.rate_sharing() as f64;
        let rank = self.target_rank(target, None) as f64;
        let Some(target_state) = self.targets.get_mut(target) else { return 0 };
        let Some(paced_to) = &mut target_state.paced_to else { return 0 };
        let last = std::mem::replace(paced_to, time);
        let from = last.max(time.saturating_sub(MAX_GRANT_SPAN));
        let slots_before = |time: Duration| ((time.as_secs_f64() * rate - rank) / sharing).floor();
        (slots_before(time) - slots_before(from)) as u32
    }

    /// Forecasts for the services whose targets in service all name a rate.
    fn start_forecasts(&mut self, now: Instant) -> IndexMap<ServiceName, StartForecast> {
        let mut services: IndexMap<ServiceName, Option<Vec<(TargetName, f64)>>> = IndexMap::new();
        for (target, entry) in self.directory.iter().filter(|(_, entry)| entry.in_service()) {
            let rate = entry.rate_limit().map(|limit| limit.per_second().max(TRIAL_RATE));
            let limited =
                services.entry(entry.listed.service.clone()).or_insert_with(|| Some(Vec::new()));
            match rate {
                Some(rate) => limited.iter_mut().for_each(|all| all.push((target.clone(), rate))),
                None => *limited = None,
            }
        }
        let all_limited = services.into_iter().filter_map(|(name, limited)| Some((name, limited?)));
        Vec::from_iter(all_limited)
            .into_iter()
            .map(|(service, limited)| (service, self.forecast(&limited, now)))
            .collect()
    }

    /// When this process gets its next permits at some targets, given their rates.
    fn forecast(&mut self, limited: &[(TargetName, f64)], now: Instant) -> StartForecast {
        let sharing = self.rate_sharing() as f64;
        let time = self.clock.time(now).as_secs_f64();
        let (mut wait, mut own_rate) = (f64::INFINITY, 0.0);
        for (target, rate) in limited {
            let rank = self.target_rank(target, None) as f64;
            let next_slot = ((time * rate - rank) / sharing).floor() + 1.0;
            wait = wait.min((next_slot * sharing + rank) / rate - time);
            own_rate += rate / sharing;
        }
        let duration =
            |seconds: f64| Duration::from_secs_f64(seconds.clamp(0.0, MAX_FORECAST_SECONDS));
        let settled = self.started + SETTLING_TIME;
        StartForecast {
            next: (now + duration(wait)).max(settled),
            interval: duration(1.0 / own_rate),
        }
    }

    /// Number of processes that named rates are divided by. A process that has never heard from its seeds may
    /// be cut off from a fleet of unknown size.
    fn rate_sharing(&self) -> usize {
        let sharing = self.members.sharing();
        if self.members.is_alone() { sharing.max(MIN_SHARING) } else { sharing }
    }

    /// Number of processes that share a limit, at least [`MIN_SHARING`] until this process may know its peers.
    pub(super) fn settled_sharing(&self, now: Instant) -> usize {
        let sharing = self.rate_sharing();
        if self.is_settling(now) { sharing.max(MIN_SHARING) } else { sharing }
    }
}

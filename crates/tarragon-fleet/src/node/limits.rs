//! Limits of this process at each target: the slots that its peers leave free, request starts at cold
//! targets, the back-off from failing targets, and retries.

use std::time::{Duration, Instant};

use indexmap::IndexSet;
use tarragon_scheduler::retry::RetryLimits;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    digest::{NameKey, name_key},
    node::{CachedRank, FleetNode},
    prelude::*,
};

/// Fraction of the fleet's retry ratio that is used. The rest is left because the sums over all processes lag
/// Length of one process's turn to try a suspected prompt part, and the time from its start in which a trial may
/// begin. The rest is for its outcome to become known to all.
const TRIAL_TURN: Duration = Duration::from_secs(3);
const TRIAL_START_TIME: Duration = Duration::from_millis(500);
/// Key by which processes are ordered for these turns.
const TRIAL_RANK_KEY: u64 = 0;

/// behind.
const RETRY_RATIO_FRACTION: f64 = 0.85;
/// Fraction of the fleet's retry slack that all processes together may accumulate.
const RETRY_SLACK_FRACTION: f64 = 0.5;
/// Number of processes of other data centres that may use a target, and of concurrent requests of each, in
/// fleets whose digests reach the peers of other data centres in rotation.
const MAX_DISTANT_PROCESSES: usize = 2;
const MAX_DISTANT_SLOTS: u32 = 1;
/// Least slots of a process at a target of a service without streams, however many its peers use. Calls
/// reported in a digest have ended before it arrives, so a target that was full is usually free again.
const MIN_UNSTREAMED_SLOTS: u32 = 1;
/// Largest fleet in which slots are updated with each digest. In larger ones they are updated with each tick.
pub(super) const SMALL_FLEET_SIZE: usize = 12;
/// Least number of processes that the retry slack is divided by, since a process that has just started
/// doesn't know its peers.
pub(super) const MIN_SHARING: usize = 8;
/// Time after its start in which a process takes no start at a cold target: others may have started with it, and
/// it can't know yet how many.
pub(super) const MEETING_TIME: Duration = Duration::from_secs(1);
/// Time after its start in which a process may not know its peers yet, and takes the smallest share of a limit.
pub(super) const SETTLING_TIME: Duration = Duration::from_secs(2);

impl FleetNode {
    /// Passes changes of the slots and start limits of all targets to the scheduler.
    pub(super) fn update_targets(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        let local_services = self.local_services();
        let rejection_limits = self.service_rejection_limits();
        let targets: Vec<TargetName> =
            self.directory.iter().map(|(target, _)| target.clone()).collect();
        for target in &targets {
            // The scheduler uses new slots at once, so it needs the limit on starts first.
            self.update_start_limit(target, now, actions);
            self.update_pacing(target, now, actions);
            let used = self.members.in_flight(name_key(target), now);
            let limit = self.rejection_limit(target, &rejection_limits);
            self.update_slots(target, (used, limit), &local_services, now, actions);
        }
        let is_divided = self.targets.values().any(|target_state| target_state.loans.is_some());
        self.scheduler.set_contended(is_divided);
    }

    /// Services with a target in service in this process's data centre.
    fn local_services(&self) -> IndexSet<ServiceName> {
        let entries = self.directory.iter().map(|(_, entry)| entry);
        entries
            .filter(|entry| {
                entry.in_service() && entry.listed.data_centre == self.settings.data_centre
            })
            .map(|entry| entry.listed.service.clone())
            .collect()
    }

    /// Passes the slots that the peers' requests leave free to the scheduler. Digests lag, so two processes
    /// may use the same slot for a moment; the target's own queue absorbs that. Where digests from other data
    /// centres lag by more than the duration of most requests, only a few processes use each distant target,
    /// with one request each. The places of a target that names a rejection limit are divided instead.
    fn update_slots(
        &mut self,
        target: &TargetName,
        (used, rejection_limit): (u32, Option<RejectionLimit>),
        local_services: &IndexSet<ServiceName>,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(entry) = self.directory.get(target) else { return };
        let listed = &entry.listed;
        let told = self.targets.get(target).and_then(|state| state.told_slots);
        let told = told.filter(|told| told.restart == entry.restart_id);
        // Never more than listed: other processes may have seen no answer of the target yet.
        let bears = told.map_or(listed.slots, |told| told.slots.min(listed.slots));
        let cold = entry.is_cold(now);
        let is_limited = entry.rate_limit().is_some();
        let mut slots = bears.saturating_sub(used);
        let distant = listed.data_centre != self.settings.data_centre;
        let is_streamed = !self.unstreamed_services.contains(&listed.service);
        let has_local = local_services.contains(&listed.service);
        let data_centre = name_key(&listed.data_centre);
        let is_divisible = is_streamed && !is_limited && rejection_limit.is_none();
        let divided =
            if is_divisible { self.divided_slots(target, data_centre, bears) } else { None };
        if divided.is_none() {
            self.end_division(target);
        }
        if let Some(divided) = divided {
            slots = divided;
        } else if let Some(limit) = rejection_limit {
            slots = self.limited_places(target, limit, (bears, used), is_streamed, now);
        } else if distant && has_local && self.members.rotates_far_peers() {
            let rank = self.target_rank(target, Some(data_centre));
            // Each process has its own part of a named rate, also at a distant target.
            let uses = rank < MAX_DISTANT_PROCESSES || is_limited;
            slots = if uses { slots.min(MAX_DISTANT_SLOTS) } else { 0 };
        } else if !is_streamed && !cold {
            slots = slots.max(MIN_UNSTREAMED_SLOTS);
        }
        let slots = TargetSlots { target: target.clone(), slots, capacity: bears, cold };
        let Some(target_state) = self.targets.get_mut(target) else { return };
        if target_state.slots.as_ref() != Some(&slots) {
            target_state.slots = Some(slots.clone());
            self.schedule(now, SchedulerEvent::SlotsChanged(slots), actions);
        }
    }

    /// Passes this process's share of the starts at a cold target to the scheduler. The starts are divided
    /// among all processes, the silent ones included.
    pub(super) fn update_start_limit(
        &mut self,
        target: &TargetName,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(entry) = self.directory.get(target) else { return };
        let total = self.cold_starts(&entry.listed.service).filter(|_| entry.is_cold(now));
        let limit = total.map(|total| self.share_of(total, target, now));
        let Some(target_state) = self.targets.get_mut(target) else { return };
        if target_state.start_limit != limit {
            target_state.start_limit = limit;
            let event = SchedulerEvent::StartLimitSet(target.clone(), limit);
            self.schedule(now, event, actions);
        }
    }

    /// Whether this process started so recently that it may not know its peers yet.
    pub fn is_settling(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) < SETTLING_TIME
    }

    /// Position of this process among all that may use a target, or among those outside a data centre. It is
    /// cached until the set of known peers changes.
    pub(super) fn target_rank(&mut self, target: &TargetName, outside: Option<NameKey>) -> usize {
        let generation = self.members.generation();
        let known =
            self.targets.get(target).map(|state| state.ranks[usize::from(outside.is_some())]);
        if let Some(rank) = known.flatten().filter(|rank| rank.generation == generation) {
            return rank.position;
        }
        let key = xxh3_64(target.as_bytes());
        let position = match outside {
            Some(data_centre) => self.members.rank_outside(data_centre, key),
            None => self.members.rank(key),
        };
        if let Some(target_state) = self.targets.get_mut(target) {
            target_state.ranks[usize::from(outside.is_some())] =
                Some(CachedRank { generation, position });
        }
        position
    }

    /// This process's share of a number that is divided among all processes at a target.
    fn share_of(&mut self, total: u32, target: &TargetName, now: Instant) -> u32 {
        let sharing = self.members.sharing();
        if now.saturating_duration_since(self.started) < MEETING_TIME {
            return 0;
        }
        if self.is_settling(now) && sharing < MIN_SHARING {
            return 1;
        }
        let sharing = u32::try_from(sharing).unwrap_or(u32::MAX);
        let rank = u32::try_from(self.target_rank(target, None)).unwrap_or(u32::MAX);
        total / sharing + u32::from(rank < total % sharing)
    }

    /// Tells the scheduler whether it is this process's turn to try a prompt part that is suspected of crashing
    /// targets. Processes take turns on the clock that the fleet shares, so that few requests are at risk.
    pub(super) fn update_trial_turn(&mut self, now: Instant) {
        let time = self.clock.time(now).as_millis();
        let turn = time / TRIAL_TURN.as_millis();
        let is_open = time % TRIAL_TURN.as_millis() < TRIAL_START_TIME.as_millis();
        let owner = turn % self.members.sharing().max(1) as u128;
        let is_own = owner == self.members.rank(TRIAL_RANK_KEY) as u128;
        let is_allowed = is_open && is_own && !self.is_settling(now);
        self.scheduler.set_trial_turn(is_allowed.then_some(turn as u64));
    }

    /// Requests per second that may start at a cold target of a service; `None` if there is no limit.
    fn cold_starts(&self, service: &str) -> Option<u32> {
        let service = self.operator_state.service_configuration(service)?;
        (service.cold_starts > 0.0).then(|| (service.cold_starts as u32).max(1))
    }

    /// Passes this process's share of the fleet's retry limits to the scheduler.
    pub(super) fn update_retries(&mut self) {
        let bounds = self.settings.bounds;
        let sharing = self.members.sharing().max(MIN_SHARING) as f64;
        let saved = bounds.retry_slack * RETRY_SLACK_FRACTION / sharing;
        self.scheduler.set_retry_limits(RetryLimits {
            per_success: bounds.retry_ratio * RETRY_RATIO_FRACTION,
            max_saved: saved,
            floor_rate: 0.0,
            floor_saved: saved,
        });
    }

    /// Records how an attempt at a target ended, and backs off from the target if it fails too often.
    pub(super) fn record_outcome(
        &mut self,
        target: &TargetName,
        end: AttemptEnd,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        self.record_rejection(target, end, now, actions);
        let Some(entry) = self.directory.get(target) else { return };
        let service = entry.listed.service.clone();
        if end == AttemptEnd::NotSent {
            let cold_time = self.operator_state.cold_time(&service);
            self.directory.mark_cold(target, cold_time, now);
        }
        let (service_rate, is_last) = self.service_health(&service, target);
        let Some(target_state) = self.targets.get_mut(target) else { return };
        // The last usable target of a service gets work even if it fails, since there is no better one.
        if target_state.health.record(end, service_rate, now) {
            if is_last {
                target_state.health.cancel_backoff();
                return;
            }
            tracing::warn!(
                target_address = &**target,
                ?end,
                failures = target_state.health.failure_rate,
                common = service_rate,
                "target keeps failing; backing off"
            );
            self.announce_target(target, now, actions);
        }
    }

    /// Mean failure rate of the other targets of a service, and whether all of them are in back-off.
    fn service_health(&self, service: &str, target: &TargetName) -> (f64, bool) {
        let others = self.directory.iter().filter(|(name, entry)| {
            *name != target && &*entry.listed.service == service && entry.in_service()
        });
        let (mut sum, mut count, mut usable) = (0.0, 0, 0);
        for (name, _) in others {
            let Some(state) = self.targets.get(name) else { continue };
            sum += state.health.failure_rate;
            count += 1;
            usable += usize::from(state.health.backoff_until.is_none());
        }
        (sum / f64::from(count.max(1)), usable == 0)
    }

    /// Ends the back-offs that have run out, so that their targets get work again.
    pub(super) fn end_backoffs(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        let mut ended = Vec::new();
        for (target, state) in &mut self.targets {
            if state.health.end_backoff(now) {
                ended.push(target.clone());
            }
        }
        for target in ended {
            tracing::info!(target_address = &*target, "back-off is over; target gets work again");
            self.announce_target(&target, now, actions);
        }
    }

    /// Ends the pauses that have run out, so that the targets that asked for them get work again.
    pub(super) fn end_pauses(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        let ended = self.directory.end_pauses(now);
        if ended.is_empty() {
            return;
        }
        for target in &ended {
            tracing::info!(target_address = &**target, "pause of the target is over");
            self.announce_target(target, now, actions);
        }
        self.update_pauses(now, actions);
    }

    /// Passes a target's entry, and whether the target may get work, to the scheduler.
    pub(super) fn announce_target(
        &mut self,
        target: &TargetName,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(entry) = self.directory.get(target) else { return };
        let is_new = !self.targets.contains_key(target);
        let target_state = self.targets.entry(target.clone()).or_default();
        let event = SchedulerEvent::TargetListed(TargetEntry {
            target: target.clone(),
            service: entry.listed.service.clone(),
            in_service: entry.in_service() && target_state.health.backoff_until.is_none(),
            remote: entry.listed.data_centre != self.settings.data_centre,
            build: Some(entry.build()),
            process: Some(ListedProcess { restart: entry.restart_id, leaving: entry.is_leaving() }),
        });
        self.schedule(now, event, actions);
        if is_new {
            // The scheduler keeps a removed target while it has requests there.
            self.set_pacing(target, now, actions);
        }
    }
}

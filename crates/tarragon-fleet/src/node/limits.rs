//! What this process may do at each target: slots that peers leave free, starts at cold targets, rests of
//! failing targets, and retries.

use std::time::{Duration, Instant};

use indexmap::IndexSet;
use tarragon_scheduler::retry::RetryLimits;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    digest::{NameKey, name_key},
    node::{CachedRank, FleetNode},
    prelude::*,
};

/// Part of the fleet's retry ratio that is used: sums of all processes lag behind.
const RATIO_PART: f64 = 0.85;
/// Part of the fleet's retry slack that all processes together may save up.
const SLACK_PART: f64 = 0.5;
/// Processes of other data centres that use a target, and requests of each, in fleets whose digests take turns.
const DISTANT_USERS: usize = 2;
const DISTANT_SLOTS: u32 = 1;
/// Slots of a process at a target of a plain service, whatever its peers use. Calls that were told in a digest
/// have ended before it arrives, so that a full target is most often free again.
const PLAIN_SLOTS: u32 = 1;
/// Fleet up to which slots are brought up to date with each digest; in larger ones with each tick.
pub(super) const SMALL_FLEET: usize = 12;
/// Processes that share the retry slack at least. A process that has just started doesn't know its peers.
const LEAST_SHARING: usize = 8;
/// In this time after its start a process may not know its peers yet, and takes the least part of a limit.
const UNSETTLED: Duration = Duration::from_secs(2);

impl FleetNode {
    /// Tells the scheduler what has changed of slots and starts at all targets.
    pub(super) fn update_targets(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        let nearby = self.nearby_services();
        let targets: Vec<TargetName> =
            self.directory.iter().map(|(target, _)| target.clone()).collect();
        for target in &targets {
            // New slots are used at once, so that the bound on starts has to be known before.
            self.update_starts(target, now, actions);
            let used = self.members.in_flight(name_key(target), now);
            self.update_slots(target, used, &nearby, now, actions);
        }
    }

    /// Services with a target in service in the own data centre.
    fn nearby_services(&self) -> IndexSet<ServiceName> {
        let entries = self.directory.iter().map(|(_, entry)| entry);
        entries
            .filter(|entry| {
                entry.in_service() && entry.listed.data_centre == self.settings.data_centre
            })
            .map(|entry| entry.listed.service.clone())
            .collect()
    }

    /// Slots that peers' requests leave free. Digests lag, so that processes may use a slot twice for a
    /// moment; the target's own queue takes that up. Where digests of other data centres lag by more than
    /// most requests take, only a few processes use each distant target, with one request each.
    fn update_slots(
        &mut self,
        target: &TargetName,
        used: u32,
        nearby: &IndexSet<ServiceName>,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(entry) = self.directory.get(target) else { return };
        let listed = &entry.listed;
        let bears = listed.slots;
        let cold = entry.is_cold(now);
        let mut slots = bears.saturating_sub(used);
        let distant = listed.data_centre != self.settings.data_centre;
        if distant && nearby.contains(&listed.service) && self.members.far_in_turns() {
            let data_centre = name_key(&listed.data_centre);
            let rank = self.target_rank(target, Some(data_centre));
            slots = if rank < DISTANT_USERS { slots.min(DISTANT_SLOTS) } else { 0 };
        } else if self.plain_services.contains(&listed.service) && !cold {
            slots = slots.max(PLAIN_SLOTS);
        }
        let slots = TargetSlots { target: target.clone(), slots, capacity: bears, cold };
        let Some(terms) = self.terms.get_mut(target) else { return };
        if terms.slots.as_ref() != Some(&slots) {
            terms.slots = Some(slots.clone());
            self.schedule(now, SchedulerEvent::SlotsChanged(slots), actions);
        }
    }

    /// Divides what a cold target bears among all processes, the silent ones included.
    pub(super) fn update_starts(
        &mut self,
        target: &TargetName,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(entry) = self.directory.get(target) else { return };
        let starts = self.cold_starts(&entry.listed.service).filter(|_| entry.is_cold(now));
        let limit = starts.map(|starts| self.share_of(starts, target, now));
        let Some(terms) = self.terms.get_mut(target) else { return };
        if terms.starts != limit {
            terms.starts = limit;
            let event = SchedulerEvent::StartLimitSet(target.clone(), limit);
            self.schedule(now, event, actions);
        }
    }

    /// Whether this process started so short a time ago that it may not know its peers yet.
    pub(super) fn is_unsettled(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) < UNSETTLED
    }

    /// Position of this process among all that may use a target, or among those outside of a data centre. It is
    /// kept until the known peers change.
    fn target_rank(&mut self, target: &TargetName, outside: Option<NameKey>) -> usize {
        let generation = self.members.generation();
        let known = self.terms.get(target).map(|terms| terms.ranks[usize::from(outside.is_some())]);
        if let Some(rank) = known.flatten().filter(|rank| rank.generation == generation) {
            return rank.position;
        }
        let key = xxh3_64(target.as_bytes());
        let position = match outside {
            Some(data_centre) => self.members.rank_outside(data_centre, key),
            None => self.members.rank(key),
        };
        if let Some(terms) = self.terms.get_mut(target) {
            terms.ranks[usize::from(outside.is_some())] = Some(CachedRank { generation, position });
        }
        position
    }

    /// This process's part of a number that all processes share at a target.
    fn share_of(&mut self, total: u32, target: &TargetName, now: Instant) -> u32 {
        let sharing = self.members.sharing();
        if self.is_unsettled(now) && sharing < LEAST_SHARING {
            return 1;
        }
        let sharing = u32::try_from(sharing).unwrap_or(u32::MAX);
        let rank = u32::try_from(self.target_rank(target, None)).unwrap_or(u32::MAX);
        total / sharing + u32::from(rank < total % sharing)
    }

    /// Requests that a cold target of a service bears in a second; `None` if it bears any number.
    fn cold_starts(&self, service: &str) -> Option<u32> {
        let terms = self.operator.service_configuration(service)?;
        (terms.cold_starts > 0.0).then(|| (terms.cold_starts as u32).max(1))
    }

    /// Retries that this process may make, as its part of what the fleet may make.
    pub(super) fn update_retries(&mut self) {
        let bounds = self.settings.bounds;
        let sharing = self.members.sharing().max(LEAST_SHARING) as f64;
        let saved = bounds.retry_slack * SLACK_PART / sharing;
        self.scheduler.set_retry_limits(RetryLimits {
            per_success: bounds.retry_ratio * RATIO_PART,
            max_saved: saved,
            floor_rate: 0.0,
            floor_saved: saved,
        });
    }

    /// Notes how an attempt at a target ended, and leaves the target alone if it fails too often.
    pub(super) fn judge_target(
        &mut self,
        target: &TargetName,
        end: AttemptEnd,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(entry) = self.directory.get(target) else { return };
        let service = entry.listed.service.clone();
        if end == AttemptEnd::NotSent {
            let cold_time = self.operator.cold_time(&service);
            self.directory.suspect(target, cold_time, now);
        }
        let (common, last) = self.service_health(&service, target);
        let Some(terms) = self.terms.get_mut(target) else { return };
        // The last target of a service gets work however it fails: there is no better one.
        if terms.health.take(end, common, now) {
            if last {
                terms.health.resting = None;
                return;
            }
            tracing::warn!(
                target_address = &**target,
                ?end,
                failures = terms.health.failures,
                common,
                "target fails; it gets no work for a while"
            );
            self.list_target(target, now, actions);
        }
    }

    /// Mean rate of failures at the other targets of a service, and whether none of them is in use.
    fn service_health(&self, service: &str, target: &TargetName) -> (f64, bool) {
        let others = self.directory.iter().filter(|(name, entry)| {
            *name != target && &*entry.listed.service == service && entry.in_service()
        });
        let (mut sum, mut count, mut awake) = (0.0, 0, 0);
        for (name, _) in others {
            let Some(terms) = self.terms.get(name) else { continue };
            sum += terms.health.failures;
            count += 1;
            awake += usize::from(terms.health.resting.is_none());
        }
        (sum / f64::from(count.max(1)), awake == 0)
    }

    /// Gives targets work again whose rest is over.
    pub(super) fn wake_targets(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        let mut awake = Vec::new();
        for (target, terms) in &mut self.terms {
            if terms.health.wake(now) {
                awake.push(target.clone());
            }
        }
        for target in awake {
            tracing::info!(target_address = &*target, "target is tried again");
            self.list_target(&target, now, actions);
        }
    }

    /// Gives targets work again that wanted none for a time which is over.
    pub(super) fn end_pauses(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        let over = self.directory.end_pauses(now);
        if over.is_empty() {
            return;
        }
        for target in &over {
            tracing::info!(target_address = &**target, "target takes requests again");
            self.list_target(target, now, actions);
        }
        self.update_pauses(now, actions);
    }

    /// Tells the scheduler whether a target may get work.
    pub(super) fn list_target(
        &mut self,
        target: &TargetName,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(entry) = self.directory.get(target) else { return };
        let terms = self.terms.entry(target.clone()).or_default();
        let event = SchedulerEvent::TargetListed(TargetEntry {
            target: target.clone(),
            service: entry.listed.service.clone(),
            in_service: entry.in_service() && terms.health.resting.is_none(),
            remote: entry.listed.data_centre != self.settings.data_centre,
            process: Some(ListedProcess { restart: entry.restart, leaving: entry.is_leaving() }),
        });
        self.schedule(now, event, actions);
    }
}

//! Directory of the registered targets: which instance runs at which address, and whether it is cold,
//! leaving, paused or missing from the listing.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    build::build_key,
    hash::update_field,
    prelude::*,
    published::{InstanceName, StoreEra, StorePosition},
};

/// Time without a listing after which an outage of the store is assumed. Entries may then have lapsed
/// although their targets are alive, since targets couldn't renew them.
const OUTAGE: Duration = Duration::from_millis(2_500);
/// Time after an outage of the store within which targets restore their lapsed entries, by the platform's
/// description.
const RETURN_TIME: Duration = Duration::from_millis(2_200);
/// Time for which a target's notice is kept after its entry is gone. A leaving target still serves for some
/// seconds after that, and an older listing from another process may bring its entry back.
const NOTICE_RETENTION: Duration = Duration::from_secs(60);
/// Time after an outage of the store in which entries may be outdated. Entries that no target renews lapse
/// within it.
const RENEWAL_TIME: Duration = Duration::from_secs(5);
/// Longest pause that a target may ask for. It is also the longest retry time given to callers.
const LONGEST_PAUSE: Duration = Duration::from_secs(600);

/// State that a target has reported in its answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// Since when it is known to be leaving.
    pub leaving: Option<Instant>,
    /// Until when it wants no requests from this process.
    pub paused: Option<Instant>,
    /// The rate that it accepts, once it has named one.
    pub rate: Option<LimitBelief<RequestRate>>,
    /// The rejections that it can bear, once it has named a limit or has shown that it has none.
    pub rejections: Option<LimitBelief<RejectionLimit>>,
}

impl TargetNotice {
    /// Whether it allows new work.
    fn allows_work(&self) -> bool {
        self.leaving.is_none() && self.paused.is_none()
    }
}

/// One target with its state.
#[derive(Debug, Clone)]
pub struct DirectoryEntry {
    /// Its entry in the listing.
    pub listed: ListedTarget,
    /// Identifies the start of its process.
    pub restart_id: u64,
    /// Until when it counts as cold.
    pub cold_until: Option<Instant>,
    /// Since when its entry has been missing from the listing.
    missing: Option<Instant>,
    /// Whether its data centre has been taken out of service.
    evacuated: bool,
    /// Whether another process has answered at the address since the entry was written.
    replaced: bool,
    /// State reported in the target's answers. It takes precedence over the entry, which is older.
    notice: TargetNotice,
}

impl DirectoryEntry {
    /// Whether it may get new work.
    pub fn in_service(&self) -> bool {
        self.is_available() && self.notice.allows_work()
    }

    /// Whether it may get new work once a pause that it has asked for is over.
    fn is_available(&self) -> bool {
        !self.is_leaving() && !self.evacuated && !self.replaced
    }

    /// Whether it is about to stop, according to its entry or its answers.
    pub fn is_leaving(&self) -> bool {
        self.listed.leaving || self.notice.leaving.is_some()
    }

    /// Whether the current listing has its entry.
    pub fn is_listed(&self) -> bool {
        self.missing.is_none()
    }

    /// Rate that it accepts from all processes together; `None` for no limit.
    pub fn rate_limit(&self) -> Option<RequestRate> {
        self.notice.rate?.limit()
    }

    /// Rejections for want of room that it has said it can bear per second from all processes together; `None` for
    /// no limit.
    pub fn rejection_limit(&self) -> Option<RejectionLimit> {
        self.notice.rejections?.limit()
    }

    /// Whether anything is known of its rejection limit.
    pub fn has_stated_rejections(&self) -> bool {
        self.notice.rejections.is_some()
    }

    /// Build of its software.
    pub fn build(&self) -> BuildKey {
        build_key(&self.listed.service, &self.listed.build)
    }

    /// Whether it counts as cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }
}

/// A change by a new listing.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectoryChange {
    /// A target is new, or its entry has changed.
    Changed(TargetName),
    /// Another process runs at the target's address.
    Restarted(TargetName),
    /// A target that was leaving is gone.
    Removed(TargetName),
    /// The entry of a target is gone, and the target had not reported that it was leaving.
    Lapsed(TargetName),
}

/// What is remembered of a target whose entry is gone.
#[derive(Debug, Clone, Copy)]
struct GoneTarget {
    notice: TargetNotice,
    /// Sequence number of its last entry.
    sequence: u64,
    /// Since when the entry is gone.
    since: Instant,
}

/// All targets by address.
#[derive(Debug, Default)]
pub struct TargetDirectory {
    entries: IndexMap<TargetName, DirectoryEntry>,
    /// When the current listing was read from the store.
    read_at: Option<Instant>,
    /// When the first listing after an outage of the store was read.
    returned: Option<Instant>,
    /// Position in the history of the store at which it was read.
    position: StorePosition,
    /// When the first listing of the current era was read, unless it is the first one known.
    era_began: Option<Instant>,
    /// A later era of which another part of the store has told, and when.
    next_era: Option<(StoreEra, Instant)>,
    /// The targets of the current listing, for peers.
    listed: Vec<ListedTarget>,
    /// Hash of the content of the current listing.
    hash: u64,
    /// Targets whose entries are gone, by restart id.
    gone: IndexMap<u64, GoneTarget>,
    /// Services that the configuration names; empty if there is none.
    named_services: IndexSet<ServiceName>,
    /// Whether any target names a rejection limit.
    has_rejection_limits: bool,
}

impl TargetDirectory {
    /// The target at an address.
    pub fn get(&self, target: &str) -> Option<&DirectoryEntry> {
        self.entries.get(target)
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetName, &DirectoryEntry)> {
        self.entries.iter()
    }

    /// Hash of the content of the current listing.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Records that a peer has read the same listing at a later time.
    pub fn confirm(&mut self, read_at: Instant) {
        self.read_at = self.read_at.map(|known| known.max(read_at));
    }

    /// The current listing, for a peer that can't read the store.
    pub fn listing(&self) -> TargetListing {
        let StorePosition { era, revision } = self.position;
        TargetListing { era, revision, targets: self.listed.clone() }
    }

    /// Time since the current listing was read.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.read_at.map(|read_at| now.saturating_duration_since(read_at))
    }

    /// When the current listing was read, if targets have had time to renew their entries since the last
    /// outage of the store.
    pub fn read_after_renewal(&self) -> Option<Instant> {
        let read_at = self.read_at?;
        let recent = |returned| read_at.saturating_duration_since(returned) < RENEWAL_TIME;
        (!self.returned.is_some_and(recent)).then_some(read_at)
    }

    /// Sets the services that the configuration names. Their targets are preferred to others at the same
    /// address.
    pub fn set_named_services(&mut self, services: IndexSet<ServiceName>) {
        self.named_services = services;
    }

    /// Applies a listing that was read at `read_at`, unless it is older than the current one. `cold_time`
    /// returns for how long targets of a service are cold after a start.
    pub fn apply_listing<C>(
        &mut self,
        listing: &TargetListing,
        read_at: Instant,
        cold_time: C,
    ) -> Vec<DirectoryChange>
    where
        C: Fn(&str) -> Duration,
    {
        let position = StorePosition { era: listing.era, revision: listing.revision };
        if self.read_at.is_some_and(|known| known >= read_at) || position < self.position {
            return Vec::new();
        }
        let is_first = self.read_at.is_none();
        if self.read_at.is_some_and(|known| read_at.saturating_duration_since(known) > OUTAGE) {
            self.returned = Some(read_at);
        }
        if !is_first && position.era != self.position.era {
            self.start_era(position, read_at);
        }
        self.read_at = Some(read_at);
        self.position = position;
        // A peer may have read entries that this process doesn't use.
        let usable = listing.targets.iter().filter(|listed| listed.fault().is_none());
        self.listed = usable.cloned().collect();
        self.hash = listing_hash(&self.listed);
        let mut changes = Vec::new();
        let mut newest = newest_by_address(&self.listed, &self.named_services);
        newest.retain(|_, listed| !self.is_lost_removal(listed, read_at));
        for (target, listed) in &newest {
            let cold_time = cold_time(&listed.service);
            changes.extend(self.apply_entry(target, listed, read_at, cold_time, is_first));
        }
        self.remove_missing(&newest, read_at, &mut changes);
        changes
    }

    /// Records that the store has come back from an older copy, as another part of it tells. The listing may show that
    /// much later: processes that leave the reading to others get a new one only once its content has changed.
    pub fn note_era(&mut self, era: StoreEra, now: Instant) {
        let known = self.next_era.map_or(self.position.era, |(next, _)| next);
        if self.read_at.is_some() && era > known {
            self.next_era = Some((era, now));
        }
    }

    /// Handles that the store has come back from an older copy: targets that registered since get time to do so
    /// again, and those that were leaving still are, whatever the copy says.
    fn start_era(&mut self, position: StorePosition, read_at: Instant) {
        tracing::warn!(
            era = position.era,
            known_era = self.position.era,
            revision = position.revision,
            known_revision = self.position.revision,
            "store has come back from an older copy"
        );
        let noted = self.next_era.take().filter(|(era, _)| *era == position.era);
        let began = noted.map_or(read_at, |(_, noted)| noted.min(read_at));
        self.returned = Some(began);
        self.era_began = Some(began);
        for entry in self.entries.values_mut().filter(|entry| entry.listed.leaving) {
            entry.notice.leaving.get_or_insert(read_at);
        }
    }

    /// Whether an entry is from an older copy of the store, and its target is known to be gone since: it has
    /// not been written again.
    fn is_lost_removal(&self, listed: &ListedTarget, read_at: Instant) -> bool {
        let recent = |began| read_at.saturating_duration_since(began) < RENEWAL_TIME;
        let restart_id = restart_id(&listed.instance, listed.started_ms);
        self.era_began.is_some_and(|began| {
            let gone = self.gone.get(&restart_id).filter(|gone| gone.since < began);
            recent(began) && gone.is_some_and(|gone| listed.sequence <= gone.sequence)
        })
    }

    /// Adds a target, or updates it by its entry. `is_first` tells that no listing was known before.
    fn apply_entry(
        &mut self,
        target: &TargetName,
        listed: &ListedTarget,
        now: Instant,
        cold_time: Duration,
        is_first: bool,
    ) -> Option<DirectoryChange> {
        let restart_id = restart_id(&listed.instance, listed.started_ms);
        let reported_cold = (listed.cold_left > Duration::ZERO).then(|| now + listed.cold_left);
        let Some(entry) = self.entries.get_mut(target) else {
            // Targets in the first listing of this process may have been running for a long time.
            let presumed_cold = (!is_first).then(|| now + cold_time);
            let cold_until = reported_cold.max(presumed_cold);
            let listed = listed.clone();
            tracing::info!(
                target_address = &**target,
                instance = &*listed.instance,
                service = &*listed.service,
                data_centre = &*listed.data_centre,
                build = &*listed.build,
                revision = listed.revision,
                leaving = listed.leaving,
                cold_ms = listed.cold_left.as_millis() as u64,
                "target is listed"
            );
            let entry = DirectoryEntry {
                listed,
                restart_id,
                cold_until,
                missing: None,
                evacuated: false,
                replaced: false,
                notice: self.gone.get(&restart_id).map(|gone| gone.notice).unwrap_or_default(),
            };
            self.entries.insert(target.clone(), entry);
            return Some(DirectoryChange::Changed(target.clone()));
        };
        entry.missing = None;
        // The remaining cold time counts from the heartbeat that reported it.
        let is_renewed = listed.revision != entry.listed.revision;
        let reported_cold = reported_cold.filter(|_| is_renewed);
        entry.listed.revision = listed.revision;
        entry.listed.sequence = entry.listed.sequence.max(listed.sequence);
        let restarted = entry.restart_id != restart_id;
        let unchanged = !restarted
            && entry.listed.leaving == listed.leaving
            && entry.listed.slots == listed.slots
            && entry.listed.service == listed.service
            && entry.listed.build == listed.build
            && reported_cold
                .is_none_or(|until| entry.cold_until.is_some_and(|known| known >= until));
        if unchanged {
            return None;
        }
        tracing::info!(
            target_address = &**target,
            instance = &*listed.instance,
            service = &*listed.service,
            build = &*listed.build,
            revision = listed.revision,
            leaving = listed.leaving,
            restarted,
            cold_ms = listed.cold_left.as_millis() as u64,
            "target has changed"
        );
        entry.listed = listed.clone();
        entry.cold_until = entry.cold_until.max(reported_cold);
        if !restarted {
            return Some(DirectoryChange::Changed(target.clone()));
        }
        entry.restart_id = restart_id;
        entry.replaced = false;
        entry.notice = TargetNotice::default();
        entry.cold_until = reported_cold.max(Some(now + cold_time));
        Some(DirectoryChange::Restarted(target.clone()))
    }

    /// Removes targets without an entry. After an outage of the store, their entries get time to return.
    fn remove_missing(
        &mut self,
        newest: &IndexMap<TargetName, ListedTarget>,
        now: Instant,
        changes: &mut Vec<DirectoryChange>,
    ) {
        let recent = |since: Instant| now.saturating_duration_since(since) < RETURN_TIME;
        let returning = self.returned.is_some_and(recent);
        let gone = &mut self.gone;
        gone.retain(|_, target| now.saturating_duration_since(target.since) < NOTICE_RETENTION);
        self.entries.retain(|target, entry| {
            if newest.contains_key(target) {
                return true;
            }
            let missing = *entry.missing.get_or_insert(now);
            if returning && !entry.listed.leaving && recent(missing) {
                return true;
            }
            tracing::info!(
                target_address = &**target,
                instance = &*entry.listed.instance,
                was_leaving = entry.listed.leaving,
                "target is gone"
            );
            let gone_target =
                GoneTarget { notice: entry.notice, sequence: entry.listed.sequence, since: now };
            gone.insert(entry.restart_id, gone_target);
            changes.push(if entry.is_leaving() {
                DirectoryChange::Removed(target.clone())
            } else {
                DirectoryChange::Lapsed(target.clone())
            });
            false
        });
    }

    /// Updates which targets are in evacuated data centres. Returns the targets that have changed. A target
    /// that returns to service counts as cold for `cold_time`, since it may have been restarted meanwhile.
    pub fn set_evacuated<E, C>(
        &mut self,
        is_evacuated: E,
        cold_time: C,
        now: Instant,
    ) -> Vec<TargetName>
    where
        E: Fn(&str) -> bool,
        C: Fn(&str) -> Duration,
    {
        let mut changed = Vec::new();
        for (target, entry) in &mut self.entries {
            let evacuated = is_evacuated(&entry.listed.data_centre);
            if evacuated == entry.evacuated {
                continue;
            }
            entry.evacuated = evacuated;
            if !evacuated {
                entry.cold_until =
                    entry.cold_until.max(Some(now + cold_time(&entry.listed.service)));
            }
            changed.push(target.clone());
        }
        changed
    }

    /// Counts a target as cold from now on, since it may have been restarted.
    pub fn mark_cold(&mut self, target: &str, cold_time: Duration, now: Instant) {
        if let Some(entry) = self.entries.get_mut(target) {
            entry.cold_until = entry.cold_until.max(Some(now + cold_time));
        }
    }

    /// Marks a target as replaced, since another instance answered at its address. The address gets no work
    /// until the entry of the new instance is read. Returns whether this is a change.
    pub fn mark_replaced(&mut self, target: &str, instance: &str) -> bool {
        let Some(entry) = self.entries.get_mut(target) else { return false };
        if &*entry.listed.instance != instance || entry.replaced {
            return false;
        }
        tracing::info!(
            target_address = target,
            instance,
            "another instance has the target's address"
        );
        entry.replaced = true;
        true
    }

    /// Marks the instance at an address as leaving, as its answers report. Returns whether this is a change.
    pub fn mark_leaving(&mut self, target: &str, instance: &str, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(target) else { return false };
        if &*entry.listed.instance != instance || entry.notice.leaving.is_some() {
            return false;
        }
        tracing::info!(
            target_address = target,
            instance,
            revision = entry.listed.revision,
            "target reports that it is leaving"
        );
        entry.notice.leaving = Some(now);
        true
    }

    /// Marks the target with this restart id as leaving, as a peer reports. Returns the target if this is a
    /// change.
    pub fn mark_leaving_by_id(&mut self, restart_id: u64, now: Instant) -> Option<TargetName> {
        let (target, entry) =
            self.entries.iter_mut().find(|(_, entry)| entry.restart_id == restart_id)?;
        if entry.notice.leaving.is_some() {
            return None;
        }
        tracing::info!(
            target_address = &**target,
            instance = &*entry.listed.instance,
            revision = entry.listed.revision,
            "a peer reports that the target is leaving"
        );
        entry.notice.leaving = Some(now);
        Some(target.clone())
    }

    /// Restart ids of the targets that became known as leaving within the last `span`.
    pub fn recently_leaving(&self, span: Duration, now: Instant) -> Vec<u64> {
        let recent = |since: Instant| now.saturating_duration_since(since) < span;
        let entries = self.entries.values();
        entries
            .filter(|entry| entry.notice.leaving.is_some_and(recent))
            .map(|entry| entry.restart_id)
            .collect()
    }

    /// Applies what an answer says about the rate that its target accepts. Returns whether the limit has
    /// changed.
    pub fn apply_rate(&mut self, target: &str, answer: &RateAnswer<'_>, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(target) else { return false };
        if &*entry.listed.instance != answer.instance {
            return false;
        }
        let before = entry.rate_limit();
        let (statement, sent) = (answer.statement, answer.sent);
        if !LimitBelief::apply_answer(&mut entry.notice.rate, statement, sent, now) {
            return false;
        }
        tracing::info!(
            target_address = target,
            instance = answer.instance,
            request = answer.request,
            statement = statement.name(),
            per_second = statement.limit().map(RequestRate::per_second),
            before_per_second = before.map(RequestRate::per_second),
            age_ms = now.saturating_duration_since(sent).as_millis() as u64,
            "target's rate limit has changed"
        );
        entry.rate_limit() != before
    }

    /// Applies what a peer reports about the rate that a target accepts, as of some time. Returns the target
    /// if the limit has changed.
    pub fn apply_reported_rate(
        &mut self,
        notice: &RateNotice,
        as_of: Instant,
        now: Instant,
    ) -> Option<TargetName> {
        let id = notice.restart_id;
        let (target, entry) = self.entries.iter_mut().find(|(_, entry)| entry.restart_id == id)?;
        let before = entry.rate_limit();
        let statement = notice.statement;
        if !LimitBelief::apply_report(&mut entry.notice.rate, statement, as_of, now) {
            return None;
        }
        tracing::info!(
            target_address = &**target,
            instance = &*entry.listed.instance,
            statement = statement.name(),
            per_second = statement.limit().map(RequestRate::per_second),
            before_per_second = before.map(RequestRate::per_second),
            age_ms = now.saturating_duration_since(as_of).as_millis() as u64,
            "a peer reports that the target's rate limit has changed"
        );
        (entry.rate_limit() != before).then(|| target.clone())
    }

    /// Makes what targets have said about their limits older.
    pub fn age_limits(&mut self, time: Duration) {
        for entry in self.entries.values_mut() {
            entry.notice.rate.iter_mut().for_each(|belief| belief.age(time));
            entry.notice.rejections.iter_mut().for_each(|belief| belief.age(time));
        }
    }

    /// Applies what an answer says about the rejections that its target can bear. Returns whether the limit has
    /// changed.
    pub fn apply_rejections(
        &mut self,
        target: &str,
        answer: &RejectionAnswer<'_>,
        now: Instant,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(target) else { return false };
        if &*entry.listed.instance != answer.instance {
            return false;
        }
        let before = entry.rejection_limit();
        let (statement, sent) = (answer.statement, answer.sent);
        if self.has_rejection_limits && entry.notice.rejections.is_none() {
            // Until now, the limit that others of its service name counted for it.
            entry.notice.rejections = Some(LimitBelief::unlimited(sent, now));
        }
        if !LimitBelief::apply_answer(&mut entry.notice.rejections, statement, sent, now) {
            return false;
        }
        tracing::info!(
            target_address = target,
            instance = answer.instance,
            request = answer.request,
            statement = statement.name(),
            per_second = statement.limit().map(|limit| limit.0),
            before_per_second = before.map(|limit| limit.0),
            age_ms = now.saturating_duration_since(sent).as_millis() as u64,
            "target's rejection limit has changed"
        );
        let changed = entry.rejection_limit() != before;
        self.note_rejection_limits();
        changed
    }

    /// Applies what a peer reports about the rejections that a target can bear, as of some time. Returns whether
    /// the limit has changed.
    pub fn apply_reported_rejections(
        &mut self,
        notice: &RejectionNotice,
        as_of: Instant,
        now: Instant,
    ) -> bool {
        let id = notice.restart_id;
        let entry = self.entries.iter_mut().find(|(_, entry)| entry.restart_id == id);
        let Some((target, entry)) = entry else { return false };
        let before = entry.rejection_limit();
        let statement = notice.statement;
        if !LimitBelief::apply_report(&mut entry.notice.rejections, statement, as_of, now) {
            return false;
        }
        tracing::info!(
            target_address = &**target,
            instance = &*entry.listed.instance,
            statement = statement.name(),
            per_second = statement.limit().map(|limit| limit.0),
            before_per_second = before.map(|limit| limit.0),
            age_ms = now.saturating_duration_since(as_of).as_millis() as u64,
            "a peer reports that the target's rejection limit has changed"
        );
        let changed = entry.rejection_limit() != before;
        self.note_rejection_limits();
        changed
    }

    /// Ends the rejection limits that no answer has confirmed for `lifetime`.
    pub fn expire_rejection_limits(&mut self, lifetime: Duration, now: Instant) {
        for (target, entry) in &mut self.entries {
            let is_old = |belief: &mut LimitBelief<RejectionLimit>| {
                now.saturating_duration_since(belief.as_of) >= lifetime
            };
            if let Some(belief) = entry.notice.rejections.take_if(is_old)
                && belief.limit().is_some()
            {
                tracing::info!(
                    target_address = &**target,
                    instance = &*entry.listed.instance,
                    "target's rejection limit has ended: no answer has confirmed it"
                );
            }
        }
        self.note_rejection_limits();
    }

    fn note_rejection_limits(&mut self) {
        let has_any = self.rejection_limited().next().is_some();
        self.has_rejection_limits = has_any;
    }

    /// Targets that name a rejection limit.
    pub fn rejection_limited(&self) -> impl Iterator<Item = (&TargetName, RejectionLimit)> {
        let limit = |(target, entry)| {
            let entry: &DirectoryEntry = entry;
            Some((target, entry.rejection_limit()?))
        };
        self.entries.iter().filter_map(limit)
    }

    /// What digests report about the rejections that targets can bear. `report_time` is the time for which the end
    /// of a limit is reported.
    pub fn rejection_notices(&self, report_time: Duration, now: Instant) -> Vec<RejectionNotice> {
        let notice = |entry: &DirectoryEntry| {
            entry.notice.rejections?.notice(entry.restart_id, report_time, now)
        };
        self.entries.values().filter_map(notice).collect()
    }

    /// Targets that name a rate limit, with the limits.
    pub fn limited(&self) -> impl Iterator<Item = (TargetName, RequestRate)> {
        let limit = |(target, entry): (&TargetName, &DirectoryEntry)| {
            Some((target.clone(), entry.rate_limit()?))
        };
        self.entries.iter().filter_map(limit)
    }

    /// What digests report about the rates of targets. `report_time` is the time for which the end of a limit
    /// is reported.
    pub fn rate_notices(&self, report_time: Duration, now: Instant) -> Vec<RateNotice> {
        let notice =
            |entry: &DirectoryEntry| entry.notice.rate?.notice(entry.restart_id, report_time, now);
        self.entries.values().filter_map(notice).collect()
    }

    /// Pauses the target, whose instance wants no requests from this process for `time`. A later answer may
    /// extend the pause, but doesn't shorten it. Returns whether this is a change.
    pub fn pause(&mut self, target: &str, instance: &str, time: Duration, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(target) else { return false };
        let until = now + time.min(LONGEST_PAUSE);
        if &*entry.listed.instance != instance
            || entry.notice.paused.is_some_and(|known| known >= until)
        {
            return false;
        }
        tracing::info!(
            target_address = target,
            instance,
            pause_ms = time.as_millis() as u64,
            "target asked for a pause"
        );
        entry.notice.paused = Some(until);
        true
    }

    /// Ends the pauses that have run out. Returns their targets.
    pub fn end_pauses(&mut self, now: Instant) -> Vec<TargetName> {
        let ended = self.entries.iter_mut().filter_map(|(target, entry)| {
            entry.notice.paused.take_if(|until| *until <= now).map(|_| target.clone())
        });
        ended.collect()
    }

    /// When the first pause of a service's targets ends, if all its available targets are paused.
    pub fn service_paused_until(&self, service: &str) -> Option<Instant> {
        let mut earliest = None;
        for entry in self.entries.values() {
            if &*entry.listed.service != service || !entry.is_available() {
                continue;
            }
            let until = entry.notice.paused?;
            earliest = Some(earliest.map_or(until, |known: Instant| known.min(until)));
        }
        earliest
    }
}

/// Selects one entry for each address: of those with a service that is named, that of the process that started
/// last.
fn newest_by_address(
    targets: &[ListedTarget],
    named: &IndexSet<ServiceName>,
) -> IndexMap<TargetName, ListedTarget> {
    let mut newest: IndexMap<TargetName, ListedTarget> = IndexMap::new();
    for listed in targets {
        let order = |one: &ListedTarget| {
            (named.contains(&one.service), one.started_ms, !one.leaving, one.revision)
        };
        match newest.get_mut(&listed.address) {
            Some(known) if order(known) >= order(listed) => {}
            Some(known) => *known = listed.clone(),
            None => {
                newest.insert(listed.address.clone(), listed.clone());
            }
        }
    }
    newest
}

/// Hash of the parts of a listing that decisions depend on. The remaining cold time changes with each
/// heartbeat, so the hash only includes whether the target is cold.
fn listing_hash(targets: &[ListedTarget]) -> u64 {
    let mut hashes: Vec<u64> = targets.iter().map(target_hash).collect();
    hashes.sort_unstable();
    let mut hasher = Xxh3::new();
    hashes.iter().for_each(|hash| hasher.update(&hash.to_le_bytes()));
    hasher.digest()
}

fn target_hash(target: &ListedTarget) -> u64 {
    let mut hasher = Xxh3::new();
    let texts =
        [&target.instance, &target.service, &target.address, &target.data_centre, &target.build];
    for text in texts {
        update_field(&mut hasher, text.as_bytes());
    }
    hasher.update(&target.slots.to_le_bytes());
    hasher.update(&target.started_ms.to_le_bytes());
    hasher.update(&[u8::from(target.leaving), u8::from(!target.cold_left.is_zero())]);
    hasher.digest()
}

/// Identifies the start of a target's process.
fn restart_id(instance: &InstanceName, started_ms: u64) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(instance.as_bytes());
    hasher.update(&started_ms.to_le_bytes());
    hasher.digest()
}

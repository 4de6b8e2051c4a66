//! The targets that are registered: which instance stands at which address, and since when it is cold,
//! leaving or missing.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    prelude::*,
    published::{InstanceName, StoreRevision},
};

/// Without a listing for this long, entries may have lapsed though their targets live: targets renew them in
/// the store, which may have been away.
const OUTAGE: Duration = Duration::from_millis(2_500);
/// Lapsed entries are back this long after the store, from the platform's description.
const RETURN_TIME: Duration = Duration::from_millis(2_200);
/// What a target said of itself is kept this long after its entry has gone. A leaving target serves for some
/// seconds after that, and its entry may come back with a listing of another process.
const KEPT_NOTICE: Duration = Duration::from_secs(60);
/// After an outage of the store, entries may be old for this long: they lapse within it if nobody renews them.
const RENEWAL_TIME: Duration = Duration::from_secs(5);
/// Longest pause that a target may ask for. It is the longest time that callers are asked to wait.
const LONGEST_PAUSE: Duration = Duration::from_secs(600);

/// What a target has said of itself in its answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// Since when it is known to be leaving.
    pub leaving: Option<Instant>,
    /// Until when it wants no requests of this process.
    pub paused: Option<Instant>,
}

impl TargetNotice {
    /// Whether it allows new work.
    fn allows_work(&self) -> bool {
        self.leaving.is_none() && self.paused.is_none()
    }
}

/// One target.
#[derive(Debug, Clone)]
pub struct DirectoryEntry {
    /// Its entry.
    pub listed: ListedTarget,
    /// Identifies the start of its process.
    pub restart: u64,
    /// Until when it counts as cold.
    pub cold_until: Option<Instant>,
    /// Since when its entry is missing.
    missing: Option<Instant>,
    /// Whether its data centre has been taken out of service.
    evacuated: bool,
    /// Whether another process has answered at the address since the entry was written.
    replaced: bool,
    /// What the target has said of itself. It counts more than its entry, which is older.
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

    /// Whether it is about to stop, by its entry or by its answers.
    pub fn is_leaving(&self) -> bool {
        self.listed.leaving || self.notice.leaving.is_some()
    }

    /// Whether the listing in use has its entry.
    pub fn is_listed(&self) -> bool {
        self.missing.is_none()
    }

    /// Whether it counts as cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }
}

/// What a new listing changes.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectoryChange {
    /// A target is new, or its entry has changed.
    Changed(TargetName),
    /// Another process runs at the target's address.
    Restarted(TargetName),
    /// A target that was leaving is gone.
    Removed(TargetName),
    /// The entry of a target that didn't say that it was leaving is gone.
    Lapsed(TargetName),
}

/// All targets by address.
#[derive(Debug, Default)]
pub struct TargetDirectory {
    entries: IndexMap<TargetName, DirectoryEntry>,
    /// When the listing in use was read.
    read: Option<Instant>,
    /// When the store came back after an outage.
    returned: Option<Instant>,
    revision: StoreRevision,
    /// The targets of that listing, for peers.
    listed: Vec<ListedTarget>,
    /// Hash of what the listing says.
    hash: u64,
    /// What targets whose entries are gone have said, by the start of their process.
    kept: IndexMap<u64, (TargetNotice, Instant)>,
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

    /// Hash of what the listing in use says.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Notes that a peer has read the same listing at a later time.
    pub fn confirm(&mut self, read: Instant) {
        self.read = self.read.map(|known| known.max(read));
    }

    /// All entries, for a peer that can't read them itself.
    pub fn listing(&self) -> TargetListing {
        TargetListing { revision: self.revision, targets: self.listed.clone() }
    }

    /// Time since the listing in use was read.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.read.map(|read| now.saturating_duration_since(read))
    }

    /// When the listing in use was read, if targets have had the time to renew their entries since the last outage
    /// of the store.
    pub fn renewed(&self) -> Option<Instant> {
        let read = self.read?;
        let since = |returned| read.saturating_duration_since(returned) < RENEWAL_TIME;
        (!self.returned.is_some_and(since)).then_some(read)
    }

    /// Takes a listing that was read at `read`. `cold_time` tells for how long targets of a service are cold
    /// after a start.
    pub fn take<C>(
        &mut self,
        listing: &TargetListing,
        read: Instant,
        cold_time: C,
    ) -> Vec<DirectoryChange>
    where
        C: Fn(&str) -> Duration,
    {
        if self.read.is_some_and(|known| known >= read) || listing.revision < self.revision {
            return Vec::new();
        }
        let first = self.read.is_none();
        if self.read.is_some_and(|known| read.saturating_duration_since(known) > OUTAGE) {
            self.returned = Some(read);
        }
        self.read = Some(read);
        self.revision = listing.revision;
        self.hash = listing_hash(&listing.targets);
        self.listed.clone_from(&listing.targets);
        let mut changes = Vec::new();
        let newest = newest_by_address(&listing.targets);
        for (target, listed) in &newest {
            let cold = cold_time(&listed.service);
            changes.extend(self.take_entry(target, listed, read, cold, first));
        }
        self.remove_missing(&newest, read, &mut changes);
        changes
    }

    fn take_entry(
        &mut self,
        target: &TargetName,
        listed: &ListedTarget,
        now: Instant,
        cold_time: Duration,
        first: bool,
    ) -> Option<DirectoryChange> {
        let restart = restart_id(&listed.instance, listed.started_ms);
        let told_cold = (listed.cold_left > Duration::ZERO).then(|| now + listed.cold_left);
        let Some(entry) = self.entries.get_mut(target) else {
            // Targets that are listed at the start of this process may have been running for long.
            let fresh = (!first).then(|| now + cold_time);
            let cold_until = told_cold.max(fresh);
            let listed = listed.clone();
            tracing::info!(
                target_address = &**target,
                instance = &*listed.instance,
                service = &*listed.service,
                data_centre = &*listed.data_centre,
                revision = listed.revision,
                leaving = listed.leaving,
                cold_ms = listed.cold_left.as_millis() as u64,
                "target is listed"
            );
            let entry = DirectoryEntry {
                listed,
                restart,
                cold_until,
                missing: None,
                evacuated: false,
                replaced: false,
                notice: self.kept.get(&restart).map(|(notice, _)| *notice).unwrap_or_default(),
            };
            self.entries.insert(target.clone(), entry);
            return Some(DirectoryChange::Changed(target.clone()));
        };
        entry.missing = None;
        // The time that is left counts from the heartbeat that told it.
        let news = listed.revision != entry.listed.revision;
        let told_cold = told_cold.filter(|_| news);
        entry.listed.revision = listed.revision;
        let restarted = entry.restart != restart;
        let unchanged = !restarted
            && entry.listed.leaving == listed.leaving
            && entry.listed.slots == listed.slots
            && entry.listed.service == listed.service
            && told_cold.is_none_or(|until| entry.cold_until.is_some_and(|known| known >= until));
        if unchanged {
            return None;
        }
        tracing::info!(
            target_address = &**target,
            instance = &*listed.instance,
            service = &*listed.service,
            revision = listed.revision,
            leaving = listed.leaving,
            restarted,
            cold_ms = listed.cold_left.as_millis() as u64,
            "target has changed"
        );
        entry.listed = listed.clone();
        entry.cold_until = entry.cold_until.max(told_cold);
        if !restarted {
            return Some(DirectoryChange::Changed(target.clone()));
        }
        entry.restart = restart;
        entry.replaced = false;
        entry.notice = TargetNotice::default();
        entry.cold_until = told_cold.max(Some(now + cold_time));
        Some(DirectoryChange::Restarted(target.clone()))
    }

    /// Removes targets without an entry. After an outage of the store they are given time to come back.
    fn remove_missing(
        &mut self,
        newest: &IndexMap<TargetName, ListedTarget>,
        now: Instant,
        changes: &mut Vec<DirectoryChange>,
    ) {
        let recent = |since: Instant| now.saturating_duration_since(since) < RETURN_TIME;
        let returning = self.returned.is_some_and(recent);
        let kept = &mut self.kept;
        kept.retain(|_, (_, gone)| now.saturating_duration_since(*gone) < KEPT_NOTICE);
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
            if !entry.notice.allows_work() {
                kept.insert(entry.restart, (entry.notice, now));
            }
            changes.push(if entry.is_leaving() {
                DirectoryChange::Removed(target.clone())
            } else {
                DirectoryChange::Lapsed(target.clone())
            });
            false
        });
    }

    /// Marks the targets of data centres that are out of service. Returns the targets that have changed. A
    /// target that is taken back counts as cold for `cold_time`, since it may have been restarted meanwhile.
    pub fn evacuate<E, C>(&mut self, is_out: E, cold_time: C, now: Instant) -> Vec<TargetName>
    where
        E: Fn(&str) -> bool,
        C: Fn(&str) -> Duration,
    {
        let mut changed = Vec::new();
        for (target, entry) in &mut self.entries {
            let evacuated = is_out(&entry.listed.data_centre);
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

    /// Notes that a target may have been restarted.
    pub fn suspect(&mut self, target: &str, cold_time: Duration, now: Instant) {
        if let Some(entry) = self.entries.get_mut(target) {
            entry.cold_until = entry.cold_until.max(Some(now + cold_time));
        }
    }

    /// Notes that another instance answered at a target's address. It gets no work until its own entry is
    /// read.
    pub fn replaced(&mut self, target: &str, instance: &str) -> bool {
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

    /// Notes that the instance at an address is leaving, as its answers say. Returns whether this is news.
    pub fn note_leaving(&mut self, target: &str, instance: &str, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(target) else { return false };
        if &*entry.listed.instance != instance || entry.notice.leaving.is_some() {
            return false;
        }
        tracing::info!(
            target_address = target,
            instance,
            revision = entry.listed.revision,
            "target says that it is leaving"
        );
        entry.notice.leaving = Some(now);
        true
    }

    /// Notes that the target with this start of its process is leaving, as a peer has heard. Returns the
    /// target if this is news.
    pub fn take_leaving(&mut self, restart: u64, now: Instant) -> Option<TargetName> {
        let (target, entry) =
            self.entries.iter_mut().find(|(_, entry)| entry.restart == restart)?;
        if entry.notice.leaving.is_some() {
            return None;
        }
        tracing::info!(
            target_address = &**target,
            instance = &*entry.listed.instance,
            revision = entry.listed.revision,
            "a peer tells that the target is leaving"
        );
        entry.notice.leaving = Some(now);
        Some(target.clone())
    }

    /// Starts of the processes of targets that said within `span` that they are leaving.
    pub fn leaving_since(&self, span: Duration, now: Instant) -> Vec<u64> {
        let recent = |since: Instant| now.saturating_duration_since(since) < span;
        let entries = self.entries.values();
        entries
            .filter(|entry| entry.notice.leaving.is_some_and(recent))
            .map(|entry| entry.restart)
            .collect()
    }

    /// Notes that the instance at an address wants no requests of this process for a time. A later answer may
    /// prolong the pause, but doesn't shorten it. Returns whether this is news.
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
            "target wants no requests for a while"
        );
        entry.notice.paused = Some(until);
        true
    }

    /// Ends the pauses that are over. Returns their targets.
    pub fn end_pauses(&mut self, now: Instant) -> Vec<TargetName> {
        let over = self.entries.iter_mut().filter_map(|(target, entry)| {
            entry.notice.paused.take_if(|until| *until <= now).map(|_| target.clone())
        });
        over.collect()
    }

    /// When the first target of a service ends its pause, if all that could serve have asked for one.
    pub fn service_pause(&self, service: &str) -> Option<Instant> {
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

/// One entry for each address: that of the process which started last.
fn newest_by_address(targets: &[ListedTarget]) -> IndexMap<TargetName, ListedTarget> {
    let mut newest: IndexMap<TargetName, ListedTarget> = IndexMap::new();
    for listed in targets {
        let order = |one: &ListedTarget| (one.started_ms, !one.leaving, one.revision);
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

/// Hash of the parts of a listing that decisions depend on. The time for which a target stays cold falls with
/// each heartbeat, and counts only as being cold.
fn listing_hash(targets: &[ListedTarget]) -> u64 {
    let mut hashes: Vec<u64> = targets.iter().map(target_hash).collect();
    hashes.sort_unstable();
    let mut hasher = Xxh3::new();
    hashes.iter().for_each(|hash| hasher.update(&hash.to_le_bytes()));
    hasher.digest()
}

fn target_hash(target: &ListedTarget) -> u64 {
    let mut hasher = Xxh3::new();
    for text in [&target.instance, &target.service, &target.address, &target.data_centre] {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    hasher.update(&target.slots.to_le_bytes());
    hasher.update(&target.started_ms.to_le_bytes());
    hasher.update(&[u8::from(target.leaving), u8::from(!target.cold_left.is_zero())]);
    hasher.digest()
}

fn restart_id(instance: &InstanceName, started_ms: u64) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(instance.as_bytes());
    hasher.update(&started_ms.to_le_bytes());
    hasher.digest()
}

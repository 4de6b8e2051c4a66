//! Load of the data centre's targets: last reports with their age, who polls which target, and which
//! entries go into the next digest.

mod leftover;

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tarragon_protocol::{
    peer::{LoadEntry, LoadUpdate},
    platform::PublishedTarget,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{digest::leftover::LeftoverLoad, prelude::*, rendezvous, slot::TargetCapacity};

/// Age from which a report says nothing any more: the target counts as cold with one slot in all.
pub const REPORT_VALID: Duration = Duration::from_secs(10);

/// VMs that poll each target.
pub const POLLERS: usize = 2;

/// Time between two polls of a target by one VM.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a poll without an answer counts as lost.
const POLL_LOST_AFTER: Duration = Duration::from_secs(5);

/// Age of a report from which a VM that is not one of the pollers polls the target itself.
const RESCUE_AFTER: Duration = Duration::from_secs(7);

/// Time between two such polls of a target that does not answer.
const RESCUE_INTERVAL: Duration = Duration::from_secs(10);

/// Such polls a second.
const RESCUES_AT_ONCE: usize = 8;

/// Two reports closer than this are one: the same one by two ways, with ages rounded differently, or those
/// of the two pollers. Counting it twice would defeat the rule of the lower of two reports.
const SAME_REPORT: Duration = Duration::from_millis(300);

/// Age from which a report is not sent on. Older ones would take the place of those that still reach their
/// readers in time.
const SEND_VALID: Duration = Duration::from_secs(5);

/// Cost of a whole entry in a digest, where an update costs 1: about 16 bytes to 9.
const ENTRY_COST: usize = 2;

/// Time for which each entry is sent whole after its target has restarted.
const NEW_SPELL: Duration = Duration::from_secs(10);

/// After that, one in this many is whole, for receivers that have started since or have missed the others.
const WHOLE_ENTRY_EACH: u64 = 4;

/// Loads for one round of digests.
#[derive(Debug, Clone, Default)]
pub struct DigestLoads {
    /// With restart id.
    pub entries: Vec<LoadEntry>,
    /// Without it.
    pub updates: Vec<LoadUpdate>,
}

/// A report and the time that it describes.
#[derive(Debug, Clone)]
struct StampedReport {
    entry: LoadEntry,
    at: Instant,
    /// Whether the entry's restart id is the target's. If only updates have been heard, it is their check.
    has_restart: bool,
}

/// One target.
#[derive(Debug, Clone)]
struct TargetLoad {
    published: PublishedTarget,
    last: Option<StampedReport>,
    before: Option<StampedReport>,
    leftover: LeftoverLoad,
    /// Whether the last report has not been sent in a digest.
    changed: bool,
    last_sent: Option<Instant>,
    times_sent: u64,
    /// Since when the restart id of the last report is known.
    spell_known_since: Instant,
    polled_here: bool,
    next_poll: Instant,
    next_rescue: Instant,
    outstanding: Option<Instant>,
}

/// What a report showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOutcome {
    /// Newer, in the same spell.
    Newer,
    /// Newer, and the target has restarted or turned cold.
    TurnedCold,
    /// Not newer, or the target is not listed.
    Old,
}

/// Load of all targets of the data centre.
#[derive(Debug, Default)]
pub struct LoadTable {
    targets: IndexMap<TargetName, TargetLoad>,
}

impl LoadTable {
    /// Replaces the list of targets; reports of those that stay are kept.
    pub fn set_targets(&mut self, published: &[PublishedTarget], now: Instant) {
        let mut before = std::mem::take(&mut self.targets);
        for target in published {
            let load = match before.swap_remove(&target.target) {
                Some(load) => TargetLoad { published: target.clone(), ..load },
                None => new_load(target, now),
            };
            self.targets.insert(target.target.clone(), load);
        }
    }

    /// Determines which targets this VM polls.
    pub fn set_pollers(&mut self, own: &str, up: &[VmName]) {
        for (name, load) in &mut self.targets {
            let rank = rendezvous::rank(name, own, up.iter().map(|vm| &**vm));
            load.polled_here = rank < POLLERS;
        }
    }

    /// Targets to poll now.
    pub fn due_polls(&mut self, now: Instant) -> Vec<PublishedTarget> {
        let due =
            self.targets.values_mut().filter(|load| load.polled_here && now >= load.next_poll);
        due.filter_map(|load| load.begin_poll(now)).collect()
    }

    /// Targets that this VM polls although others should, since their reports have not arrived lately. At 31
    /// VMs chance alone would let about one entry in a hundred get older than [`REPORT_VALID`].
    pub fn due_rescues(&mut self, now: Instant) -> Vec<PublishedTarget> {
        let late = |load: &&mut TargetLoad| {
            let age = load.last.as_ref().map(|last| now.saturating_duration_since(last.at));
            now >= load.next_rescue && age.is_none_or(|age| age >= RESCUE_AFTER)
        };
        let mut polls = Vec::new();
        for load in self.targets.values_mut().filter(late).take(RESCUES_AT_ONCE) {
            load.next_rescue = now + RESCUE_INTERVAL;
            polls.extend(load.begin_poll(now));
        }
        polls
    }

    /// Polls a target now unless a poll is under way.
    pub fn poll_now(&mut self, target: &TargetName, now: Instant) -> Option<PublishedTarget> {
        self.targets.get_mut(target)?.begin_poll(now)
    }

    /// Takes the result of an own poll. Returns the entry if the report is news.
    pub fn polled(
        &mut self,
        target: &TargetName,
        report: Option<&LoadReport>,
        now: Instant,
    ) -> (ReportOutcome, Option<LoadEntry>) {
        if let Some(load) = self.targets.get_mut(target) {
            load.outstanding = None;
        }
        let Some(report) = report else { return (ReportOutcome::Old, None) };
        let entry = entry_of(target, report);
        let outcome = self.take(&entry, now);
        (outcome, (outcome != ReportOutcome::Old).then_some(entry))
    }

    /// Takes an entry of a peer, or one of this VM.
    pub fn take(&mut self, entry: &LoadEntry, now: Instant) -> ReportOutcome {
        self.take_as(entry, true, now)
    }

    fn take_as(&mut self, entry: &LoadEntry, has_restart: bool, now: Instant) -> ReportOutcome {
        let Some(load) = self.targets.get_mut(&entry.target) else { return ReportOutcome::Old };
        let Some(at) = now.checked_sub(Duration::from_millis(entry.age_ms)) else {
            return ReportOutcome::Old;
        };
        let stamped = StampedReport { entry: entry.clone(), at, has_restart };
        let Some(last) = &mut load.last else {
            if entry.state == TargetState::Cold {
                load.leftover.turn_cold(entry, entry.occupied, now);
            }
            load.last = Some(stamped);
            load.changed = true;
            load.spell_known_since = now;
            return ReportOutcome::Newer;
        };
        let both_known = has_restart && last.has_restart;
        let learned = has_restart && !last.has_restart;
        let restarted = both_known && entry.restart_id != last.entry.restart_id;
        let turned_cold =
            restarted || entry.state == TargetState::Cold && last.entry.state != TargetState::Cold;
        let distance = at.saturating_duration_since(last.at);
        if learned && at <= last.at && last.entry.restart_id == placeholder(entry.restart_id) {
            last.entry.restart_id = entry.restart_id;
            last.has_restart = true;
            load.spell_known_since = now;
            return ReportOutcome::Newer;
        }
        if at < last.at && (last.at - at > SAME_REPORT || turned_cold) {
            return ReportOutcome::Old;
        }
        if distance <= SAME_REPORT && !turned_cold && !learned {
            return merge(last, entry);
        }
        if restarted || learned {
            load.spell_known_since = now;
        }
        if turned_cold {
            load.leftover.turn_cold(entry, last.entry.capacity, now);
        } else {
            load.leftover.observe(entry, at);
        }
        load.before = load.last.replace(stamped);
        load.changed = true;
        if turned_cold { ReportOutcome::TurnedCold } else { ReportOutcome::Newer }
    }

    /// Treats a target as cold until it has been polled twice. Returns the entry to announce; nothing if
    /// it counts as cold already.
    pub fn suspect_cold(&mut self, target: &TargetName, now: Instant) -> Option<LoadEntry> {
        if self.capacity(target, now).cold {
            return None;
        }
        let last = self.targets.get(target)?.last.as_ref()?;
        // How many requests it runs is not known: at most what it bore.
        let occupied = last.entry.occupied.max(last.entry.capacity);
        let entry = LoadEntry {
            state: TargetState::Cold,
            capacity: 1,
            occupied,
            age_ms: 0,
            ..last.entry.clone()
        };
        self.take(&entry, now);
        Some(entry)
    }

    /// What a target bears now: the lower of its last two reports, or one request if there is no report
    /// that is young enough.
    pub fn capacity(&self, target: &TargetName, now: Instant) -> TargetCapacity {
        let silent = TargetCapacity { bears: 1, cold: true };
        let Some(load) = self.targets.get(target) else { return silent };
        let Some(last) = &load.last else { return silent };
        if now.saturating_duration_since(last.at) > REPORT_VALID {
            return silent;
        }
        let before = load.before.as_ref().map_or(u32::MAX, |before| before.entry.capacity);
        let cold = last.entry.state == TargetState::Cold;
        let bears = last.entry.capacity.min(before);
        let bears = if cold { load.leftover.remaining(bears) } else { bears };
        TargetCapacity { bears, cold }
    }

    /// Whether the target's last report says that it is about to stop.
    pub fn is_leaving(&self, target: &TargetName) -> bool {
        let last = self.targets.get(target).and_then(|load| load.last.as_ref());
        last.is_some_and(|last| last.entry.state == TargetState::Leaving)
    }

    /// Forgets all reports: after a pause, and when the data centre returns.
    pub fn forget_reports(&mut self) {
        for load in self.targets.values_mut() {
            load.last = None;
            load.before = None;
            load.outstanding = None;
        }
    }

    /// Loads for the next round of digests: of the reports that are newer than the last one sent, those
    /// whose target was sent longest ago. Taking the youngest instead would always prefer the targets that
    /// are polled right before the round, and some targets would never be sent.
    pub fn digest_loads(&mut self, budget: usize, now: Instant) -> DigestLoads {
        let mut unsent: Vec<(Option<Instant>, Duration, &mut TargetLoad)> = self
            .targets
            .values_mut()
            .filter_map(|load| {
                let last = load.last.as_ref()?;
                let age = now.saturating_duration_since(last.at);
                let unsent = load.changed && last.has_restart && age <= SEND_VALID;
                unsent.then_some((load.last_sent, age, load))
            })
            .collect();
        unsent.sort_by_key(|(last_sent, age, _)| (*last_sent, *age));
        let mut loads = DigestLoads::default();
        for (_, age, load) in unsent {
            if loads.entries.len() * ENTRY_COST + loads.updates.len() >= budget {
                break;
            }
            load.add_to(&mut loads, age, now);
        }
        loads
    }

    /// Takes an update of a peer. Returns it as an entry if it is news. Without a known restart id it counts
    /// for the slots only; with another one it is ignored until a whole entry has told of the restart.
    pub fn take_update(&mut self, update: &LoadUpdate, now: Instant) -> Option<LoadEntry> {
        let last = self.targets.get(&update.target)?.last.as_ref();
        let known = last.filter(|last| last.has_restart).map(|last| last.entry.restart_id);
        if known.is_some_and(|known| restart_check(known) != update.restart_id_hash) {
            return None;
        }
        let LoadUpdate { target, state, capacity: bears, occupied, age_ms, .. } = update.clone();
        let restart = known.unwrap_or(u64::from(u16::from_le_bytes(update.restart_id_hash)));
        let entry =
            LoadEntry { target, restart_id: restart, state, capacity: bears, occupied, age_ms };
        let outcome = self.take_as(&entry, known.is_some(), now);
        (known.is_some() && outcome != ReportOutcome::Old).then_some(entry)
    }

    /// A published target.
    pub fn published(&self, target: &TargetName) -> Option<&PublishedTarget> {
        self.targets.get(target).map(|load| &load.published)
    }

    /// Age of each target's last report.
    pub fn ages(&self, now: Instant) -> Vec<(TargetName, Option<Duration>)> {
        let age = |load: &TargetLoad| {
            load.last.as_ref().map(|last| now.saturating_duration_since(last.at))
        };
        self.targets.iter().map(|(name, load)| (name.clone(), age(load))).collect()
    }
}

impl TargetLoad {
    fn add_to(&mut self, loads: &mut DigestLoads, age: Duration, now: Instant) {
        let Some(last) = &self.last else { return };
        let age_ms = age.as_millis() as u64;
        let entry = LoadEntry { age_ms, ..last.entry.clone() };
        let young = now.saturating_duration_since(self.spell_known_since) < NEW_SPELL;
        self.changed = false;
        self.last_sent = Some(now);
        self.times_sent += 1;
        if young || self.times_sent.is_multiple_of(WHOLE_ENTRY_EACH) {
            loads.entries.push(entry);
        } else {
            loads.updates.push(update_of(entry));
        }
    }

    fn begin_poll(&mut self, now: Instant) -> Option<PublishedTarget> {
        let under_way = self
            .outstanding
            .is_some_and(|since| now.saturating_duration_since(since) < POLL_LOST_AFTER);
        if under_way {
            return None;
        }
        self.outstanding = Some(now);
        self.next_poll = now + POLL_INTERVAL;
        Some(self.published.clone())
    }
}

/// Takes the lower figures of two accounts of one report.
fn merge(last: &mut StampedReport, entry: &LoadEntry) -> ReportOutcome {
    if entry.capacity >= last.entry.capacity {
        return ReportOutcome::Old;
    }
    last.entry.capacity = entry.capacity;
    ReportOutcome::Newer
}

fn new_load(target: &PublishedTarget, now: Instant) -> TargetLoad {
    let spread = rendezvous::key_seed(&target.target) % POLL_INTERVAL.as_millis() as u64;
    TargetLoad {
        published: target.clone(),
        last: None,
        before: None,
        leftover: LeftoverLoad::default(),
        changed: false,
        last_sent: None,
        times_sent: rendezvous::key_seed(&target.target) % WHOLE_ENTRY_EACH,
        spell_known_since: now,
        polled_here: false,
        next_poll: now + Duration::from_millis(spread),
        next_rescue: now + RESCUE_AFTER,
        outstanding: None,
    }
}

fn update_of(entry: LoadEntry) -> LoadUpdate {
    let LoadEntry { target, restart_id: restart, state, capacity: bears, occupied, age_ms } = entry;
    let restart_check = restart_check(restart);
    LoadUpdate { target, restart_id_hash: restart_check, state, capacity: bears, occupied, age_ms }
}

fn restart_check(restart: u64) -> [u8; 2] {
    let [first, second, ..] = xxh3_64(&restart.to_le_bytes()).to_le_bytes();
    [first, second]
}

/// Stands for a restart id of which only the check is known.
fn placeholder(restart: u64) -> u64 {
    u16::from_le_bytes(restart_check(restart)).into()
}

/// A report in the form for digests.
pub fn entry_of(target: &TargetName, report: &LoadReport) -> LoadEntry {
    LoadEntry {
        target: target.clone(),
        restart_id: report.restart_id,
        state: report.state,
        capacity: report.capacity,
        occupied: report.running.saturating_add(report.waiting),
        age_ms: report.lag_ms,
    }
}

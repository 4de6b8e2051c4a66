//! Load of the data centre's targets: the last reports and their age, which targets this VM polls, and
//! which entries go into the next digest.

mod leftover;

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tarragon_protocol::{
    peer::{LoadEntry, LoadUpdate},
    platform::PublishedTarget,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{digest::leftover::LeftoverLoad, prelude::*, rendezvous, slot::TargetCapacity};

/// Age above which a report is no longer used: the target then counts as cold with a capacity of one.
pub const REPORT_VALIDITY: Duration = Duration::from_secs(10);

/// Number of VMs that poll each target.
pub const POLLERS: usize = 2;

/// Time between two polls of a target by one VM.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which an unanswered poll counts as lost.
const POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// Age of a report from which any VM polls the target itself, also if it is not one of the pollers.
const FALLBACK_POLL_AFTER: Duration = Duration::from_secs(7);

/// Least time between two fallback polls of a target.
const FALLBACK_POLL_INTERVAL: Duration = Duration::from_secs(10);

/// Greatest number of fallback polls a second.
const MAX_FALLBACK_POLLS: usize = 8;

/// Reports closer in time than this count as one report: it either came by two ways, with ages rounded
/// differently, or was read by both pollers. If it counted twice, the rule that the lower capacity of the
/// last two reports applies would have no effect.
const SAME_REPORT_DISTANCE: Duration = Duration::from_millis(300);

/// Greatest age of a report that is put into digests. Older ones would displace those that still reach
/// the other VMs in time.
const MAX_SENT_AGE: Duration = Duration::from_secs(5);

/// Cost of a whole entry in a digest, where an update costs 1: they take about 16 and 9 bytes.
const WHOLE_ENTRY_COST: usize = 2;

/// Time after a target's restart during which its entry is always sent whole.
const WHOLE_ENTRY_PERIOD: Duration = Duration::from_secs(10);

/// After that, one entry in this many is whole, for receivers that started later or missed the earlier
/// ones.
const WHOLE_ENTRY_INTERVAL: u64 = 4;

/// Load entries and updates for one round of digests.
#[derive(Debug, Clone, Default)]
pub struct DigestLoads {
    /// Whole entries, with the restart id.
    pub entries: Vec<LoadEntry>,
    /// Updates, with only a check value of the restart id.
    pub updates: Vec<LoadUpdate>,
}

/// A report and the time at which its figures were taken.
#[derive(Debug, Clone)]
struct StampedReport {
    entry: LoadEntry,
    at: Instant,
    /// Whether the entry holds the target's restart id. If only updates have arrived, it holds their
    /// check value.
    has_restart: bool,
}

/// One target.
#[derive(Debug, Clone)]
struct TargetLoad {
    published: PublishedTarget,
    last: Option<StampedReport>,
    previous: Option<StampedReport>,
    leftover: LeftoverLoad,
    /// Whether the last report is still to be sent in a digest.
    changed: bool,
    last_sent: Option<Instant>,
    times_sent: u64,
    /// Time at which the restart id of the last report became known.
    restart_known_since: Instant,
    is_poller: bool,
    next_poll: Instant,
    next_fallback_poll: Instant,
    poll_started: Option<Instant>,
}

/// Result of applying a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOutcome {
    /// It is newer, and the target has neither restarted nor turned cold.
    Newer,
    /// It is newer, and the target has restarted or turned cold.
    TurnedCold,
    /// It is not newer, or the target is not listed.
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
        let mut previous = std::mem::take(&mut self.targets);
        for target in published {
            let load = match previous.swap_remove(&target.target) {
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
            load.is_poller = rank < POLLERS;
        }
    }

    /// Starts the polls that are due and returns their targets.
    pub fn due_polls(&mut self, now: Instant) -> Vec<PublishedTarget> {
        let due = self.targets.values_mut().filter(|load| load.is_poller && now >= load.next_poll);
        due.filter_map(|load| load.start_poll(now)).collect()
    }

    /// Starts polls of targets whose reports have not arrived for [`FALLBACK_POLL_AFTER`], also if other
    /// VMs are their pollers. Without these polls, the random choice of gossip peers would let about one
    /// entry in a hundred get older than [`REPORT_VALIDITY`] at 31 VMs.
    pub fn due_fallback_polls(&mut self, now: Instant) -> Vec<PublishedTarget> {
        let late = |load: &&mut TargetLoad| {
            let age = load.last.as_ref().map(|last| now.saturating_duration_since(last.at));
            now >= load.next_fallback_poll && age.is_none_or(|age| age >= FALLBACK_POLL_AFTER)
        };
        let mut polls = Vec::new();
        for load in self.targets.values_mut().filter(late).take(MAX_FALLBACK_POLLS) {
            load.next_fallback_poll = now + FALLBACK_POLL_INTERVAL;
            polls.extend(load.start_poll(now));
        }
        polls
    }

    /// Starts a poll of a target unless one is outstanding.
    pub fn poll_now(&mut self, target: &TargetName, now: Instant) -> Option<PublishedTarget> {
        self.targets.get_mut(target)?.start_poll(now)
    }

    /// Records the result of an own poll. Returns the entry if the report is newer.
    pub fn record_poll(
        &mut self,
        target: &TargetName,
        report: Option<&LoadReport>,
        now: Instant,
    ) -> (ReportOutcome, Option<LoadEntry>) {
        if let Some(load) = self.targets.get_mut(target) {
            load.poll_started = None;
        }
        let Some(report) = report else { return (ReportOutcome::Old, None) };
        let entry = entry_of(target, report);
        let outcome = self.apply(&entry, now);
        (outcome, (outcome != ReportOutcome::Old).then_some(entry))
    }

    /// Applies an entry of a peer or of this VM.
    pub fn apply(&mut self, entry: &LoadEntry, now: Instant) -> ReportOutcome {
        self.apply_as(entry, true, now)
    }

    fn apply_as(&mut self, entry: &LoadEntry, has_restart: bool, now: Instant) -> ReportOutcome {
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
            load.restart_known_since = now;
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
            load.restart_known_since = now;
            return ReportOutcome::Newer;
        }
        if at < last.at && (last.at - at > SAME_REPORT_DISTANCE || turned_cold) {
            return ReportOutcome::Old;
        }
        if distance <= SAME_REPORT_DISTANCE && !turned_cold && !learned {
            return lower_capacity(last, entry);
        }
        if restarted || learned {
            load.restart_known_since = now;
        }
        if turned_cold {
            load.leftover.turn_cold(entry, last.entry.capacity, now);
        } else {
            load.leftover.observe(entry, at);
        }
        load.previous = load.last.replace(stamped);
        load.changed = true;
        if turned_cold { ReportOutcome::TurnedCold } else { ReportOutcome::Newer }
    }

    /// Treats a target as cold until it has been polled twice. Returns the entry to announce, or `None`
    /// if the target already counts as cold.
    pub fn suspect_cold(&mut self, target: &TargetName, now: Instant) -> Option<LoadEntry> {
        if self.capacity(target, now).cold {
            return None;
        }
        let last = self.targets.get(target)?.last.as_ref()?;
        // The number of its running requests is not known; its capacity so far is an upper bound.
        let occupied = last.entry.occupied.max(last.entry.capacity);
        let entry = LoadEntry {
            state: TargetState::Cold,
            capacity: 1,
            occupied,
            age_ms: 0,
            ..last.entry.clone()
        };
        self.apply(&entry, now);
        Some(entry)
    }

    /// Present capacity of a target: the lower one of its last two reports, or one request if the last
    /// report is too old.
    pub fn capacity(&self, target: &TargetName, now: Instant) -> TargetCapacity {
        let silent = TargetCapacity { capacity: 1, cold: true };
        let Some(load) = self.targets.get(target) else { return silent };
        let Some(last) = &load.last else { return silent };
        if now.saturating_duration_since(last.at) > REPORT_VALIDITY {
            return silent;
        }
        let previous = load.previous.as_ref().map_or(u32::MAX, |previous| previous.entry.capacity);
        let cold = last.entry.state == TargetState::Cold;
        let bears = last.entry.capacity.min(previous);
        let capacity = if cold { load.leftover.remaining(bears) } else { bears };
        TargetCapacity { capacity, cold }
    }

    /// Whether the target's last report says that it is about to stop.
    pub fn is_leaving(&self, target: &TargetName) -> bool {
        let last = self.targets.get(target).and_then(|load| load.last.as_ref());
        last.is_some_and(|last| last.entry.state == TargetState::Leaving)
    }

    /// Drops all reports, after a pause or when the data centre returns to service.
    pub fn forget_reports(&mut self) {
        for load in self.targets.values_mut() {
            load.last = None;
            load.previous = None;
            load.poll_started = None;
        }
    }

    /// Load entries for the next round of digests: of the targets with an unsent report, those that were
    /// sent longest ago. If the youngest reports went first, targets that are polled right before the
    /// round would always be preferred, and some would never be sent.
    pub fn digest_loads(&mut self, budget: usize, now: Instant) -> DigestLoads {
        let mut unsent: Vec<(Option<Instant>, Duration, &mut TargetLoad)> = self
            .targets
            .values_mut()
            .filter_map(|load| {
                let last = load.last.as_ref()?;
                let age = now.saturating_duration_since(last.at);
                let unsent = load.changed && last.has_restart && age <= MAX_SENT_AGE;
                unsent.then_some((load.last_sent, age, load))
            })
            .collect();
        unsent.sort_by_key(|(last_sent, age, _)| (*last_sent, *age));
        let mut loads = DigestLoads::default();
        for (_, age, load) in unsent {
            if loads.entries.len() * WHOLE_ENTRY_COST + loads.updates.len() >= budget {
                break;
            }
            load.add_to(&mut loads, age, now);
        }
        loads
    }

    /// Applies an update of a peer. Returns it as an entry if it is newer. If the target's restart id is
    /// not known, the update counts for the slots only; if it does not match the known one, the update is
    /// ignored until a whole entry has shown the restart.
    pub fn apply_update(&mut self, update: &LoadUpdate, now: Instant) -> Option<LoadEntry> {
        let last = self.targets.get(&update.target)?.last.as_ref();
        let known = last.filter(|last| last.has_restart).map(|last| last.entry.restart_id);
        if known.is_some_and(|known| restart_check(known) != update.restart_id_hash) {
            return None;
        }
        let LoadUpdate { target, state, capacity: bears, occupied, age_ms, .. } = update.clone();
        let restart = known.unwrap_or(u64::from(u16::from_le_bytes(update.restart_id_hash)));
        let entry =
            LoadEntry { target, restart_id: restart, state, capacity: bears, occupied, age_ms };
        let outcome = self.apply_as(&entry, known.is_some(), now);
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
        let young = now.saturating_duration_since(self.restart_known_since) < WHOLE_ENTRY_PERIOD;
        self.changed = false;
        self.last_sent = Some(now);
        self.times_sent += 1;
        if young || self.times_sent.is_multiple_of(WHOLE_ENTRY_INTERVAL) {
            loads.entries.push(entry);
        } else {
            loads.updates.push(update_of(entry));
        }
    }

    fn start_poll(&mut self, now: Instant) -> Option<PublishedTarget> {
        let under_way = self
            .poll_started
            .is_some_and(|since| now.saturating_duration_since(since) < POLL_TIMEOUT);
        if under_way {
            return None;
        }
        self.poll_started = Some(now);
        self.next_poll = now + POLL_INTERVAL;
        Some(self.published.clone())
    }
}

/// Lowers the capacity to that of another copy of the same report.
fn lower_capacity(last: &mut StampedReport, entry: &LoadEntry) -> ReportOutcome {
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
        previous: None,
        leftover: LeftoverLoad::default(),
        changed: false,
        last_sent: None,
        times_sent: rendezvous::key_seed(&target.target) % WHOLE_ENTRY_INTERVAL,
        restart_known_since: now,
        is_poller: false,
        next_poll: now + Duration::from_millis(spread),
        next_fallback_poll: now + FALLBACK_POLL_AFTER,
        poll_started: None,
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

/// Stands for a restart id of which only the check value is known.
fn placeholder(restart: u64) -> u64 {
    u16::from_le_bytes(restart_check(restart)).into()
}

/// The load entry of a report.
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

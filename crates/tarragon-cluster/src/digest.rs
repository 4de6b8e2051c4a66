//! Load of the data centre's targets: last reports with their age, who polls which target, and which
//! entries go into the next digest.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tarragon_protocol::{peer::LoadEntry, platform::PublishedTarget};

use crate::{prelude::*, rendezvous, slot::TargetCapacity};

/// Age from which a report says nothing any more: the target counts as cold with one slot in all.
pub const REPORT_VALID: Duration = Duration::from_secs(10);

/// VMs that poll each target.
pub const POLLERS: usize = 2;

/// Time between two polls of a target by one VM.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a poll without an answer counts as lost.
const POLL_LOST_AFTER: Duration = Duration::from_secs(5);

/// Two reports closer than this are one: the same one by two ways, with ages rounded differently, or those
/// of the two pollers. Counting it twice would defeat the rule of the lower of two reports.
const SAME_REPORT: Duration = Duration::from_millis(300);

/// Digests into which one report is put. Three rounds to three peers each reach a data centre of 31 VMs
/// together with the forwarding by those peers.
const SEND_ROUNDS: u32 = 3;

/// A report and the time that it describes.
#[derive(Debug, Clone)]
struct StampedReport {
    entry: LoadEntry,
    at: Instant,
}

/// One target.
#[derive(Debug, Clone)]
struct TargetLoad {
    published: PublishedTarget,
    last: Option<StampedReport>,
    before: Option<StampedReport>,
    rounds_sent: u32,
    polled_here: bool,
    next_poll: Instant,
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
        let Some(load) = self.targets.get_mut(&entry.target) else { return ReportOutcome::Old };
        let Some(at) = now.checked_sub(Duration::from_millis(entry.age_ms)) else {
            return ReportOutcome::Old;
        };
        let stamped = StampedReport { entry: entry.clone(), at };
        let Some(last) = &mut load.last else {
            load.last = Some(stamped);
            load.rounds_sent = 0;
            return ReportOutcome::Newer;
        };
        let turned_cold = entry.restart != last.entry.restart
            || entry.state == TargetState::Cold && last.entry.state != TargetState::Cold;
        let distance = at.saturating_duration_since(last.at);
        if at < last.at && (last.at - at > SAME_REPORT || turned_cold) {
            return ReportOutcome::Old;
        }
        if distance <= SAME_REPORT && !turned_cold {
            return merge(last, entry);
        }
        load.before = load.last.replace(stamped);
        load.rounds_sent = 0;
        if turned_cold { ReportOutcome::TurnedCold } else { ReportOutcome::Newer }
    }

    /// Treats a target as cold until it has been polled twice. Returns the entry to announce; nothing if
    /// it counts as cold already.
    pub fn suspect_cold(&mut self, target: &TargetName, now: Instant) -> Option<LoadEntry> {
        if self.capacity(target, now).cold {
            return None;
        }
        let last = self.targets.get(target)?.last.as_ref()?;
        let entry =
            LoadEntry { state: TargetState::Cold, bears: 1, age_ms: 0, ..last.entry.clone() };
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
        let before = load.before.as_ref().map_or(u32::MAX, |before| before.entry.bears);
        let cold = last.entry.state == TargetState::Cold;
        TargetCapacity { bears: last.entry.bears.min(before), cold }
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

    /// Entries for the next round of digests: reports that were sent least, the youngest first.
    pub fn digest_entries(&mut self, limit: usize, now: Instant) -> Vec<LoadEntry> {
        let mut fresh: Vec<(u32, Duration, &mut TargetLoad)> = self
            .targets
            .values_mut()
            .filter(|load| load.rounds_sent < SEND_ROUNDS)
            .filter_map(|load| {
                let age = now.saturating_duration_since(load.last.as_ref()?.at);
                (age <= REPORT_VALID).then_some((load.rounds_sent, age, load))
            })
            .collect();
        fresh.sort_by_key(|(rounds, age, _)| (*rounds, *age));
        fresh.truncate(limit);
        let entries = fresh.into_iter().filter_map(|(_, age, load)| {
            load.rounds_sent += 1;
            let entry = load.last.as_ref()?.entry.clone();
            Some(LoadEntry { age_ms: age.as_millis() as u64, ..entry })
        });
        entries.collect()
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
    if entry.bears >= last.entry.bears {
        return ReportOutcome::Old;
    }
    last.entry.bears = entry.bears;
    ReportOutcome::Newer
}

fn new_load(target: &PublishedTarget, now: Instant) -> TargetLoad {
    let spread = rendezvous::key_seed(&target.target) % POLL_INTERVAL.as_millis() as u64;
    TargetLoad {
        published: target.clone(),
        last: None,
        before: None,
        rounds_sent: 0,
        polled_here: false,
        next_poll: now + Duration::from_millis(spread),
        outstanding: None,
    }
}

/// A report in the form for digests.
pub fn entry_of(target: &TargetName, report: &LoadReport) -> LoadEntry {
    LoadEntry {
        target: target.clone(),
        restart: report.restart,
        state: report.state,
        bears: report.bears,
        occupied: report.running.saturating_add(report.waiting),
        age_ms: report.lag_ms,
    }
}

//! Requests and prompt parts that may crash targets: their crash histories, and how far each is suspected.
//!
//! A crash counts against the request that ran, and against each prompt part of it that other requests may
//! share. It no longer counts once a request with the same cause has finished later, at any process. Causes are
//! then assessed together: a crash that the strongest cause explains doesn't count against the others.

mod assess;
mod cause;

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tarragon_protocol::peer::{CrashSighting, SuspectCause, SuspectEntry};

pub use cause::{BrokenAttempt, CauseList, request_causes};

use crate::{hash::NumberHash, prelude::*, suspect::cause::FinishedParts};

/// Maximum number of remembered causes.
pub const MAX_SUSPECTS: usize = 1_024;

/// Suspicions and convictions expire after this time.
pub const SUSPECT_LIFETIME: Duration = Duration::from_secs(600);

/// A restart of the target within this time of a broken connection counts as a crash.
pub const CRASH_WINDOW: Duration = Duration::from_secs(10);

/// For this long, changed entries are sent to peers before older ones. It is longer than they take to reach all
/// processes.
const NEW_ENTRY_PERIOD: Duration = Duration::from_secs(5);

/// Maximum number of crashes remembered for one cause: the latest ones.
const MAX_CRASHES: usize = 16;

/// A crash replaces a remembered one only if it is later by this: times that peers tell are inexact.
const MIN_CRASH_ADVANCE: Duration = Duration::from_secs(1);

/// A peer's finish is news only if it is later than the known one by this.
const MIN_FINISH_ADVANCE: Duration = Duration::from_secs(1);

/// Identity of one crash: the target and the restart id of the process that crashed.
pub type CrashId = (TargetName, RestartId);

/// A broken connection that is, or may turn out to be, a crash.
#[derive(Debug)]
struct CrashRecord {
    crash: CrashId,
    broken: Instant,
    confirmed: bool,
}

/// Crash history of one cause.
#[derive(Debug)]
struct SuspectState {
    crashes: Vec<CrashRecord>,
    /// When a request with this cause was last known to finish. Crashes before that don't count.
    finished: Option<Instant>,
    /// Position of the part in the prompt; the request itself comes after all of its parts.
    depth: u16,
    suspicion: Suspicion,
    /// Whether the conviction of a request holds whatever is learned later.
    conviction_is_final: bool,
    /// When a convicted or held part may run once more, to find out whether it is sound.
    trial_due: Option<Instant>,
    last_seen: Instant,
    /// When this process last learned something that peers may not know.
    learned_at: Instant,
    /// Round in which it was last sent to peers.
    last_sent: u64,
}

/// How far a cause is suspected of crashing targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suspicion {
    /// Not suspected.
    None,
    /// A crash may be due to it: it runs only at targets that run no other suspect.
    Suspect,
    /// Further crashes are possible but unconfirmed; it doesn't run until that is resolved.
    Held,
    /// Targets crashed while they ran it: it is refused.
    Convicted,
}

/// A change of the suspicion against a cause.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspicionChange {
    /// Suspicion before.
    pub before: Suspicion,
    /// Suspicion now.
    pub after: Suspicion,
    /// What peers should know.
    pub entry: SuspectEntry,
}

impl SuspicionChange {
    /// Whether requests with the cause are held or refused from now on, or no longer.
    pub fn affects_service(&self) -> bool {
        self.before.max(self.after) >= Suspicion::Held
    }
}

/// Crash histories by cause.
#[derive(Debug, Default)]
pub struct SuspectTable {
    entries: IndexMap<SuspectCause, SuspectState, NumberHash>,
    finished_parts: FinishedParts,
    /// Number of digests for which entries were selected.
    round: u64,
    /// Whether the histories have changed since they were last assessed.
    changed: bool,
    /// When they were last assessed.
    assessed: Option<Instant>,
    /// Number of the turn in which this process may try a suspected part, and of the last turn that it used.
    trial_turn: Option<u64>,
    used_turn: Option<u64>,
}

impl SuspectTable {
    /// Number of causes.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Current suspicion against a cause.
    pub fn check(&self, cause: SuspectCause, now: Instant) -> Suspicion {
        match self.entries.get(&cause) {
            Some(state) if state.is_current(now) => state.suspicion,
            _ => Suspicion::None,
        }
    }

    /// The cause of a request that is suspected most, with its suspicion.
    pub fn check_request(
        &self,
        profile: &RequestProfile,
        now: Instant,
    ) -> (SuspectCause, Suspicion) {
        let request = SuspectCause::Request(profile.fingerprint);
        if self.entries.is_empty() {
            return (request, Suspicion::None);
        }
        let checked = |cause| (cause, self.check(cause, now));
        let causes = request_causes(profile).map(checked);
        causes.max_by_key(|(_, suspicion)| *suspicion).unwrap_or((request, Suspicion::None))
    }

    /// Causes of a request with exactly this suspicion.
    pub fn causes_with(
        &self,
        profile: &RequestProfile,
        suspicion: Suspicion,
        now: Instant,
    ) -> CauseList {
        request_causes(profile).filter(|cause| self.check(*cause, now) == suspicion).collect()
    }

    /// Sets the number of the turn in which this process may try a suspected part; `None` while it has none.
    pub fn set_trial_turn(&mut self, turn: Option<u64>) {
        self.trial_turn = turn;
    }

    /// Whether a request that is held or refused because of its parts may run now, to find out whether they
    /// are sound.
    pub fn may_try(&self, profile: &RequestProfile, now: Instant) -> bool {
        self.trial_turn.is_some()
            && self.trial_turn != self.used_turn
            && request_causes(profile).all(|cause| match self.entries.get(&cause) {
                Some(state) if state.suspicion >= Suspicion::Held && state.is_current(now) => {
                    state.trial_due.is_some_and(|due| due <= now)
                }
                _ => true,
            })
    }

    /// Records that a suspected part is being tried in this turn.
    pub fn record_trial(&mut self) {
        self.used_turn = self.trial_turn;
    }

    /// Adds a broken connection of a request, which may turn out to be a crash.
    pub fn add_possible_crash(&mut self, causes: &[SuspectCause], crash: &CrashId, now: Instant) {
        for cause in causes {
            self.record(*cause, depth_in(causes, *cause), crash, now, false, now);
        }
    }

    /// Removes a possible crash that was none, or that was not confirmed in time.
    pub fn dismiss(&mut self, cause: SuspectCause, crash: &CrashId) {
        let Some(state) = self.entries.get_mut(&cause) else { return };
        state.crashes.retain(|record| record.confirmed || record.crash != *crash);
        self.changed = true;
        if state.crashes.is_empty() && state.finished.is_none() {
            self.entries.swap_remove(&cause);
        }
    }

    /// Records a confirmed crash. Returns whether it is new and counts against the request.
    pub fn confirm_crash(
        &mut self,
        causes: &[SuspectCause],
        crash: &CrashId,
        broken: Instant,
        now: Instant,
    ) -> bool {
        let mut is_news = false;
        for cause in causes {
            let depth = depth_in(causes, *cause);
            let is_new = self.record(*cause, depth, crash, broken, true, now);
            let Some(state) = self.entries.get(cause) else { continue };
            let counts = state.finished.is_none_or(|finished| finished < broken);
            is_news |= is_new && counts && matches!(cause, SuspectCause::Request(_));
        }
        is_news
    }

    /// The process of a target has ended: connections to it that broke have seen a crash, unless it was planned.
    pub fn record_process_end(&mut self, crash: &CrashId, planned: bool, now: Instant) {
        for state in self.entries.values_mut() {
            let possible = |record: &CrashRecord| !record.confirmed && record.crash == *crash;
            let Some(index) = state.crashes.iter().position(possible) else { continue };
            if planned {
                state.crashes.swap_remove(index);
            } else if now.saturating_duration_since(state.crashes[index].broken) <= CRASH_WINDOW {
                state.crashes[index].confirmed = true;
                state.learned_at = now;
            }
            self.changed = true;
        }
    }

    /// What peers should know of a cause.
    pub fn entry(&self, cause: SuspectCause, now: Instant) -> Option<SuspectEntry> {
        self.entries.get(&cause).map(|state| state.entry(cause, now))
    }

    /// Records a crash, confirmed or possible, against one cause. Returns whether that is news.
    fn record(
        &mut self,
        cause: SuspectCause,
        depth: u16,
        crash: &CrashId,
        broken: Instant,
        confirmed: bool,
        now: Instant,
    ) -> bool {
        let state = self.state(cause, now);
        state.depth = state.depth.max(depth);
        let is_news = state.add(crash, broken, confirmed);
        if is_news {
            state.last_seen = state.last_seen.max(broken);
            state.learned_at = now;
            self.changed = true;
        }
        is_news
    }

    /// Merges a peer's entry.
    pub fn merge(&mut self, entry: &SuspectEntry, now: Instant) {
        let age = Duration::from_millis(entry.age_ms);
        let Some(last) = now.checked_sub(age).filter(|_| age <= SUSPECT_LIFETIME) else { return };
        for sighting in &entry.crashes {
            let before = Duration::from_millis(sighting.before_ms);
            let broken = last.checked_sub(before).unwrap_or(last);
            let crash = (sighting.target.clone(), sighting.restart);
            self.record(entry.cause, entry.depth, &crash, broken, sighting.confirmed, now);
        }
        self.merge_finish(entry, last, now);
        let state = self.state(entry.cause, now);
        let is_request = matches!(entry.cause, SuspectCause::Request(_));
        if is_request && entry.convicted && !state.conviction_is_final {
            state.conviction_is_final = true;
            state.learned_at = now;
            self.changed = true;
        }
    }

    /// Takes over the later finish of a peer's entry, or prepares to tell the peer of a later one.
    fn merge_finish(&mut self, entry: &SuspectEntry, last: Instant, now: Instant) {
        let told = entry.finished_after_ms.map(|after| shifted(last, after).min(now));
        let own = self.finished_parts.last_finish(entry.cause);
        let state = self.state(entry.cause, now);
        let known = state.finished.max(own);
        let latest = known.max(told);
        let is_changed = latest > state.finished;
        state.finished = latest;
        let is_ahead = known.is_some_and(|known| {
            told.is_none_or(|told| known.saturating_duration_since(told) > MIN_FINISH_ADVANCE)
        });
        if is_ahead {
            state.learned_at = now;
        }
        self.changed |= is_changed;
    }

    /// A request has finished: crashes recorded so far no longer count against it. If the target has written an
    /// answer, they don't count against the parts of its prompt either.
    pub fn clear(&mut self, profile: &RequestProfile, has_written: bool, now: Instant) {
        for cause in request_causes(profile) {
            if matches!(cause, SuspectCause::Part(_)) {
                if !has_written {
                    continue;
                }
                self.finished_parts.record(cause, now);
            }
            let Some(state) = self.entries.get_mut(&cause) else { continue };
            if state.conviction_is_final {
                continue;
            }
            let counted = state.crashes.iter().any(|record| state.counts(record, now));
            state.finished = Some(now);
            if counted {
                state.learned_at = now;
                self.changed = true;
            }
        }
    }

    /// Removes entries that are too old.
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, state| state.is_current(now));
    }

    /// Number of causes with at least one confirmed crash that counts.
    pub fn active_count(&self) -> usize {
        let counts = |state: &SuspectState, record: &CrashRecord| {
            record.confirmed && state.finished.is_none_or(|finished| finished < record.broken)
        };
        let is_active =
            |state: &&SuspectState| state.crashes.iter().any(|record| counts(state, record));
        self.entries.values().filter(is_active).count()
    }

    /// Selects up to `most` entries for the next digest: changed ones first and among them the gravest, then
    /// those sent least recently, so that each one is sent in turn.
    pub fn next_for_digest(&mut self, most: usize, now: Instant) -> Vec<SuspectEntry> {
        self.round += 1;
        let round = self.round;
        let is_told = |(cause, state): &(&SuspectCause, &mut SuspectState)| {
            let is_part = matches!(cause, SuspectCause::Part(_));
            state.crashes.iter().any(|record| record.confirmed || is_part)
        };
        let mut known: Vec<(&SuspectCause, &mut SuspectState)> =
            self.entries.iter_mut().filter(is_told).collect();
        known.sort_by_key(|(cause, state)| {
            let old = now.saturating_duration_since(state.learned_at) > NEW_ENTRY_PERIOD;
            let harmless = state.suspicion == Suspicion::None
                && matches!(cause, SuspectCause::Part(_))
                && state.finished.is_none_or(|finished| finished < state.last_seen);
            let grave = state.suspicion >= Suspicion::Held;
            (old, !grave, harmless, state.last_sent)
        });
        let entry = |(cause, state): (&SuspectCause, &mut SuspectState)| {
            state.last_sent = round;
            state.entry(*cause, now)
        };
        known.into_iter().take(most).map(entry).collect()
    }

    fn state(&mut self, cause: SuspectCause, now: Instant) -> &mut SuspectState {
        if !self.entries.contains_key(&cause) && self.entries.len() >= MAX_SUSPECTS {
            self.evict();
        }
        let finished = self.finished_parts.last_finish(cause);
        self.entries.entry(cause).or_insert_with(|| SuspectState {
            crashes: Vec::new(),
            finished,
            depth: 0,
            suspicion: Suspicion::None,
            conviction_is_final: false,
            trial_due: None,
            last_seen: now,
            learned_at: now,
            last_sent: 0,
        })
    }

    /// Makes room for a new entry: removes the least suspected one with the fewest crashes, the oldest first.
    fn evict(&mut self) {
        let rank = |state: &SuspectState| {
            (state.conviction_is_final, state.suspicion, state.crashes.len(), state.last_seen)
        };
        let least = self.entries.iter().min_by_key(|(_, state)| rank(state));
        if let Some(cause) = least.map(|(cause, _)| *cause) {
            self.entries.swap_remove(&cause);
        }
    }
}

impl SuspectState {
    fn is_current(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_seen) <= SUSPECT_LIFETIME
    }

    /// Whether a crash counts: nothing with this cause has finished since, and it is confirmed or still may be.
    fn counts(&self, record: &CrashRecord, now: Instant) -> bool {
        let pending = now.saturating_duration_since(record.broken) <= CRASH_WINDOW;
        (record.confirmed || pending)
            && self.finished.is_none_or(|finished| finished < record.broken)
    }

    /// Adds a crash, or confirms a known one. Returns whether that is news.
    fn add(&mut self, crash: &CrashId, broken: Instant, confirmed: bool) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|record| record.crash == *crash) {
            // Ages that peers tell grow too slowly on their way.
            known.broken = known.broken.min(broken);
            let is_news = confirmed && !known.confirmed;
            known.confirmed |= confirmed;
            return is_news;
        }
        if self.crashes.len() >= MAX_CRASHES {
            // A possible crash doesn't replace a confirmed one.
            let rank = |record: &CrashRecord| (record.confirmed, record.broken);
            let least = (0..self.crashes.len()).min_by_key(|index| rank(&self.crashes[*index]));
            let Some(index) = least else { return false };
            let (known, since) = rank(&self.crashes[index]);
            if (known, since + MIN_CRASH_ADVANCE) >= (confirmed, broken) {
                return false;
            }
            self.crashes.swap_remove(index);
        }
        self.crashes.push(CrashRecord { crash: crash.clone(), broken, confirmed });
        true
    }

    fn entry(&self, cause: SuspectCause, now: Instant) -> SuspectEntry {
        let is_part = matches!(cause, SuspectCause::Part(_));
        let told = self.crashes.iter().filter(|record| record.confirmed || is_part);
        let last = self.last_seen;
        let millis = |time: Duration| time.as_millis() as u64;
        SuspectEntry {
            cause,
            depth: self.depth,
            crashes: told
                .map(|record| CrashSighting {
                    target: record.crash.0.clone(),
                    restart: record.crash.1,
                    before_ms: millis(last.saturating_duration_since(record.broken)),
                    confirmed: record.confirmed,
                })
                .collect(),
            finished_after_ms: self.finished.map(|finished| {
                let after = millis(finished.saturating_duration_since(last)) as i64;
                after - millis(last.saturating_duration_since(finished)) as i64
            }),
            convicted: self.suspicion == Suspicion::Convicted,
            age_ms: millis(now.saturating_duration_since(last)),
        }
    }
}

/// Longest time from a finish to a later crash that a peer's entry can tell. No crash counts for so long.
const MAX_FINISH_AGE: Duration = Duration::from_secs(24 * 3_600);

/// An instant some milliseconds later, or earlier if they are negative.
fn shifted(instant: Instant, milliseconds: i64) -> Instant {
    let span = Duration::from_millis(milliseconds.unsigned_abs());
    match milliseconds {
        0.. => instant + span.min(SUSPECT_LIFETIME),
        _ => instant.checked_sub(span.min(MAX_FINISH_AGE)).unwrap_or(instant),
    }
}

/// Position of a cause among those of a request. The request itself comes first in the list, and counts as
/// deeper than all of its parts.
fn depth_in(causes: &[SuspectCause], cause: SuspectCause) -> u16 {
    let position = causes.iter().position(|one| *one == cause).unwrap_or(0);
    position.checked_sub(1).and_then(|part| u16::try_from(part).ok()).unwrap_or(u16::MAX)
}

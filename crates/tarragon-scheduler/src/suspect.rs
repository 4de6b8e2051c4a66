//! Requests suspected or convicted of crashing targets, by fingerprint.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tarragon_protocol::peer::SuspectEntry;

use crate::{hash::NumberHash, inflight::RunningAttempt, prelude::*};

/// Maximum number of remembered fingerprints.
pub const MAX_SUSPECTS: usize = 1_024;

/// Suspicions and convictions expire after this time.
pub const SUSPECT_LIFETIME: Duration = Duration::from_secs(600);

/// Number of crashes after which a request is convicted and refused.
const CONVICTING_CRASHES: usize = 2;

/// A restart of the target within this time of a broken connection counts as a crash.
pub const CRASH_WINDOW: Duration = Duration::from_secs(10);

/// An attempt whose connection broke, or that its caller abandoned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrokenAttempt {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Restart id of the process that it was sent to, if it was known.
    pub restart: Option<RestartId>,
    /// When the connection broke.
    pub broken: Instant,
    /// When a process at the target's address first answered an attempt dispatched after that.
    pub answered: Option<Instant>,
    /// Whether the caller left before the target had sent anything, instead of a broken connection. This
    /// counts as a crash only if the process turns out to have ended.
    pub abandoned: bool,
}

impl BrokenAttempt {
    /// Records a running attempt whose connection broke, or that was abandoned, at `now`.
    pub fn of(running: &RunningAttempt, now: Instant, abandoned: bool) -> BrokenAttempt {
        BrokenAttempt {
            fingerprint: running.job.profile.fingerprint,
            restart: running.restart,
            broken: now,
            answered: None,
            abandoned,
        }
    }

    /// Identity of the crash that this attempt saw, if the process has ended.
    pub fn crash_id(&self, target: &TargetName) -> CrashId {
        (target.clone(), self.restart.unwrap_or(0))
    }
}

/// For this long, changed entries are sent to peers before older ones. It is longer than they take to reach all
/// processes.
const NEW_ENTRY_PERIOD: Duration = Duration::from_secs(5);

/// Identity of one crash: the target and the restart id of the process that crashed.
pub type CrashId = (TargetName, RestartId);

/// Crash history of one request.
#[derive(Debug)]
struct SuspectState {
    crashes: Vec<CrashId>,
    /// Crashes that no longer count because the request has finished since. Peers may still report them again.
    dismissed: Vec<CrashId>,
    /// Broken connections that may turn out to be crashes.
    unconfirmed: Vec<CrashId>,
    convicted: bool,
    cleared_at: Option<Instant>,
    last_seen: Instant,
    /// When this process last learned of a new crash or conviction.
    learned_at: Instant,
    /// Round in which it was last sent to peers.
    last_sent: u64,
}

/// How far a request is suspected of crashing targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// Not suspected.
    None,
    /// One crash may be due to it: it runs only at targets that run no other suspect.
    Suspect,
    /// A second crash is possible but unconfirmed; it doesn't run until that is resolved.
    Held,
    /// Two targets crashed while they ran it: it is refused.
    Convicted,
}

/// Crash histories by fingerprint.
#[derive(Debug, Default)]
pub struct SuspectTable {
    entries: IndexMap<Fingerprint, SuspectState, NumberHash>,
    /// Number of digests for which entries were selected.
    round: u64,
}

impl SuspectTable {
    /// Number of fingerprints.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Current suspicion against a request.
    pub fn check(&self, fingerprint: Fingerprint, now: Instant) -> Suspicion {
        let Some(state) = self.entries.get(&fingerprint) else { return Suspicion::None };
        if now.saturating_duration_since(state.last_seen) > SUSPECT_LIFETIME {
            return Suspicion::None;
        }
        match state.crashes.len() + state.unconfirmed.len() {
            _ if state.convicted => Suspicion::Convicted,
            0 => Suspicion::None,
            1 => Suspicion::Suspect,
            _ => Suspicion::Held,
        }
    }

    /// Adds a broken connection of the request, which may turn out to be a crash.
    pub fn add_possible_crash(
        &mut self,
        fingerprint: Fingerprint,
        crash_id: CrashId,
        now: Instant,
    ) {
        let state = self.state(fingerprint, now);
        if !state.knows(&crash_id) && !state.unconfirmed.contains(&crash_id) {
            state.unconfirmed.push(crash_id);
        }
        state.last_seen = now;
    }

    /// Removes a possible crash that was none, or that was not confirmed in time.
    pub fn dismiss(&mut self, fingerprint: Fingerprint, crash_id: &CrashId) {
        let Some(state) = self.entries.get_mut(&fingerprint) else { return };
        state.unconfirmed.retain(|unconfirmed| unconfirmed != crash_id);
        if state.unconfirmed.is_empty() && state.crashes.is_empty() && state.dismissed.is_empty() {
            self.entries.swap_remove(&fingerprint);
        }
    }

    /// Records a confirmed crash. Returns the entry to send to peers if the crash is new.
    pub fn confirm_crash(
        &mut self,
        fingerprint: Fingerprint,
        crash: CrashId,
        broken: Instant,
        now: Instant,
    ) -> Option<SuspectEntry> {
        let state = self.state(fingerprint, now);
        state.unconfirmed.retain(|unconfirmed| *unconfirmed != crash);
        if state.cleared_at.is_some_and(|cleared_at| cleared_at >= broken) {
            state.dismissed.push(crash);
            return None;
        }
        state.last_seen = now;
        state.add(crash, now).then(|| state.entry(fingerprint, now))
    }

    /// Merges a peer's entry. Returns an entry for other peers if crashes known here and there together
    /// convict the request.
    pub fn merge(&mut self, entry: &SuspectEntry, now: Instant) -> Option<SuspectEntry> {
        let age = Duration::from_millis(entry.age_ms);
        if age > SUSPECT_LIFETIME {
            return None;
        }
        let state = self.state(entry.fingerprint, now);
        let known = state.convicted;
        for crash in &entry.crashes {
            if state.add(crash.clone(), now) {
                state.last_seen = state.last_seen.max(now.checked_sub(age).unwrap_or(now));
            }
        }
        if entry.convicted && !state.convicted {
            state.convicted = true;
            state.learned_at = now;
        }
        let news = state.convicted && !known && !entry.convicted;
        news.then(|| state.entry(entry.fingerprint, now))
    }

    /// The request finished, so the crashes recorded so far no longer count against it.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Instant) {
        let Some(state) = self.entries.get_mut(&fingerprint) else { return };
        if !state.convicted {
            state.dismissed.append(&mut state.crashes);
            state.cleared_at = Some(now);
        }
    }

    /// Removes entries that are too old.
    pub fn expire(&mut self, now: Instant) {
        self.entries
            .retain(|_, state| now.saturating_duration_since(state.last_seen) <= SUSPECT_LIFETIME);
    }

    /// Number of requests with at least one confirmed crash.
    pub fn active_count(&self) -> usize {
        self.entries.values().filter(|state| !state.crashes.is_empty()).count()
    }

    /// Selects up to `most` entries for the next digest: changed ones first, then those sent least recently,
    /// so that each one is sent in turn.
    pub fn next_for_digest(&mut self, most: usize, now: Instant) -> Vec<SuspectEntry> {
        self.round += 1;
        let round = self.round;
        let mut known: Vec<(&Fingerprint, &mut SuspectState)> =
            self.entries.iter_mut().filter(|(_, state)| !state.crashes.is_empty()).collect();
        known.sort_by_key(|(_, state)| {
            let old = now.saturating_duration_since(state.learned_at) > NEW_ENTRY_PERIOD;
            (old, state.last_sent, !state.convicted)
        });
        let entry = |(fingerprint, state): (&Fingerprint, &mut SuspectState)| {
            state.last_sent = round;
            state.entry(*fingerprint, now)
        };
        known.into_iter().take(most).map(entry).collect()
    }

    fn state(&mut self, fingerprint: Fingerprint, now: Instant) -> &mut SuspectState {
        if !self.entries.contains_key(&fingerprint) && self.entries.len() >= MAX_SUSPECTS {
            self.evict();
        }
        self.entries.entry(fingerprint).or_insert_with(|| SuspectState {
            crashes: Vec::new(),
            dismissed: Vec::new(),
            unconfirmed: Vec::new(),
            convicted: false,
            cleared_at: None,
            last_seen: now,
            learned_at: now,
            last_sent: 0,
        })
    }

    /// Makes room for a new entry: removes the oldest entry, unconvicted ones first.
    fn evict(&mut self) {
        let oldest =
            self.entries.iter().min_by_key(|(_, state)| (state.convicted, state.last_seen));
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.entries.swap_remove(&fingerprint);
        }
    }
}

impl SuspectState {
    fn knows(&self, crash: &CrashId) -> bool {
        self.crashes.contains(crash) || self.dismissed.contains(crash)
    }

    /// Adds a confirmed crash. Returns whether it was new.
    fn add(&mut self, crash: CrashId, now: Instant) -> bool {
        self.unconfirmed.retain(|unconfirmed| *unconfirmed != crash);
        if self.knows(&crash) {
            return false;
        }
        if self.crashes.len() < CONVICTING_CRASHES {
            self.crashes.push(crash);
        }
        self.convicted |= self.crashes.len() >= CONVICTING_CRASHES;
        self.learned_at = now;
        true
    }

    fn entry(&self, fingerprint: Fingerprint, now: Instant) -> SuspectEntry {
        SuspectEntry {
            fingerprint,
            crashes: self.crashes.clone(),
            convicted: self.convicted,
            age_ms: now.saturating_duration_since(self.last_seen).as_millis() as u64,
        }
    }
}

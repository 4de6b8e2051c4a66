//! Requests that may crash targets.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tarragon_protocol::peer::SuspectEntry;

use crate::{hash::NumberHash, inflight::RunningAttempt, prelude::*};

/// Fingerprints that are remembered.
pub const MAX_SUSPECTS: usize = 1_024;

/// Suspicions and verdicts end after this time.
pub const SUSPECT_LIFETIME: Duration = Duration::from_secs(600);

/// Crashes after which a request is refused.
const CONVICTING_CRASHES: usize = 2;

/// A restart of the target within this time of a broken connection counts as a crash.
pub const CRASH_WINDOW: Duration = Duration::from_secs(10);

/// A request whose connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrokenAttempt {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Restart id of the process that it was sent to, if it was known.
    pub restart: Option<RestartId>,
    /// When the connection broke.
    pub broken: Instant,
    /// When some process at the target's address first answered after that.
    pub answered: Option<Instant>,
    /// Whether the caller left a target that had sent nothing, in place of a connection that broke. This counts
    /// only if the process turns out to have ended.
    pub abandoned: bool,
}

impl BrokenAttempt {
    /// The run of an attempt whose target has just turned out to be lost.
    pub fn of(running: &RunningAttempt, now: Instant, abandoned: bool) -> BrokenAttempt {
        BrokenAttempt {
            fingerprint: running.job.profile.fingerprint,
            restart: running.restart,
            broken: now,
            answered: None,
            abandoned,
        }
    }

    /// The crash that this is if the process has ended.
    pub fn crash_id(&self, target: &TargetName) -> CrashId {
        (target.clone(), self.restart.unwrap_or(0))
    }
}

/// News of a suspect go before older ones for this long: longer than they take to reach all processes.
const NEW_ENTRY_PERIOD: Duration = Duration::from_secs(5);

/// One crash: the target and its restart id before it.
pub type CrashId = (TargetName, RestartId);

/// What is known of one request.
#[derive(Debug)]
struct SuspectState {
    crashes: Vec<CrashId>,
    /// Crashes from before a finished run. Peers may still repeat them.
    dismissed: Vec<CrashId>,
    /// Broken connections that may turn out to be crashes.
    unconfirmed: Vec<CrashId>,
    convicted: bool,
    cleared_at: Option<Instant>,
    last_seen: Instant,
    /// When this process last learned something of it.
    learned_at: Instant,
    /// Turn in which it was last told to peers.
    last_sent: u64,
}

/// What is held against a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// Nothing.
    None,
    /// It runs alone among suspects.
    Suspect,
    /// A second crash may have happened; it doesn't run until that is known.
    Held,
    /// It is refused.
    Convicted,
}

/// Suspicions by fingerprint.
#[derive(Debug, Default)]
pub struct SuspectTable {
    entries: IndexMap<Fingerprint, SuspectState, NumberHash>,
    /// Times that suspects were told to peers.
    round: u64,
}

impl SuspectTable {
    /// Number of fingerprints.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// What is held against a request.
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

    /// A connection broke while the request ran.
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

    /// A broken connection was no crash, or it is not known to be one in time.
    pub fn dismiss(&mut self, fingerprint: Fingerprint, crash_id: &CrashId) {
        let Some(state) = self.entries.get_mut(&fingerprint) else { return };
        state.unconfirmed.retain(|unconfirmed| unconfirmed != crash_id);
        if state.unconfirmed.is_empty() && state.crashes.is_empty() && state.dismissed.is_empty() {
            self.entries.swap_remove(&fingerprint);
        }
    }

    /// A broken connection was a crash. Returns what peers have to know.
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

    /// A peer's finding. Returns what other peers have to know: two findings together may convict.
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

    /// The request finished: it did not cause the crashes that it was near.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Instant) {
        let Some(state) = self.entries.get_mut(&fingerprint) else { return };
        if !state.convicted {
            state.dismissed.append(&mut state.crashes);
            state.cleared_at = Some(now);
        }
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Instant) {
        self.entries
            .retain(|_, state| now.saturating_duration_since(state.last_seen) <= SUSPECT_LIFETIME);
    }

    /// Number of suspects and verdicts in force.
    pub fn active_count(&self) -> usize {
        self.entries.values().filter(|state| !state.crashes.is_empty()).count()
    }

    /// Up to `most` suspects and verdicts for the next digest: news first, and in turns, so that each is told
    /// however many there are.
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

    /// Makes room: suspicions go before verdicts, the oldest first.
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

    /// Adds a crash. Returns whether it was unknown.
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

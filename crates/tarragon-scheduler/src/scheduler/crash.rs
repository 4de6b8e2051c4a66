//! Broken connections: which of them are crashes of their target, and of which requests.
//!
//! A break counts as a crash if the process that ran the request is known to have ended, and as none if that
//! process is known to have been alive later. Without either, it is forgotten after [`CRASH_LINK`]. An answer from a
//! target's address alone proves nothing: a new process may have given it, under the old name, too.

use std::time::{Duration, Instant};

use crate::{
    inflight::RunningAttempt,
    prelude::*,
    scheduler::Scheduler,
    suspect::{BrokenAttempt, CRASH_WINDOW},
    targets::EndedProcess,
};

/// Broken connections that are remembered for each target.
const MAX_BROKEN: usize = 256;
/// An entry that nobody renews lapses within this time: three heartbeats of 1.2 s.
const ENTRY_LIFETIME: Duration = Duration::from_secs(4);
/// A new process has published itself this long after its first answer: two calls to a slow store.
const PUBLISHING_TIME: Duration = Duration::from_millis(500);

impl Scheduler {
    /// Remembers that a connection broke, or that the caller left a target that had sent nothing.
    pub(super) fn record_broken(
        &mut self,
        running: &RunningAttempt,
        abandoned: bool,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(row) = self.targets.row_mut(running.target) else { return };
        let attempt = BrokenAttempt::of(running, now, abandoned);
        if row.listed && row.restart == attempt.restart {
            if row.broken.len() < MAX_BROKEN {
                row.broken.push(attempt);
                if !abandoned {
                    let crash_id = attempt.crash_id(&row.name);
                    self.suspects.add_possible_crash(attempt.fingerprint, crash_id, now);
                }
            }
            return;
        }
        // The end of the process has been heard of before the end of its connection.
        let ended = row.ended.filter(|ended| Some(ended.restart) == attempt.restart);
        if ended.is_some_and(|ended| !ended.planned) {
            self.record_crash(running.target, attempt, now, actions);
        }
    }

    /// The process of a target has ended.
    pub(super) fn handle_process_end(
        &mut self,
        target: usize,
        ended: EndedProcess,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if ended.planned {
            self.dismiss_broken(target, "target was leaving", now, |_| true);
        } else {
            self.record_crashes(target, now, |_| true, actions);
            self.record_crashes_of_waiting(target, ended.restart, now, actions);
        }
    }

    /// Attempts that wait for a process which has ended hear nothing of it until their patience is over.
    fn record_crashes_of_waiting(
        &mut self,
        target: usize,
        ended: RestartId,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let waiting = self.in_flight.iter().filter(|running| {
            running.target == target
                && running.restart == Some(ended)
                && running.started
                && running.first_token.is_none()
        });
        let runs: Vec<BrokenAttempt> =
            waiting.map(|running| BrokenAttempt::of(running, now, true)).collect();
        for attempt in runs {
            self.record_crash(target, attempt, now, actions);
        }
    }

    /// No connection to a target could be made. One that is leaving or gone may not have been asked for one.
    pub(super) fn handle_refused_connection(
        &mut self,
        target: usize,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if self.targets.row(target).is_some_and(|row| row.listed && !row.leaving) {
            self.record_crashes(target, now, |attempt| !attempt.abandoned, actions);
        }
    }

    /// The process of a target has crashed: what ran there when connections broke is suspect.
    fn record_crashes<C>(
        &mut self,
        target: usize,
        now: Instant,
        counts: C,
        actions: &mut Vec<SchedulerAction>,
    ) where
        C: Fn(&BrokenAttempt) -> bool,
    {
        self.dismiss_old_breaks_at(target, now);
        let Some(row) = self.targets.row_mut(target) else { return };
        let crashed: Vec<BrokenAttempt> =
            row.broken.extract_if(.., |attempt| counts(attempt)).collect();
        for attempt in crashed {
            self.record_crash(target, attempt, now, actions);
        }
    }

    fn record_crash(
        &mut self,
        target: usize,
        attempt: BrokenAttempt,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(row) = self.targets.row(target) else { return };
        let BrokenAttempt { fingerprint, broken, .. } = attempt;
        let crash_id = attempt.crash_id(&row.name);
        tracing::info!(
            target_address = &*crash_id.0,
            fingerprint,
            restart = crash_id.1,
            abandoned = attempt.abandoned,
            age_ms = now.saturating_duration_since(broken).as_millis() as u64,
            "target crashed while the request ran"
        );
        if let Some(entry) = self.suspects.confirm_crash(fingerprint, crash_id, broken, now) {
            self.announce_suspect(entry, actions);
        }
    }

    /// A target's process was alive at a time, as itself reports. What broke before was no crash of it.
    pub(super) fn record_alive_at(
        &mut self,
        target: usize,
        restart: RestartId,
        at: Instant,
        now: Instant,
    ) {
        self.dismiss_broken(target, "target lives", now, |attempt| {
            attempt.broken < at && attempt.restart == Some(restart)
        });
    }

    /// Some process at the target's address has answered an attempt that was dispatched at a time. Load that peers
    /// tell isn't evidence: its age is estimated, and grows too slowly as it is passed on.
    pub(super) fn record_answer(&mut self, target: usize, dispatched: Instant, now: Instant) {
        let Some(row) = self.targets.row_mut(target) else { return };
        for attempt in row.broken.iter_mut().filter(|attempt| attempt.broken <= dispatched) {
            attempt.answered.get_or_insert(now);
        }
    }

    /// What is published still named this process at a time. It has survived a break if its entry would have
    /// lapsed since, or if a new process that answers would have published itself.
    pub(super) fn confirm_process(
        &mut self,
        target: &TargetName,
        restart: RestartId,
        read: Instant,
        now: Instant,
    ) {
        let Some(index) = self.targets.find(target) else { return };
        self.dismiss_broken(index, "target lives", now, |attempt| {
            let lapsed = attempt.broken + ENTRY_LIFETIME <= read;
            let answers = attempt.answered.is_some_and(|at| at + PUBLISHING_TIME <= read);
            attempt.restart == Some(restart) && (lapsed || answers)
        });
    }

    /// An attempt that was dispatched at a time has news of its target over the same connection: the process has
    /// been alive all the while.
    pub(super) fn record_alive_since(&mut self, target: usize, dispatched: Instant, now: Instant) {
        self.dismiss_broken(target, "target lives", now, |attempt| attempt.broken > dispatched);
    }

    /// Connections that broke at a target were no crash.
    pub(super) fn dismiss_broken<C>(
        &mut self,
        target: usize,
        cause: &str,
        now: Instant,
        is_harmless: C,
    ) where
        C: Fn(&BrokenAttempt) -> bool,
    {
        let Some(row) = self.targets.row_mut(target) else { return };
        let (name, broken) = (&row.name, &mut row.broken);
        let dismissed: Vec<BrokenAttempt> =
            broken.extract_if(.., |attempt| is_harmless(attempt)).collect();
        for attempt in dismissed {
            log_dismissal(name, &attempt, cause, now);
            let same =
                |kept: &BrokenAttempt| kept.fingerprint == attempt.fingerprint && !kept.abandoned;
            if !attempt.abandoned && !broken.iter().any(same) {
                self.suspects.dismiss(attempt.fingerprint, &attempt.crash_id(name));
            }
        }
    }

    /// Targets at which connections broke a short time ago.
    pub fn targets_with_broken_connections(&self) -> impl Iterator<Item = &TargetName> {
        let rows = self.targets.iter().map(|(_, row)| row);
        rows.filter(|row| !row.broken.is_empty()).map(|row| &row.name)
    }

    /// Broken connections without an end of the target's process in time were no crash.
    pub(super) fn dismiss_old_breaks(&mut self, now: Instant) {
        let broken = self.targets.iter().filter(|(_, row)| !row.broken.is_empty());
        let affected: Vec<usize> = broken.map(|(index, _)| index).collect();
        for index in affected {
            self.dismiss_old_breaks_at(index, now);
        }
    }

    fn dismiss_old_breaks_at(&mut self, target: usize, now: Instant) {
        let is_old =
            |attempt: &BrokenAttempt| now.saturating_duration_since(attempt.broken) > CRASH_WINDOW;
        self.dismiss_broken(target, "too old", now, is_old);
    }
}

fn log_dismissal(target: &TargetName, attempt: &BrokenAttempt, cause: &str, now: Instant) {
    let age = now.saturating_duration_since(attempt.broken);
    tracing::info!(
        target_address = &**target,
        fingerprint = attempt.fingerprint,
        cause,
        age_ms = age.as_millis() as u64,
        "broken connection doesn't count as a crash"
    );
}

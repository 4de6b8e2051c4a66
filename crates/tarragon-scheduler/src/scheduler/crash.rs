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
    suspect::{BrokenRun, CRASH_LINK},
};

/// Broken connections that are remembered for each target.
const MAX_BROKEN: usize = 256;
/// An entry that nobody renews lapses within this time: three heartbeats of 1.2 s.
const ENTRY_LIFETIME: Duration = Duration::from_secs(4);
/// A new process has published itself this long after its first answer: two calls to a slow store.
const PUBLISHING_TIME: Duration = Duration::from_millis(500);
/// Answers that are told later than this after a break may be from before it: two digest intervals.
const TELLING_TIME: Duration = Duration::from_millis(400);

impl Scheduler {
    /// Remembers that a connection broke.
    pub(super) fn note_broken(&mut self, running: &RunningAttempt, now: Instant) {
        let fingerprint = running.job.profile.fingerprint;
        let Some(row) = self.targets.row_mut(running.target) else { return };
        if row.listed && row.broken.len() < MAX_BROKEN {
            let run =
                BrokenRun { fingerprint, restart: running.restart, broken: now, answered: None };
            row.broken.push(run);
            self.suspects.pend(fingerprint, now);
        }
    }

    /// The process of a target has ended: what ran there when connections broke is suspect. Without its restart
    /// id, the last known one stands for the crash.
    pub(super) fn confirm_crash(
        &mut self,
        target: usize,
        ended: Option<RestartId>,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(row) = self.targets.row_mut(target) else { return };
        let restart = ended.or(row.restart).unwrap_or(0);
        let name = row.name.clone();
        for run in std::mem::take(&mut row.broken) {
            let BrokenRun { fingerprint, broken, .. } = run;
            let age = now.saturating_duration_since(broken);
            if age > CRASH_LINK {
                log_release(&name, &run, "too old", now);
                self.suspects.release(fingerprint);
                continue;
            }
            tracing::info!(
                target_address = &*name,
                fingerprint,
                restart,
                age_ms = age.as_millis() as u64,
                "target crashed while the request ran"
            );
            let mark = (name.clone(), restart);
            if let Some(entry) = self.suspects.confirm(fingerprint, mark, broken, now) {
                self.announce_suspect(entry, actions);
            }
        }
    }

    /// A target's process was alive at a time, as itself reports. What broke before was no crash of it.
    pub(super) fn survive(&mut self, target: usize, restart: RestartId, at: Instant, now: Instant) {
        self.release_broken(target, "target lives", now, |run| {
            run.broken < at && run.restart == Some(restart)
        });
    }

    /// Some process at the target's address has answered.
    pub(super) fn note_answer(&mut self, target: usize, at: Instant) {
        let Some(row) = self.targets.row_mut(target) else { return };
        let later = row.broken.iter_mut().filter(|run| run.broken + TELLING_TIME <= at);
        for run in later {
            run.answered.get_or_insert(at);
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
        self.release_broken(index, "target lives", now, |run| {
            let lapsed = run.broken + ENTRY_LIFETIME <= read;
            let answers = run.answered.is_some_and(|at| at + PUBLISHING_TIME <= read);
            run.restart == Some(restart) && (lapsed || answers)
        });
    }

    /// An attempt that was dispatched at a time has news of its target over the same connection: the process has
    /// been alive all the while.
    pub(super) fn outlast(&mut self, target: usize, dispatched: Instant, now: Instant) {
        self.release_broken(target, "target lives", now, |run| run.broken >= dispatched);
    }

    /// Connections that broke at a target were no crash.
    pub(super) fn release_broken<C>(
        &mut self,
        target: usize,
        cause: &str,
        now: Instant,
        is_harmless: C,
    ) where
        C: Fn(&BrokenRun) -> bool,
    {
        let Some(row) = self.targets.row_mut(target) else { return };
        let suspects = &mut self.suspects;
        let name = &row.name;
        row.broken.retain(|run| {
            let harmless = is_harmless(run);
            if harmless {
                log_release(name, run, cause, now);
                suspects.release(run.fingerprint);
            }
            !harmless
        });
    }

    /// Targets at which connections broke a short time ago.
    pub fn broken_targets(&self) -> impl Iterator<Item = &TargetName> {
        let rows = self.targets.iter().map(|(_, row)| row);
        rows.filter(|row| !row.broken.is_empty()).map(|row| &row.name)
    }

    /// Broken connections without an end of the target's process in time were no crash.
    pub(super) fn release_old_breaks(&mut self, now: Instant) {
        let broken = self.targets.iter().filter(|(_, row)| !row.broken.is_empty());
        let affected: Vec<usize> = broken.map(|(index, _)| index).collect();
        let is_old = |run: &BrokenRun| now.saturating_duration_since(run.broken) > CRASH_LINK;
        for index in affected {
            self.release_broken(index, "too old", now, is_old);
        }
    }
}

fn log_release(target: &TargetName, run: &BrokenRun, cause: &str, now: Instant) {
    let age = now.saturating_duration_since(run.broken);
    tracing::info!(
        target_address = &**target,
        fingerprint = run.fingerprint,
        cause,
        age_ms = age.as_millis() as u64,
        "broken connection doesn't count as a crash"
    );
}

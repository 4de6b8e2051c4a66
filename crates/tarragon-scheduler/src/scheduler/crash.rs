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
    pub(super) fn note_broken(
        &mut self,
        running: &RunningAttempt,
        abandoned: bool,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(row) = self.targets.row_mut(running.target) else { return };
        let run = BrokenRun::of(running, now, abandoned);
        if row.listed && row.restart == run.restart {
            if row.broken.len() < MAX_BROKEN {
                row.broken.push(run);
                if !abandoned {
                    let mark = run.mark(&row.name);
                    self.suspects.pend(run.fingerprint, mark, now);
                }
            }
            return;
        }
        // The end of the process has been heard of before the end of its connection.
        let ended = row.ended.filter(|ended| Some(ended.restart) == run.restart);
        if ended.is_some_and(|ended| !ended.planned) {
            self.confirm_run(running.target, run, now, actions);
        }
    }

    /// The process of a target has ended.
    pub(super) fn take_end(
        &mut self,
        target: usize,
        ended: EndedProcess,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if ended.planned {
            self.release_broken(target, "target was leaving", now, |_| true);
        } else {
            self.confirm_crash(target, now, |_| true, actions);
            self.confirm_waiting(target, ended.restart, now, actions);
        }
    }

    /// Attempts that wait for a process which has ended hear nothing of it until their patience is over.
    fn confirm_waiting(
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
        let runs: Vec<BrokenRun> =
            waiting.map(|running| BrokenRun::of(running, now, true)).collect();
        for run in runs {
            self.confirm_run(target, run, now, actions);
        }
    }

    /// No connection to a target could be made. One that is leaving or gone may not have been asked for one.
    pub(super) fn take_refused_connection(
        &mut self,
        target: usize,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if self.targets.row(target).is_some_and(|row| row.listed && !row.leaving) {
            self.confirm_crash(target, now, |run| !run.abandoned, actions);
        }
    }

    /// The process of a target has crashed: what ran there when connections broke is suspect.
    fn confirm_crash<C>(
        &mut self,
        target: usize,
        now: Instant,
        counts: C,
        actions: &mut Vec<SchedulerAction>,
    ) where
        C: Fn(&BrokenRun) -> bool,
    {
        self.release_old_breaks_at(target, now);
        let Some(row) = self.targets.row_mut(target) else { return };
        let crashed: Vec<BrokenRun> = row.broken.extract_if(.., |run| counts(run)).collect();
        for run in crashed {
            self.confirm_run(target, run, now, actions);
        }
    }

    fn confirm_run(
        &mut self,
        target: usize,
        run: BrokenRun,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(row) = self.targets.row(target) else { return };
        let BrokenRun { fingerprint, broken, .. } = run;
        let mark = run.mark(&row.name);
        tracing::info!(
            target_address = &*mark.0,
            fingerprint,
            restart = mark.1,
            abandoned = run.abandoned,
            age_ms = now.saturating_duration_since(broken).as_millis() as u64,
            "target crashed while the request ran"
        );
        if let Some(entry) = self.suspects.confirm(fingerprint, mark, broken, now) {
            self.announce_suspect(entry, actions);
        }
    }

    /// A target's process was alive at a time, as itself reports. What broke before was no crash of it.
    pub(super) fn survive(&mut self, target: usize, restart: RestartId, at: Instant, now: Instant) {
        self.release_broken(target, "target lives", now, |run| {
            run.broken < at && run.restart == Some(restart)
        });
    }

    /// Some process at the target's address has answered an attempt that was dispatched at a time. Load that peers
    /// tell isn't evidence: its age is estimated, and grows too slowly as it is passed on.
    pub(super) fn note_answer(&mut self, target: usize, dispatched: Instant, now: Instant) {
        let Some(row) = self.targets.row_mut(target) else { return };
        for run in row.broken.iter_mut().filter(|run| run.broken <= dispatched) {
            run.answered.get_or_insert(now);
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
        self.release_broken(target, "target lives", now, |run| run.broken > dispatched);
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
        let (name, broken) = (&row.name, &mut row.broken);
        let released: Vec<BrokenRun> = broken.extract_if(.., |run| is_harmless(run)).collect();
        for run in released {
            log_release(name, &run, cause, now);
            let same = |other: &BrokenRun| other.fingerprint == run.fingerprint && !other.abandoned;
            if !run.abandoned && !broken.iter().any(same) {
                self.suspects.release(run.fingerprint, &run.mark(name));
            }
        }
    }

    /// Targets at which connections broke a short time ago.
    pub fn targets_with_broken_connections(&self) -> impl Iterator<Item = &TargetName> {
        let rows = self.targets.iter().map(|(_, row)| row);
        rows.filter(|row| !row.broken.is_empty()).map(|row| &row.name)
    }

    /// Broken connections without an end of the target's process in time were no crash.
    pub(super) fn release_old_breaks(&mut self, now: Instant) {
        let broken = self.targets.iter().filter(|(_, row)| !row.broken.is_empty());
        let affected: Vec<usize> = broken.map(|(index, _)| index).collect();
        for index in affected {
            self.release_old_breaks_at(index, now);
        }
    }

    fn release_old_breaks_at(&mut self, target: usize, now: Instant) {
        let is_old = |run: &BrokenRun| now.saturating_duration_since(run.broken) > CRASH_LINK;
        self.release_broken(target, "too old", now, is_old);
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

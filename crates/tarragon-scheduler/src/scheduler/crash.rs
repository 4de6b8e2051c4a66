//! Decides which broken connections count as crashes of the target, and attributes them to requests.
//!
//! A broken connection counts as a crash if the process that ran the request is known to have ended without
//! an announced stop. It is dismissed if that process is known to have been alive later, or after
//! [`CRASH_WINDOW`] if neither is known. An answer from the target's address alone proves nothing, since a
//! new process under the old name may have sent it.

use std::time::{Duration, Instant};

use crate::{
    inflight::RunningAttempt,
    prelude::*,
    scheduler::Scheduler,
    suspect::{BrokenAttempt, CRASH_WINDOW},
    targets::EndedProcess,
};

/// Maximum number of broken connections remembered per target.
const MAX_BROKEN: usize = 256;
/// A published entry that is not renewed expires within this time: three heartbeats of 1.2 s.
const ENTRY_LIFETIME: Duration = Duration::from_secs(4);
/// A new process has published its entry at the latest this long after its first answer: two calls to a slow
/// store.
const PUBLISHING_TIME: Duration = Duration::from_millis(500);

impl Scheduler {
    /// Records a broken connection or, with `abandoned`, that the caller left before the target had sent
    /// anything.
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
                if !abandoned {
                    let crash_id = attempt.crash_id(&row.name);
                    self.suspects.add_possible_crash(&attempt.causes, &crash_id, now);
                }
                row.broken.push(attempt);
            }
            return;
        }
        // The end of the process was reported before the end of its connection.
        let ended = row.ended.filter(|ended| Some(ended.restart) == attempt.restart);
        if ended.is_some_and(|ended| !ended.planned) {
            self.record_crash(running.target, attempt, now, actions);
        }
    }

    /// Handles the end of a target's process: a crash unless it had announced its stop.
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
        // Peers may have told of connections of theirs that broke.
        if let Some(row) = self.targets.row(target) {
            let crash = (row.name.clone(), ended.restart);
            self.suspects.record_process_end(&crash, ended.planned, now);
        }
    }

    /// Records a crash for attempts that still wait for the first token of an ended process. Their own
    /// connections would show nothing until the callers time out.
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

    /// Handles a failed connection attempt: the target counts as crashed, unless it is leaving or no longer
    /// listed, since then the connection may never have been tried.
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

    /// The process of a target has crashed: suspects the requests whose recorded connections `counts` selects.
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
        let BrokenAttempt { broken, .. } = attempt;
        let crash_id = attempt.crash_id(&row.name);
        tracing::info!(
            target_address = &*crash_id.0,
            fingerprint = attempt.fingerprint(),
            restart = crash_id.1,
            abandoned = attempt.abandoned,
            age_ms = now.saturating_duration_since(broken).as_millis() as u64,
            "target crashed while the request ran"
        );
        let is_news = self.suspects.confirm_crash(&attempt.causes, &crash_id, broken, now);
        self.assess_suspects(false, None, now, actions);
        let request = attempt.causes.first().filter(|_| is_news);
        let entry = request.and_then(|request| self.suspects.entry(*request, now));
        // Convictions have been announced.
        if let Some(entry) = entry.filter(|entry| !entry.convicted) {
            self.announce_suspect(entry, actions);
        }
    }

    /// The process reported itself alive at `at`: connections to it that broke earlier were no crashes.
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

    /// Some process at the target's address answered an attempt dispatched at `dispatched`. Load reported by
    /// peers is not used as evidence: its age is estimated, and grows too slowly as it is passed on.
    pub(super) fn record_answer(&mut self, target: usize, dispatched: Instant, now: Instant) {
        let Some(row) = self.targets.row_mut(target) else { return };
        for attempt in row.broken.iter_mut().filter(|attempt| attempt.broken <= dispatched) {
            attempt.answered.get_or_insert(now);
        }
    }

    /// The published entry still named this process at `read`. The process has survived a broken connection
    /// if an entry of an ended process would have expired by then, or if a new process that answers would
    /// have published itself.
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

    /// An attempt dispatched at `dispatched` received data over its connection: the process has been alive
    /// since then, so connections that broke in between were no crashes.
    pub(super) fn record_alive_since(&mut self, target: usize, dispatched: Instant, now: Instant) {
        self.dismiss_broken(target, "target lives", now, |attempt| attempt.broken > dispatched);
    }

    /// Dismisses the broken connections of a target that `is_harmless` selects: they were no crashes.
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
            let crash_id = attempt.crash_id(name);
            for cause in attempt.causes.iter().filter(|_| !attempt.abandoned) {
                let same = |kept: &BrokenAttempt| kept.causes.contains(cause) && !kept.abandoned;
                if !broken.iter().any(same) {
                    self.suspects.dismiss(*cause, &crash_id);
                }
            }
        }
    }

    /// Targets with broken connections that may still turn out to be crashes.
    pub fn targets_with_broken_connections(&self) -> impl Iterator<Item = &TargetName> {
        let rows = self.targets.iter().map(|(_, row)| row);
        rows.filter(|row| !row.broken.is_empty()).map(|row| &row.name)
    }

    /// Dismisses broken connections that were not followed by an end of the process within [`CRASH_WINDOW`].
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
        fingerprint = attempt.fingerprint(),
        cause,
        age_ms = age.as_millis() as u64,
        "broken connection doesn't count as a crash"
    );
}

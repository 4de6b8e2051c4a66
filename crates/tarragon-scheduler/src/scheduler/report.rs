//! News of targets and peers: slots, load reports, crashes and suspects.

use std::time::{Duration, Instant};

use tarragon_protocol::peer::SuspectEntry;

use crate::{inflight::RunningAttempt, prelude::*, scheduler::Scheduler, suspect::CRASH_LINK};

/// Broken connections that are remembered for each target.
const MAX_BROKEN: usize = 256;

impl Scheduler {
    pub(super) fn remove_target(&mut self, target: &TargetName, now: Instant) {
        if let Some(index) = self.targets.find(target) {
            self.release_broken(index, None, "target is gone", now);
            self.targets.unlist(index, now);
            self.placement_changed = true;
        }
    }

    pub(super) fn change_slots(&mut self, slots: &TargetSlots, now: Instant) {
        let Some(index) = self.targets.find(&slots.target) else { return };
        if let Some(row) = self.targets.row_mut(index) {
            row.bears = slots.bears;
            row.window.set_slots(slots.slots, slots.cold);
        }
        self.targets.refresh(index, now);
    }

    pub(super) fn limit_starts(&mut self, target: &TargetName, limit: Option<u32>, now: Instant) {
        let Some(index) = self.targets.find(target) else { return };
        if let Some(row) = self.targets.row_mut(index) {
            row.starts.set_limit(limit);
        }
        self.targets.refresh(index, now);
    }

    pub(super) fn take_report(
        &mut self,
        target: &TargetName,
        report: &LoadReport,
        age: Duration,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(index) = self.targets.find(target) else { return };
        let before = self.targets.row(index).and_then(|row| row.restart());
        let age = age.saturating_add(Duration::from_millis(report.lag_ms));
        let own = self.own_within(index, report, now.checked_sub(age));
        if self.targets.take_report(index, report, own, age, now) {
            self.statistics.cold_signs += 1;
            actions.push(SchedulerAction::PollTarget(target.clone()));
            self.confirm_crash(index, before, now, actions);
        } else if before == Some(report.restart) {
            // The process survived whatever broke before these figures were taken.
            if let Some(taken) = now.checked_sub(age) {
                self.release_broken(index, Some(taken), "target lives", now);
            }
        }
        self.targets.refresh(index, now);
    }

    /// Own requests at a target that a report of figures taken at a time may include. At a cold target
    /// this is exact, so that a request sent since does not hide one of another process.
    fn own_within(&self, target: usize, report: &LoadReport, taken: Option<Instant>) -> u32 {
        let Some(row) = self.targets.row(target) else { return 0 };
        if !row.window.is_cold() && report.state != TargetState::Cold {
            return row.in_flight;
        }
        let included = self.in_flight.iter().filter(|running| {
            running.target == target && taken.is_some_and(|taken| running.dispatched <= taken)
        });
        included.count() as u32
    }

    /// Remembers that a connection broke: a restart of the target makes it a crash.
    pub(super) fn note_broken(&mut self, running: &RunningAttempt, now: Instant) {
        let fingerprint = running.job.profile.fingerprint;
        let Some(row) = self.targets.row_mut(running.target) else { return };
        if row.listed && row.broken.len() < MAX_BROKEN {
            row.broken.push((fingerprint, now));
            self.suspects.pend(fingerprint, now);
        }
    }

    /// The target has crashed: what ran there when connections broke is suspect. Without a restart id
    /// from before, the last known one stands for the crash.
    pub(super) fn confirm_crash(
        &mut self,
        target: usize,
        before: Option<u64>,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(row) = self.targets.row_mut(target) else { return };
        let restart = before.or_else(|| row.restart()).unwrap_or(0);
        let name = row.name.clone();
        for (fingerprint, broken) in std::mem::take(&mut row.broken) {
            let age = now.saturating_duration_since(broken);
            if age > CRASH_LINK {
                log_release(&name, fingerprint, "too old", age);
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

    /// Connections that broke at the target were no crash: all of them, or those before a time.
    pub(super) fn release_broken(
        &mut self,
        target: usize,
        before: Option<Instant>,
        cause: &str,
        now: Instant,
    ) {
        let Some(row) = self.targets.row_mut(target) else { return };
        let suspects = &mut self.suspects;
        let name = &row.name;
        row.broken.retain(|(fingerprint, broken)| {
            let keep = before.is_some_and(|before| *broken >= before);
            if !keep {
                log_release(name, *fingerprint, cause, now.saturating_duration_since(*broken));
                suspects.release(*fingerprint);
            }
            keep
        });
    }

    pub(super) fn take_suspect(
        &mut self,
        entry: &SuspectEntry,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let known = self.suspects.check(entry.fingerprint, now);
        let news = self.suspects.merge(entry, now);
        let suspicion = self.suspects.check(entry.fingerprint, now);
        if suspicion != known {
            tracing::info!(
                fingerprint = entry.fingerprint,
                crashes = entry.crashes.len(),
                convicted = entry.convicted,
                age_ms = entry.age_ms,
                ?suspicion,
                "a peer tells of a request that may crash targets"
            );
        }
        if let Some(entry) = news {
            self.announce_suspect(entry, actions);
        }
    }

    fn announce_suspect(&mut self, entry: SuspectEntry, actions: &mut Vec<SchedulerAction>) {
        self.statistics.convictions += u64::from(entry.convicted);
        actions.push(SchedulerAction::AnnounceSuspect(entry));
    }
}

fn log_release(target: &TargetName, fingerprint: Fingerprint, cause: &str, age: Duration) {
    tracing::info!(
        target_address = &**target,
        fingerprint,
        cause,
        age_ms = age.as_millis() as u64,
        "broken connection doesn't count as a crash"
    );
}

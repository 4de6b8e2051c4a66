//! Handles updates about targets and suspects: listing, slots, load reports and findings of peers.

use std::time::{Duration, Instant};

use tarragon_protocol::peer::{SuspectCause, SuspectEntry};

use crate::{
    prelude::*,
    scheduler::Scheduler,
    suspect::{Suspicion, SuspicionChange},
    targets::{EndedProcess, starts::StartLimit},
};

impl Scheduler {
    pub(super) fn remove_target(&mut self, target: &TargetName, now: Instant) {
        if let Some(index) = self.targets.find(target) {
            self.dismiss_broken(index, "target is gone", now, |_| true);
            self.targets.mark_removed(index, now);
            self.placement_changed = true;
        }
    }

    pub(super) fn lapse_target(
        &mut self,
        target: &TargetName,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(index) = self.targets.find(target) else { return };
        if let Some(row) = self.targets.row_mut(index)
            && let Some(restart) = row.restart
        {
            let ended = EndedProcess { restart, planned: row.leaving };
            row.ended = Some(ended);
            self.handle_process_end(index, ended, now, actions);
        }
        self.remove_target(target, now);
    }

    pub(super) fn change_slots(&mut self, slots: &TargetSlots, now: Instant) {
        let Some(index) = self.targets.find(&slots.target) else { return };
        if let Some(row) = self.targets.row_mut(index) {
            row.capacity = slots.capacity;
            row.window.set_slots(slots.slots, slots.cold);
        }
        self.targets.refresh(index, now);
    }

    pub(super) fn change_starts<C>(&mut self, target: &TargetName, now: Instant, change: C)
    where
        C: FnOnce(&mut StartLimit),
    {
        let Some(index) = self.targets.find(target) else { return };
        if let Some(row) = self.targets.row_mut(index) {
            change(&mut row.starts);
        }
        self.targets.refresh(index, now);
    }

    pub(super) fn apply_report(
        &mut self,
        target: &TargetName,
        report: &LoadReport,
        age: Duration,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(index) = self.targets.find(target) else { return };
        let age = age.saturating_add(Duration::from_millis(report.lag_ms));
        let cold = report.state == TargetState::Cold;
        let own = self.own_within(index, cold, now.checked_sub(age));
        match self.targets.apply_report(index, report, own, age, now) {
            Some(ended) => self.handle_new_process(index, ended, now, actions),
            None => {
                if let Some(taken) = now.checked_sub(age) {
                    self.record_alive_at(index, report.restart_id, taken, now);
                }
            }
        }
        self.targets.refresh(index, now);
    }

    pub(super) fn apply_response_load(
        &mut self,
        target: &TargetName,
        load: TargetLoad,
        age: Duration,
        now: Instant,
    ) {
        let Some(index) = self.targets.find(target) else { return };
        let own = self.own_within(index, load.cold, now.checked_sub(age));
        self.targets.apply_load(index, load, own, age, now);
        self.targets.refresh(index, now);
    }

    pub(super) fn list_target(
        &mut self,
        entry: &TargetEntry,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let (index, ended) = self.targets.upsert(entry, now);
        if let Some(ended) = ended {
            self.handle_new_process(index, ended, now, actions);
        }
        self.placement_changed = true;
    }

    /// Handles the discovery that a new process runs at a target.
    fn handle_new_process(
        &mut self,
        index: usize,
        ended: EndedProcess,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        self.statistics.cold_signs += 1;
        if let Some(row) = self.targets.row(index) {
            actions.push(SchedulerAction::PollTarget(row.name.clone()));
        }
        self.handle_process_end(index, ended, now, actions);
    }

    /// Number of own requests that load figures taken at `taken` may include. At a cold target, requests
    /// dispatched later are left out, so that they don't hide a request of another process.
    fn own_within(&self, target: usize, cold: bool, taken: Option<Instant>) -> u32 {
        let Some(row) = self.targets.row(target) else { return 0 };
        if !row.window.is_cold() && !cold {
            return row.in_flight;
        }
        let included = self.in_flight.iter().filter(|running| {
            running.target == target && taken.is_some_and(|taken| running.dispatched <= taken)
        });
        included.count() as u32
    }

    pub(super) fn merge_suspect(
        &mut self,
        entry: &SuspectEntry,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        self.suspects.merge(entry, now);
        for sighting in entry.crashes.iter().filter(|sighting| !sighting.confirmed) {
            let row = self.targets.find(&sighting.target).and_then(|index| self.targets.row(index));
            let ended = row.and_then(|row| row.ended);
            if let Some(ended) = ended.filter(|ended| ended.restart == sighting.restart) {
                let crash = (sighting.target.clone(), sighting.restart);
                self.suspects.record_process_end(&crash, ended.planned, now);
            }
        }
        self.assess_suspects(false, Some(entry), now, actions);
    }

    /// Assesses what may crash targets, if something has changed or `due` is set. Tells peers at once of what is
    /// held or refused from now on, unless a peer has told so.
    pub(super) fn assess_suspects(
        &mut self,
        due: bool,
        told: Option<&SuspectEntry>,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        for change in self.suspects.assess_changes(due, now) {
            let is_told = told.is_some_and(|told| told.cause == change.entry.cause);
            log_change(&change, is_told);
            let SuspicionChange { after, entry, .. } = change;
            let is_known = is_told && told.is_some_and(|told| told.convicted);
            let is_grave = match entry.cause {
                SuspectCause::Request(_) => after == Suspicion::Convicted,
                SuspectCause::Part(_) => after >= Suspicion::Held,
            };
            if is_grave && !is_known {
                self.announce_suspect(entry, actions);
            }
        }
    }

    pub(super) fn announce_suspect(
        &mut self,
        entry: SuspectEntry,
        actions: &mut Vec<SchedulerAction>,
    ) {
        self.statistics.convictions += u64::from(entry.convicted);
        actions.push(SchedulerAction::AnnounceSuspect(entry));
    }
}

/// Logs a change. A crash makes each request and prompt part that ran there a suspect, so that changes which hold
/// nothing back are too many for the log at info.
fn log_change(change: &SuspicionChange, told_by_peer: bool) {
    let SuspicionChange { before, after, entry } = change;
    if !change.affects_service() {
        tracing::debug!(
            cause = %entry.cause,
            ?before,
            ?after,
            crashes = entry.crashes.len(),
            told_by_peer,
            "suspicion of crashing targets has changed"
        );
        return;
    }
    tracing::info!(
        cause = %entry.cause,
        ?before,
        ?after,
        crashes = entry.crashes.len(),
        confirmed = entry.crashes.iter().filter(|sighting| sighting.confirmed).count(),
        age_ms = entry.age_ms,
        finished_after_ms = entry.finished_after_ms,
        told_by_peer,
        "suspicion of crashing targets has changed"
    );
}

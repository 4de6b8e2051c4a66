//! The scheduler: owns the queue, the in-flight table and the target table.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tarragon_protocol::request::RequestProfile;

use crate::prelude::*;

/// Bounds of the scheduler's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SchedulerLimits {
    /// Requests that may wait.
    pub waiting: usize,
    /// Predicted tokens of all waiting requests.
    pub waiting_tokens: u64,
}

impl Default for SchedulerLimits {
    fn default() -> SchedulerLimits {
        SchedulerLimits { waiting: 4_096, waiting_tokens: 64_000_000 }
    }
}

/// Delay that a refused caller is asked to wait.
const RETRY_AFTER: Duration = Duration::from_secs(1);

struct TargetUse {
    entry: TargetEntry,
    slots: u32,
    in_flight: u32,
}

struct RunningAttempt {
    target: TargetName,
    attempt: AttemptNumber,
}

/// Decides which request goes where and when.
pub struct Scheduler {
    limits: SchedulerLimits,
    targets: IndexMap<TargetName, TargetUse>,
    waiting: Vec<RequestProfile>,
    running: IndexMap<RequestId, (RequestProfile, RunningAttempt)>,
}

impl Scheduler {
    /// A scheduler without targets. `seed` determines all random choices.
    pub fn new(limits: SchedulerLimits, _seed: u64) -> Scheduler {
        Scheduler {
            limits,
            targets: IndexMap::new(),
            waiting: Vec::new(),
            running: IndexMap::new(),
        }
    }

    /// Takes an event and appends what has to be done.
    pub fn handle(
        &mut self,
        now: Instant,
        event: SchedulerEvent,
        actions: &mut Vec<SchedulerAction>,
    ) {
        match event {
            SchedulerEvent::Arrived(profile) => self.admit(*profile, actions),
            SchedulerEvent::Disconnected(request) => self.disconnect(request, actions),
            SchedulerEvent::AttemptEnded(request, attempt, end) => {
                self.end_attempt(request, attempt, end, actions)
            }
            SchedulerEvent::TargetListed(entry) => self.list_target(entry),
            SchedulerEvent::TargetRemoved(target) => {
                self.targets.shift_remove(&target);
            }
            SchedulerEvent::SlotsChanged(slots) => {
                if let Some(usage) = self.targets.get_mut(&slots.target) {
                    usage.slots = slots.slots;
                }
            }
            _ => {}
        }
        self.refuse_expired(now, actions);
        self.dispatch(actions);
    }

    /// Number of waiting requests by tier.
    pub fn waiting_by_tier(&self) -> [u32; Tier::COUNT] {
        let mut counts = [0; Tier::COUNT];
        for profile in &self.waiting {
            counts[profile.tier.index()] += 1;
        }
        counts
    }

    /// Lowest tier that is admitted.
    pub fn shed_floor(&self) -> Tier {
        Tier::Routine
    }

    fn admit(&mut self, profile: RequestProfile, actions: &mut Vec<SchedulerAction>) {
        if self.waiting.len() >= self.limits.waiting {
            let refusal = Refusal::not_run(RefusalCode::Shed, "the queue is full")
                .with_retry_after(RETRY_AFTER);
            actions.push(SchedulerAction::Refuse { request: profile.request, refusal });
            return;
        }
        self.waiting.push(profile);
    }

    fn disconnect(&mut self, request: RequestId, actions: &mut Vec<SchedulerAction>) {
        self.waiting.retain(|profile| profile.request != request);
        if let Some((_, running)) = self.running.get(&request) {
            actions.push(SchedulerAction::Cancel { request, attempt: running.attempt });
        }
    }

    fn end_attempt(
        &mut self,
        request: RequestId,
        _attempt: AttemptNumber,
        end: AttemptEnd,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some((profile, running)) = self.running.shift_remove(&request) else { return };
        if let Some(usage) = self.targets.get_mut(&running.target) {
            usage.in_flight -= 1;
        }
        let refusal = match end {
            AttemptEnd::Finished | AttemptEnd::Cancelled => return,
            AttemptEnd::NotSent | AttemptEnd::Withheld | AttemptEnd::Rejected => {
                Refusal::not_run(RefusalCode::NoTarget, "the target took no work")
            }
            _ => Refusal::unknown(RefusalCode::TargetFailed, "the target failed"),
        };
        actions.push(SchedulerAction::Refuse { request: profile.request, refusal });
    }

    fn list_target(&mut self, entry: TargetEntry) {
        let usage = self.targets.entry(entry.target.clone()).or_insert_with(|| TargetUse {
            entry: entry.clone(),
            slots: 0,
            in_flight: 0,
        });
        usage.entry = entry;
    }

    fn refuse_expired(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        self.waiting.retain(|profile| {
            if profile.deadline > now {
                return true;
            }
            let refusal =
                Refusal::not_run(RefusalCode::DeadlineExceeded, "the deadline passed in the queue");
            actions.push(SchedulerAction::Refuse { request: profile.request, refusal });
            false
        });
    }

    fn dispatch(&mut self, actions: &mut Vec<SchedulerAction>) {
        self.waiting.sort_by_key(|profile| std::cmp::Reverse(profile.tier));
        let mut index = 0;
        while index < self.waiting.len() {
            let profile = &self.waiting[index];
            let free = self.targets.values_mut().find(|usage| {
                usage.entry.service == profile.service
                    && usage.entry.in_service
                    && usage.in_flight < usage.slots
            });
            let Some(usage) = free else {
                index += 1;
                continue;
            };
            usage.in_flight += 1;
            let profile = self.waiting.remove(index);
            let request = profile.request;
            let target = usage.entry.target.clone();
            actions.push(SchedulerAction::Dispatch { request, attempt: 1, target: target.clone() });
            self.running.insert(request, (profile, RunningAttempt { target, attempt: 1 }));
        }
    }
}

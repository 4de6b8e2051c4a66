//! Dispatch of waiting requests to targets.

use std::time::{Duration, Instant};

use tarragon_protocol::peer::SuspectCause;

use crate::{
    choose::{ChooseCandidate, ChooseView},
    inflight::RunningAttempt,
    invariant::SchedulerInvariant,
    job::Job,
    prelude::*,
    queue::WaitState,
    scheduler::{
        RETRY_AFTER, Scheduler,
        arrival::conviction_message,
        candidate::{ChoiceBounds, may_run_suspect},
        holder::HolderWait,
    },
    suspect::{CauseList, SUSPECT_LIFETIME, Suspicion},
    targets::memory::CacheDemand,
};

/// A request that no open target can take is deferred for this time, so that it doesn't block those behind it.
const RECHECK_DELAY: Duration = Duration::from_millis(50);

/// Longest time for which a request is held because of a part of its prompt. By then the crashes are confirmed
/// or dismissed, or the caller is better off with an answer.
const MAX_HOLD_TIME: Duration = Duration::from_secs(2);

/// Maximum requests of one lane and tier that one event processes, so that its cost is bounded. The next event
/// continues.
const MAX_STEPS_PER_LANE: usize = 64;

/// Number of waiting requests whose cached prefixes are compared if only one target is open.
const LOOK_AHEAD: usize = 8;

/// A request overtakes an earlier one only if more than this many further blocks of its prompt are cached.
const MIN_EXTRA_BLOCKS: u32 = 4;

/// How often one request may be overtaken by requests with a cached prompt.
const MAX_OVERTAKES: u8 = 4;

/// Decision about the next request of a lane.
enum DispatchStep {
    /// Send it to the target; the causes are those for which it runs as a suspect.
    Send(ChooseCandidate, CauseList),
    /// Park it: its workspace is at its concurrency limit.
    Park,
    /// Let it wait for a busy target that has its prompt cached.
    Await(HolderWait),
    /// Defer it: no open target can take it, but one may take the next request.
    Defer,
    /// Stop: no target is open to the lane.
    Closed,
    /// Hold it: a part of its prompt may crash targets, and it isn't known yet whether some have crashed.
    Hold,
    /// Refuse it: it has crashed targets.
    Convicted(SuspectCause),
}

impl Scheduler {
    /// Dispatches waiting requests to open targets, the highest tier first.
    pub(super) fn dispatch(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        if self.queue.is_empty() {
            return;
        }
        let floor = self.pressure.floor(now);
        let lanes = self.queue.lane_count();
        self.first_lane = self.first_lane.wrapping_add(1);
        for tier in Tier::DESCENDING.into_iter().take_while(|tier| *tier >= floor) {
            // Streams that have begun go first: their work is nearly done, and few targets may continue them.
            for bound in [true, false] {
                for offset in 0..lanes {
                    let lane = self.first_lane.wrapping_add(offset) % lanes;
                    let is_bound = self.queue.lane_build(lane).is_some();
                    if is_bound == bound && self.queue.has_ready(lane, tier) {
                        self.dispatch_lane(lane, tier, now, actions);
                    }
                }
            }
        }
    }

    fn dispatch_lane(
        &mut self,
        lane: usize,
        tier: Tier,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let pool = self.queue.lane_pool(lane);
        for _ in 0..MAX_STEPS_PER_LANE {
            let Some(request) = self.next_request(lane, tier) else { return };
            let step = match self.targets.pool(pool).open {
                0 => DispatchStep::Closed,
                _ => self.plan_dispatch(request, now),
            };
            match step {
                DispatchStep::Send(candidate, causes) => {
                    self.send(request, candidate, causes, now, actions)
                }
                DispatchStep::Park => self.park(request),
                DispatchStep::Await(wait) => self.await_holder(request, wait, now),
                DispatchStep::Defer => {
                    self.queue.set_state(request, WaitState::Deferred(now + RECHECK_DELAY))
                }
                DispatchStep::Hold => self.hold(request, now, actions),
                DispatchStep::Convicted(cause) => self.refuse_convicted(request, cause, actions),
                DispatchStep::Closed => {
                    if self.preemption_enabled
                        && tier == Tier::Urgent
                        && self.targets.pool(pool).open == 0
                    {
                        self.preempt(lane, now, actions);
                    }
                    return;
                }
            }
        }
    }

    /// The next request of a lane and tier: the first in queue order, unless only one target is open and has
    /// cached more of the prompt of one of the next few requests. Under load, targets open one by one;
    /// without this, requests would meet their cached prompt only by chance.
    fn next_request(&mut self, lane: usize, tier: Tier) -> Option<RequestId> {
        let head = self.queue.head(lane, tier)?;
        let request = head.request();
        if tier == Tier::Urgent || head.overtaken_count >= MAX_OVERTAKES {
            return Some(request);
        }
        let Some(target) = self.targets.only_open(head.pool) else { return Some(request) };
        let hit = |job: &Job| self.targets.prefixes.hit(job.blocks(), target);
        let mut best = (hit(head) + MIN_EXTRA_BLOCKS, request);
        for job in self.queue.ready(lane, tier).take(LOOK_AHEAD).skip(1) {
            let hit = hit(job);
            if hit > best.0 {
                best = (hit, job.request());
            }
        }
        if best.1 != request {
            self.queue.record_overtaken(request);
        }
        Some(best.1)
    }

    fn plan_dispatch(&mut self, request: RequestId, now: Instant) -> DispatchStep {
        let Some(job) = self.queue.get(request) else { return DispatchStep::Closed };
        if self
            .workspaces
            .row(job.workspace)
            .is_some_and(|usage| !usage.may_dispatch(self.limit_share))
        {
            return DispatchStep::Park;
        }
        let (cause, suspicion) = self.suspects.check_request(&job.profile, now);
        let is_trial = suspicion >= Suspicion::Held && self.suspects.may_try(&job.profile, now);
        let causes = match suspicion {
            Suspicion::None => CauseList::new(),
            Suspicion::Held if !is_trial => {
                return match cause {
                    SuspectCause::Request(_) => DispatchStep::Defer,
                    SuspectCause::Part(_) => DispatchStep::Hold,
                };
            }
            Suspicion::Convicted if !is_trial => return DispatchStep::Convicted(cause),
            _ => self.suspects.causes_with(&job.profile, suspicion, now),
        };
        if self.in_flight.runs_suspect(&causes) {
            return DispatchStep::Defer;
        }
        let suspect = !causes.is_empty();
        let bounds = self.choice_bounds(suspect, now);
        self.candidates.collect(&self.targets, job, bounds);
        if self.candidates.items.is_empty() {
            // Beyond the limit of lanes, bound requests share one with others.
            let shares_lane = job.build != self.queue.lane_build(job.lane);
            let particular =
                suspect || !job.avoid.is_empty() || shares_lane || self.work_end.is_some();
            return if particular { DispatchStep::Defer } else { DispatchStep::Closed };
        }
        let pool = job.pool;
        let choose = self.policy(pool).choose;
        let position = (choose.choose)(ChooseView {
            candidates: &self.candidates.items,
            rng: &mut self.rng,
            last: self.targets.pool(pool).last,
        });
        let candidates = &self.candidates.items;
        let candidate = candidates.get(position).unwrap_or(&candidates[0]);
        if !suspect && let Some(wait) = self.plan_holder_wait(request, candidate, now) {
            return DispatchStep::Await(wait);
        }
        if is_trial {
            self.suspects.record_trial();
        }
        DispatchStep::Send(*candidate, causes)
    }

    /// Whether a request that isn't suspected of anything could be sent to a target now.
    pub(super) fn has_open_target(&mut self, job: &Job, now: Instant) -> bool {
        let usage = self.workspaces.row(job.workspace);
        let parks = usage.is_some_and(|usage| !usage.may_dispatch(self.limit_share));
        let (_, suspicion) = self.suspects.check_request(&job.profile, now);
        if parks || job.tier() < self.pressure.floor(now) || suspicion != Suspicion::None {
            return false;
        }
        let bounds = self.choice_bounds(false, now);
        self.candidates.collect(&self.targets, job, bounds);
        !self.candidates.items.is_empty()
    }

    pub(super) fn choice_bounds(&self, suspect: bool, now: Instant) -> ChoiceBounds {
        ChoiceBounds {
            suspect,
            suspects_run: self.in_flight.suspect_count() > 0,
            time_left: self.work_end.map(|end| end.at.saturating_duration_since(now).as_secs_f32()),
        }
    }

    fn send(
        &mut self,
        request: RequestId,
        candidate: ChooseCandidate,
        causes: CauseList,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(mut job) = self.dequeue(request) else { return };
        self.check_dispatch(&job, candidate.target, !causes.is_empty(), now);
        self.queue.advance(job.lane, job.tier(), job.tags.0);
        self.targets.set_last(job.pool, candidate.target);
        if let Some(record) = self.start_record(job.pool) {
            record.record_start(job.cost, now);
        }
        job.attempts += 1;
        let tier = job.tier().index();
        self.statistics.dispatched[tier] += 1;
        if let Some(usage) = self.workspaces.row_mut(job.workspace) {
            usage.in_flight += 1;
        }
        let attempt = job.attempts;
        let Some(running) = self.reserve_slot(job, candidate, causes, now) else { return };
        let Some(row) = self.targets.row(candidate.target) else { return };
        let target = row.name.clone();
        self.in_flight.insert(running);
        actions.push(SchedulerAction::Dispatch { request, attempt, target });
    }

    /// Takes a slot of the target and adds the request to the target's counters.
    fn reserve_slot(
        &mut self,
        job: Job,
        candidate: ChooseCandidate,
        suspect_causes: CauseList,
        now: Instant,
    ) -> Option<RunningAttempt> {
        let estimate = candidate.estimate;
        let prompt = job.size().prompt.unwrap_or(0);
        let uncached = prompt.saturating_sub(estimate.cached);
        let tier = job.tier().index();
        let row = self.targets.row_mut(candidate.target)?;
        let (ahead, restart, pace) = (row.pending_prefill, row.restart, row.pace.mark(now));
        row.in_flight += 1;
        row.starts.record(now);
        row.by_tier[tier] += 1;
        row.suspects[tier] += u32::from(!suspect_causes.is_empty());
        row.pending_prefill += u64::from(uncached);
        if prompt > 0 {
            row.memory.record(CacheDemand {
                held: u64::from(prompt) + u64::from(job.output),
                added: u64::from(uncached) + u64::from(job.output),
                time: Duration::from_secs_f32(estimate.last_token.clamp(0.0, 3_600.0)),
            });
        }
        self.targets.refresh(candidate.target, now);
        self.targets.prefixes.insert_prompt(candidate.target, job.blocks());
        let charged = job.output;
        Some(RunningAttempt {
            restart,
            attempt: job.attempts,
            job,
            target: candidate.target,
            started: false,
            dispatched: now,
            first_token: None,
            tokens: 0,
            estimate,
            pace,
            uncached,
            pending: u64::from(uncached),
            ahead,
            cached_part: None,
            charged,
            suspect_causes,
            cancel: None,
        })
    }

    /// Parks a request until another one of its workspace has ended.
    fn park(&mut self, request: RequestId) {
        let Some(workspace) = self.queue.get(request).map(|job| job.workspace) else { return };
        self.queue.set_state(request, WaitState::Parked);
        let queue = &self.queue;
        let Some(usage) = self.workspaces.row_mut(workspace) else { return };
        // Requests that left the queue while parked stay in the list, which is compacted once there are many
        // of them.
        if usage.parked.len() > 2 * usage.waiting as usize + 16 {
            usage.parked.retain(|parked| queue.get(*parked).is_some());
        }
        usage.parked.push_back(request);
    }

    /// Defers a request whose prompt may crash targets, or refuses it if that has taken too long.
    fn hold(&mut self, request: RequestId, now: Instant, actions: &mut Vec<SchedulerAction>) {
        let Some(job) = self.queue.get_mut(request) else { return };
        let since = *job.held_since.get_or_insert(now);
        if now.saturating_duration_since(since) < MAX_HOLD_TIME {
            return self.queue.set_state(request, WaitState::Deferred(now + RECHECK_DELAY));
        }
        let Some(job) = self.dequeue_unserved(request) else { return };
        let message = "targets may have crashed while they ran requests with a part of this prompt";
        let refusal = Scheduler::refusal_of(&job, RefusalCode::CrashesTargets, message)
            .with_retry_after(RETRY_AFTER);
        self.refuse(request, job.tier(), refusal, actions);
    }

    fn refuse_convicted(
        &mut self,
        request: RequestId,
        cause: SuspectCause,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(job) = self.dequeue_unserved(request) else { return };
        let message = conviction_message(cause);
        // The conviction holds this long on every VM. An earlier repeat could reach a VM that has not
        // received it yet and crash a third target.
        let refusal = Scheduler::refusal_of(&job, RefusalCode::CrashesTargets, message)
            .with_retry_after(SUSPECT_LIFETIME);
        self.refuse(request, job.tier(), refusal, actions);
    }

    /// Checks the invariants of a dispatch.
    fn check_dispatch(&mut self, job: &Job, target: usize, suspect: bool, now: Instant) {
        let Some(row) = self.targets.row(target) else { return };
        let (request, name) = (job.request(), &row.name);
        let slots = row.window.slots();
        let within = row.in_flight < slots;
        let floor = self.pressure.floor(now);
        let checks = [
            (SchedulerInvariant::SlotsRespected, within),
            (SchedulerInvariant::ColdShare, within || !row.window.is_cold()),
            (SchedulerInvariant::InServiceOnly, row.accepts_work()),
            (SchedulerInvariant::DispatchedOnce, job.profile.idempotent || !job.may_have_run),
            (SchedulerInvariant::BeforeDeadline, now <= job.profile.deadline),
            (SchedulerInvariant::FloorRespected, job.tier() >= floor),
            (SchedulerInvariant::BuildKept, row.suits_build(job.build)),
            (SchedulerInvariant::SuspectAlone, !suspect || may_run_suspect(row, job.tier())),
        ];
        for (invariant, holds) in checks {
            self.invariants.check(invariant, holds, || {
                let in_flight = row.in_flight;
                format!("request {request} to {name}, {in_flight} in flight of {slots} slots")
            });
        }
    }
}

//! The scheduler's state machine: owns the queue, the in-flight table and the target table, and turns events
//! into actions.

mod arrival;
mod assume;
mod attempt;
mod candidate;
mod crash;
mod dispatch;
mod dump;
mod ending;
mod explain;
mod forecast;
mod holder;
mod preempt;
mod report;
mod shed;
mod slot_needs;
mod tick;

pub use dump::{SchedulerDump, TargetDump, WorkspaceDump};
pub use explain::{ChoiceExplanation, RefusalExplanation, TargetExplanation};
pub use slot_needs::{SlotUsage, WaitingHead};

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tarragon_config::rules::RuleSet;
use tarragon_protocol::{peer::SuspectEntry, request::RequestProfile};

use crate::{
    cost::CostTable,
    forecast::StartRecord,
    inflight::{CancelCause, InFlightTable},
    invariant::InvariantCounters,
    job::Job,
    policy::PolicyChoice,
    prelude::*,
    pressure::PressureTable,
    queue::{Queue, WaitState},
    retry::{RetryBudget, RetryLimits},
    returns::ReturnTable,
    scheduler::candidate::CandidateList,
    share::WorkspaceTable,
    suspect::SuspectTable,
    targets::TargetTable,
};

/// Limits on the scheduler's queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SchedulerLimits {
    /// Maximum number of waiting requests.
    pub waiting: usize,
    /// Maximum sum of the predicted tokens of all waiting requests.
    pub waiting_tokens: u64,
}

impl Default for SchedulerLimits {
    fn default() -> SchedulerLimits {
        SchedulerLimits { waiting: 4_096, waiting_tokens: 64_000_000 }
    }
}

/// Default retry-after time of refusals.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Windows computed longer ago than this are recomputed before use. Ticks, which recompute them, come every
/// 100 ms.
const MAX_REFRESH_AGE: Duration = Duration::from_millis(250);

/// A request that waits is refused this long before its latest start at the latest: the next tick may come after
/// its deadline, and the answer takes some time to reach the caller.
const REFUSAL_LEAD: Duration = Duration::from_millis(120);

/// Decides when each request is dispatched and to which target.
pub struct Scheduler {
    limits: SchedulerLimits,
    rules: Arc<RuleSet>,
    /// Policy plug-ins by pool index.
    policies: Vec<PolicyChoice>,
    targets: TargetTable,
    queue: Queue,
    in_flight: InFlightTable,
    workspaces: WorkspaceTable,
    costs: CostTable,
    pressure: PressureTable,
    suspects: SuspectTable,
    /// Recent starts by pool index.
    start_records: Vec<StartRecord>,
    /// Places of refused requests that may come back.
    returns: ReturnTable,
    /// Retry budgets by pool index; a single shared budget if `retry_limits` is `None`.
    retry_budgets: Vec<RetryBudget>,
    /// Limits of the per-service retry budgets; without them all services share one default budget.
    retry_limits: Option<RetryLimits>,
    /// Whether routine streams may be pre-empted for urgent work.
    preemption_enabled: bool,
    /// See [`Scheduler::set_contended`].
    contended: bool,
    candidates: CandidateList,
    /// Requests that wait for a busy target, by target.
    holder_waits: Vec<(usize, RequestId)>,
    statistics: SchedulerStatistics,
    invariants: InvariantCounters,
    rng: ChaCha8Rng,
    sequence: u64,
    draining: bool,
    /// When the process is going to end, once that is planned.
    work_end: Option<WorkEnd>,
    /// Whether rules or targets have changed since the assumed models were computed.
    placement_changed: bool,
    /// Lane with which the next dispatch round starts. It advances each round, so that lanes of one pool take
    /// turns.
    first_lane: usize,
    /// Fraction of the deployment-wide limits that this process may grant.
    limit_share: f64,
    clocks: SchedulerClocks,
}

/// Times of periodic tasks.
#[derive(Debug, Clone, Copy, Default)]
struct SchedulerClocks {
    /// Last update of the pools' rates.
    pools: Option<Instant>,
    /// Last refresh of all targets' windows.
    targets: Option<Instant>,
    /// Earliest time of the next search for a stream to pre-empt.
    preemption: Option<Instant>,
}

impl Scheduler {
    /// Creates a scheduler without targets. `seed` determines all random choices.
    pub fn new(limits: SchedulerLimits, seed: u64) -> Scheduler {
        Scheduler {
            limits,
            rules: Arc::default(),
            policies: Vec::new(),
            targets: TargetTable::default(),
            queue: Queue::default(),
            in_flight: InFlightTable::default(),
            workspaces: WorkspaceTable::default(),
            costs: CostTable::default(),
            pressure: PressureTable::default(),
            suspects: SuspectTable::default(),
            start_records: Vec::new(),
            returns: ReturnTable::default(),
            retry_budgets: Vec::new(),
            retry_limits: None,
            preemption_enabled: true,
            contended: false,
            candidates: CandidateList::default(),
            holder_waits: Vec::new(),
            statistics: SchedulerStatistics::default(),
            invariants: InvariantCounters::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
            draining: false,
            work_end: None,
            placement_changed: false,
            first_lane: 0,
            limit_share: 1.0,
            clocks: SchedulerClocks::default(),
        }
    }

    /// Disables pre-emption: running streams are never cancelled for urgent work.
    pub fn without_preemption(mut self) -> Scheduler {
        self.preemption_enabled = false;
        self
    }

    /// Sets whether many processes compete for the slots of the targets, so that waits are long and their end depends
    /// on others. Requests that will clearly not start in time are then refused by a forecast, and late requests are
    /// ordered by rank as well.
    pub fn set_contended(&mut self, contended: bool) {
        self.contended = contended;
        if !contended {
            self.start_records.clear();
        }
    }

    /// See [`Scheduler::set_contended`].
    pub fn is_contended(&self) -> bool {
        self.contended
    }

    /// Gives each service its own retry budget with these limits.
    pub fn set_retry_limits(&mut self, limits: RetryLimits) {
        self.retry_limits = Some(limits);
        self.retry_budgets.iter_mut().for_each(|retry_budget| retry_budget.set_limits(limits));
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(
        &mut self,
        now: Instant,
        event: SchedulerEvent,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let is_tick = matches!(event, SchedulerEvent::Tick);
        self.refresh_if_late(now);
        self.advance_start_records(now);
        // Requests that can no longer be served must not cause others to be shed or pre-empted.
        self.refuse_past_latest_start(now, actions);
        match event {
            SchedulerEvent::Arrived(profile) => self.handle_arrival(profile, now, actions),
            SchedulerEvent::Disconnected(request) => self.handle_disconnect(request, now, actions),
            SchedulerEvent::AttemptStarted(request, attempt) => {
                self.start_attempt(request, attempt)
            }
            SchedulerEvent::StreamBegan(request, attempt, build) => {
                self.bind_stream(request, attempt, build)
            }
            SchedulerEvent::AttemptProgress(progress) => {
                self.progress_attempt(&progress, now, actions)
            }
            SchedulerEvent::AttemptEnded(request, attempt, end) => {
                self.end_attempt(request, attempt, end, now, actions)
            }
            SchedulerEvent::TargetListed(entry) => self.list_target(&entry, now, actions),
            SchedulerEvent::TargetRemoved(target) => self.remove_target(&target, now),
            SchedulerEvent::TargetExpired(target) => self.lapse_target(&target, now, actions),
            SchedulerEvent::SlotsChanged(slots) => self.change_slots(&slots, now),
            SchedulerEvent::StartLimitSet(target, limit) => {
                self.change_starts(&target, now, |starts| starts.set_limit(limit));
            }
            SchedulerEvent::StartsPaced(target, paced) => {
                self.change_starts(&target, now, |starts| starts.set_paced(paced));
            }
            SchedulerEvent::StartsPermitted { target, count, until } => {
                self.change_starts(&target, now, |starts| starts.permit(count, until, now));
            }
            SchedulerEvent::StartsForecast(service, forecast) => {
                let pool = self.targets.pool_index(&service);
                self.targets.set_forecast(pool, forecast);
            }
            SchedulerEvent::ServicePaused(service, until) => {
                let pool = self.targets.pool_index(&service);
                self.targets.set_pause(pool, until);
                self.refuse_paused(pool, now, actions);
            }
            SchedulerEvent::ProcessConfirmed { target, restart, read } => {
                self.confirm_process(&target, restart, read, now)
            }
            SchedulerEvent::ResponseLoadReported { target, load, age } => {
                self.apply_response_load(&target, load, age, now)
            }
            SchedulerEvent::LoadReported { target, report, age } => {
                self.apply_report(&target, &report, age, now, actions)
            }
            SchedulerEvent::CacheReported(target, events) => {
                if let Some(index) = self.targets.find(&target) {
                    self.statistics.cache_gaps +=
                        self.targets.apply_cache_events(index, &events, now);
                }
            }
            SchedulerEvent::CacheSized(service, tokens) => {
                let pool = self.targets.pool_index(&service);
                self.targets.set_cache_tokens(pool, tokens, now);
            }
            SchedulerEvent::PeerReported(pressure) => self.pressure.record(pressure),
            SchedulerEvent::PeerForgotten(peer) => self.pressure.forget(&peer),
            SchedulerEvent::SuspectReported(entry) => self.merge_suspect(&entry, now, actions),
            SchedulerEvent::RulesChanged(rules) => self.apply_rules(rules),
            SchedulerEvent::DrainStarted => self.draining = true,
            SchedulerEvent::EndPlanned(end) => self.plan_end(end, now, actions),
            SchedulerEvent::EndReached(most) => self.end_open(most, actions),
            SchedulerEvent::Tick => self.tick(now, actions),
        }
        self.assess_suspects(false, None, now, actions);
        self.queue.release_due(now);
        self.sweep_holder_waits();
        self.refuse_past_latest_start(now, actions);
        self.dispatch(now, actions);
        self.refuse_beyond_forecast(now, actions);
        if is_tick {
            self.refuse_past_latest_start(now + REFUSAL_LEAD, actions);
        }
        self.update_floor(now, actions);
        self.update_start_records(now);
    }

    /// Number of waiting requests by tier.
    pub fn waiting_by_tier(&self) -> [u32; Tier::COUNT] {
        let mut counts = [0; Tier::COUNT];
        for tier in Tier::DESCENDING {
            counts[tier.index()] = self.queue.tier_len(tier) as u32;
        }
        counts
    }

    /// Lowest tier that this process admits, as announced in its digests.
    pub fn shed_floor(&self) -> Tier {
        self.pressure.own_floor()
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Counters for metrics.
    pub fn statistics(&self) -> &SchedulerStatistics {
        &self.statistics
    }

    /// Invariants and their violations.
    pub fn invariants(&self) -> &InvariantCounters {
        &self.invariants
    }

    /// Sets whether a violated invariant panics. It does by default in debug builds.
    pub fn set_strict(&mut self, strict: bool) {
        self.invariants.set_strict(strict);
    }

    /// Returns up to `most` suspected or convicted causes for the next digest.
    pub fn suspects_for_digest(&mut self, most: usize, now: Instant) -> Vec<SuspectEntry> {
        self.suspects.next_for_digest(most, now)
    }

    /// Sets the number of the turn in which this process may try a suspected prompt part; `None` while it has none.
    pub fn set_trial_turn(&mut self, turn: Option<u64>) {
        self.suspects.set_trial_turn(turn);
    }

    /// Number of requests and prompt parts currently suspected or convicted of crashing targets.
    pub fn suspect_count(&self) -> usize {
        self.suspects.active_count()
    }

    /// Removes and returns all waiting requests that have never been dispatched. A process that shuts down
    /// hands them to a peer.
    pub fn release_waiting(&mut self) -> Vec<RequestProfile> {
        let requests: Vec<RequestId> =
            self.queue.iter().filter(|job| job.attempts == 0).map(Job::request).collect();
        requests
            .into_iter()
            .filter_map(|request| self.dequeue(request))
            .map(|job| *job.profile)
            .collect()
    }

    /// Refreshes all targets if ticks are overdue. Windows shrink as time passes; if the process was paused,
    /// the first event after the pause must not use outdated windows.
    fn refresh_if_late(&mut self, now: Instant) {
        let late = |last: Instant| now.saturating_duration_since(last) > MAX_REFRESH_AGE;
        if self.clocks.targets.is_none_or(late) {
            self.clocks.targets = Some(now);
            self.targets.refresh_all(now);
        }
    }

    fn handle_disconnect(
        &mut self,
        request: RequestId,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if let Some(job) = self.dequeue_unserved(request) {
            self.statistics.disconnected[job.tier().index()] += 1;
            return;
        }
        // A dispatched non-idempotent call is not cancelled, so that its outcome is recorded.
        let idempotent = self.in_flight.get(request).map(|running| running.job.profile.idempotent);
        match idempotent {
            Some(true) => self.cancel(request, CancelCause::Disconnected, now, actions),
            Some(false) => {}
            None => self.statistics.stale_events += 1,
        }
    }

    fn cancel(
        &mut self,
        request: RequestId,
        cause: CancelCause,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if let Some(attempt) = self.in_flight.cancel(request, cause) {
            tracing::debug!(request, attempt, ?cause, ?now, "attempt cancelled");
            actions.push(SchedulerAction::Cancel { request, attempt });
        }
    }

    fn apply_rules(&mut self, rules: Arc<RuleSet>) {
        self.workspaces.apply_rules(&rules);
        self.rules = rules;
        self.placement_changed = true;
        self.policies.clear();
        let parked: Vec<RequestId> = self.queue.iter().map(Job::request).collect();
        for request in parked {
            self.queue.unpark(request);
        }
    }

    /// Retry budget of a pool.
    fn retry_budget(&mut self, pool: usize) -> &mut RetryBudget {
        let index = if self.retry_limits.is_some() { pool } else { 0 };
        while self.retry_budgets.len() <= index {
            let mut retry_budget = RetryBudget::default();
            if let Some(limits) = self.retry_limits {
                retry_budget.set_limits(limits);
            }
            self.retry_budgets.push(retry_budget);
        }
        &mut self.retry_budgets[index]
    }

    /// Policy plug-ins of a pool.
    fn policy(&mut self, pool: usize) -> PolicyChoice {
        while self.policies.len() <= pool {
            let service = self.targets.pool_name(self.policies.len());
            self.policies.push(PolicyChoice::select(&self.rules, service));
        }
        self.policies[pool]
    }

    /// Queues a job that keeps its fair-queueing tags, and counts it for its workspace.
    fn enqueue(&mut self, job: Job, state: WaitState) {
        self.count_waiting(&job);
        self.queue.push(job, state);
    }

    /// Queues a new job behind earlier ones of its workspace, and counts it for the workspace.
    fn enqueue_new(&mut self, job: Job) {
        let weight = self.workspaces.row(job.workspace).map_or(1, |usage| usage.limits.weight);
        self.count_waiting(&job);
        self.queue.push_new(job, weight);
    }

    fn count_waiting(&mut self, job: &Job) {
        if let Some(usage) = self.workspaces.row_mut(job.workspace) {
            usage.waiting += 1;
            usage.queued_tokens += job.tokens();
        }
    }

    /// Removes a job from the queue in order to dispatch it.
    fn dequeue(&mut self, request: RequestId) -> Option<Job> {
        let job = self.queue.remove(request)?;
        self.uncount_waiting(&job);
        Some(job)
    }

    /// Removes a job that will not run from the queue; its workspace is not charged for it.
    fn dequeue_unserved(&mut self, request: RequestId) -> Option<Job> {
        let job = self.queue.remove_unserved(request)?;
        self.uncount_waiting(&job);
        Some(job)
    }

    fn uncount_waiting(&mut self, job: &Job) {
        if let Some(usage) = self.workspaces.row_mut(job.workspace) {
            usage.waiting -= 1;
            usage.queued_tokens -= job.tokens();
        }
    }

    /// Refuses a request that has already been removed from all tables.
    fn refuse(
        &mut self,
        request: RequestId,
        tier: Tier,
        refusal: Refusal,
        actions: &mut Vec<SchedulerAction>,
    ) {
        self.statistics.count_refusal(refusal.code, tier);
        actions.push(SchedulerAction::Refuse { request, refusal });
    }

    /// Builds a refusal whose outcome is `Unknown` if an earlier attempt may have run, else `NotRun`.
    fn refusal_of(job: &Job, code: RefusalCode, message: &'static str) -> Refusal {
        if job.may_have_run {
            Refusal::unknown(code, message)
        } else {
            Refusal::not_run(code, message)
        }
    }
}

//! Waiting requests, ordered by tier and, within a tier, by start-time fair queueing over workspaces.

pub mod lane;

use std::{collections::BTreeSet, time::Instant};

use indexmap::IndexMap;
use tarragon_protocol::request::RANK_COUNT;

use crate::{forecast::WorkAhead, hash::NumberHash, job::Job, prelude::*, queue::lane::Lane};

/// With this many lanes, further models and builds of a service share one lane. Callers choose the model names, so the
/// number of lanes must be bounded.
const MAX_MODEL_LANES: usize = 256;

/// State of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitState {
    /// It can be dispatched.
    Ready,
    /// Its workspace is at its concurrency limit.
    Parked,
    /// It isn't dispatched before this time, because of retry back-off or because no target could take it.
    Deferred(Instant),
}

#[derive(Debug)]
struct Entry {
    job: Job,
    state: WaitState,
    tokens: u64,
}

/// What the requests of one lane have in common.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LaneKey {
    pool: usize,
    model: Option<ModelName>,
    build: Option<BuildKey>,
}

/// All waiting requests. `arrivals` and `latest_starts` index all of `entries`, the lanes the ready ones and
/// `deferred` the deferred ones.
#[derive(Debug, Default)]
pub struct Queue {
    entries: IndexMap<RequestId, Entry, NumberHash>,
    lanes: Vec<Lane>,
    lane_keys: IndexMap<LaneKey, usize>,
    /// By tier: order of arrival.
    arrivals: [BTreeSet<(u64, RequestId)>; Tier::COUNT],
    /// By tier: order of the latest start.
    latest_starts: [BTreeSet<(Instant, RequestId)>; Tier::COUNT],
    deferred: BTreeSet<(Instant, RequestId)>,
    tokens: [u64; Tier::COUNT],
}

impl Queue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Tokens of all waiting requests.
    pub fn tokens(&self) -> u64 {
        self.tokens.iter().sum()
    }

    /// Waiting requests of a tier.
    pub fn tier_len(&self, tier: Tier) -> usize {
        self.arrivals[tier.index()].len()
    }

    /// Lowest tier that waits.
    pub fn lowest_tier(&self) -> Option<Tier> {
        Tier::DESCENDING.into_iter().rev().find(|tier| self.tier_len(*tier) > 0)
    }

    /// Position of the lane for a service's pool, a model and the build to which its requests are bound; creates
    /// it if needed.
    pub fn lane_index(
        &mut self,
        pool: usize,
        model: Option<&ModelName>,
        build: Option<BuildKey>,
    ) -> usize {
        let mut key = LaneKey { pool, model: model.cloned(), build };
        if self.lanes.len() >= MAX_MODEL_LANES && !self.lane_keys.contains_key(&key) {
            key = LaneKey { pool, model: None, build: None };
        }
        if let Some(index) = self.lane_keys.get(&key) {
            return *index;
        }
        self.lanes.push(Lane::new(pool, key.build));
        let index = self.lanes.len() - 1;
        self.lane_keys.insert(key, index);
        index
    }

    /// Number of lanes.
    pub fn lane_count(&self) -> usize {
        self.lanes.len()
    }

    /// Pool of a lane.
    pub fn lane_pool(&self, lane: usize) -> usize {
        self.lanes[lane].pool
    }

    /// Build to which the requests of a lane are bound; `None` for a lane of any requests.
    pub fn lane_build(&self, lane: usize) -> Option<BuildKey> {
        self.lanes[lane].build
    }

    /// Tokens of waiting requests of a pool, by tier.
    pub fn pool_tokens(&self, pool: usize) -> [u64; Tier::COUNT] {
        self.lane_tokens(|lane| lane.pool == pool)
    }

    /// Tokens of waiting requests of a pool that are bound to a build, by tier.
    pub fn bound_tokens(&self, pool: usize, build: BuildKey) -> [u64; Tier::COUNT] {
        self.lane_tokens(|lane| lane.pool == pool && lane.build == Some(build))
    }

    /// Tokens of waiting requests of a pool that any of its targets may run, by tier.
    pub fn unbound_tokens(&self, pool: usize) -> [u64; Tier::COUNT] {
        self.lane_tokens(|lane| lane.pool == pool && lane.build.is_none())
    }

    fn lane_tokens<F>(&self, is_counted: F) -> [u64; Tier::COUNT]
    where
        F: Fn(&Lane) -> bool,
    {
        let mut tokens = [0; Tier::COUNT];
        for lane in self.lanes.iter().filter(|lane| is_counted(lane)) {
            for (sum, tokens) in tokens.iter_mut().zip(lane.tokens) {
                *sum += tokens.iter().sum::<u64>();
            }
        }
        tokens
    }

    /// Tokens of waiting requests of a pool and tier, by rank.
    pub fn ranked_tokens(&self, pool: usize, tier: Tier) -> [u64; RANK_COUNT] {
        let mut tokens = [0; RANK_COUNT];
        for lane in self.lanes.iter().filter(|lane| lane.pool == pool) {
            for (sum, tokens) in tokens.iter_mut().zip(lane.tokens[tier.index()]) {
                *sum += tokens;
            }
        }
        tokens
    }

    /// Makes a parked request ready. Returns whether it was parked.
    pub fn unpark(&mut self, request: RequestId) -> bool {
        let parked =
            self.entries.get(&request).is_some_and(|entry| entry.state == WaitState::Parked);
        if parked {
            self.set_state(request, WaitState::Ready);
        }
        parked
    }

    /// Number of workspaces with a finish tag in a tier of a lane.
    pub fn lane_flows(&self, lane: usize, tier: Tier) -> usize {
        self.lanes[lane].flows(tier)
    }

    /// Adds a new request and assigns its tags, behind earlier requests of its workspace.
    pub fn push_new(&mut self, mut job: Job, weight: u32) {
        job.tags =
            self.lanes[job.lane].assign_tags(job.tier(), job.workspace_key, job.cost, weight);
        self.push(job, WaitState::Ready);
    }

    /// Adds a request with the tags that it has.
    pub fn push(&mut self, job: Job, state: WaitState) {
        let (request, tier) = (job.request(), job.tier().index());
        let tokens = job.tokens();
        self.arrivals[tier].insert((job.sequence, request));
        self.latest_starts[tier].insert((job.latest_start, request));
        self.tokens[tier] += tokens;
        self.lanes[job.lane].tokens[tier][job.rank()] += tokens;
        self.attach(&job, state);
        self.entries.insert(request, Entry { job, state, tokens });
    }

    /// Removes a request.
    pub fn remove(&mut self, request: RequestId) -> Option<Job> {
        let Entry { job, state, tokens } = self.entries.swap_remove(&request)?;
        let tier = job.tier().index();
        self.arrivals[tier].remove(&(job.sequence, request));
        self.latest_starts[tier].remove(&(job.latest_start, request));
        self.tokens[tier] -= tokens;
        self.lanes[job.lane].tokens[tier][job.rank()] -= tokens;
        self.detach(&job, state);
        Some(job)
    }

    /// Removes a request that will not run, and refunds its charge to the workspace.
    pub fn remove_unserved(&mut self, request: RequestId) -> Option<Job> {
        let job = self.remove(request)?;
        self.lanes[job.lane].refund(job.tier(), job.workspace_key, job.tags);
        Some(job)
    }

    /// A waiting request.
    pub fn get(&self, request: RequestId) -> Option<&Job> {
        self.entries.get(&request).map(|entry| &entry.job)
    }

    /// Whether a request waits and is deferred.
    pub fn is_deferred(&self, request: RequestId) -> bool {
        let entry = self.entries.get(&request);
        entry.is_some_and(|entry| matches!(entry.state, WaitState::Deferred(_)))
    }

    /// A waiting request, to change what the order of the queue doesn't depend on.
    pub fn get_mut(&mut self, request: RequestId) -> Option<&mut Job> {
        self.entries.get_mut(&request).map(|entry| &mut entry.job)
    }

    /// All waiting requests.
    pub fn iter(&self) -> impl Iterator<Item = &Job> {
        self.entries.values().map(|entry| &entry.job)
    }

    /// The ready request that is next in a tier of a lane.
    pub fn head(&self, lane: usize, tier: Tier) -> Option<&Job> {
        self.get(self.lanes[lane].head(tier)?)
    }

    /// The ready requests of a tier of a lane, in order.
    pub fn ready(&self, lane: usize, tier: Tier) -> impl Iterator<Item = &Job> {
        self.lanes[lane].ready(tier).filter_map(|request| self.get(request))
    }

    /// Number and cost of the ready requests of a tier of a lane.
    pub fn ready_work(&self, lane: usize, tier: Tier) -> WorkAhead {
        let (requests, cost) =
            (self.lanes[lane].len(tier), self.lanes[lane].ready_cost[tier.index()]);
        WorkAhead { requests: requests as f64, cost: cost as f64 }
    }

    /// Ready requests of its lane and tier that go before a job that is not queued yet, in order.
    pub fn ready_before(&self, job: &Job) -> impl Iterator<Item = &Job> {
        self.lanes[job.lane].ready_before(job).filter_map(|request| self.get(request))
    }

    /// Start tag by which a job would be ordered if it were queued now.
    pub fn new_tag(&self, job: &Job) -> u64 {
        self.lanes[job.lane].new_tag(job)
    }

    /// Records that another request overtook this one.
    pub fn record_overtaken(&mut self, request: RequestId) {
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.job.overtaken_count = entry.job.overtaken_count.saturating_add(1);
        }
    }

    /// Whether a request of a tier is ready in a lane.
    pub fn has_ready(&self, lane: usize, tier: Tier) -> bool {
        self.lanes[lane].head(tier).is_some()
    }

    /// Ready requests of a tier of a lane.
    pub fn ready_len(&self, lane: usize, tier: Tier) -> usize {
        self.lanes[lane].len(tier)
    }

    /// Advances the virtual time of a tier to the start tag of a request that is being dispatched.
    pub fn advance(&mut self, lane: usize, tier: Tier, start: u64) {
        self.lanes[lane].advance(tier, start);
    }

    /// Charges a workspace for tokens that were not predicted, or credits them.
    pub fn adjust_charge(&mut self, job: &Job, tokens: i64, weight: u32) {
        self.lanes[job.lane].adjust_charge(job.tier(), job.workspace_key, tokens, weight);
    }

    /// Moves a waiting request to another state.
    pub fn set_state(&mut self, request: RequestId, state: WaitState) {
        let Some(position) = self.entries.get_index_of(&request) else { return };
        let old = self.entries[position].state;
        let entry = &self.entries[position];
        detach_from(&mut self.lanes, &mut self.deferred, &entry.job, old);
        attach_to(&mut self.lanes, &mut self.deferred, &entry.job, state);
        self.entries[position].state = state;
    }

    /// Sets the latest start of a waiting request because of the end of the process.
    pub fn limit_by_end(&mut self, request: RequestId, latest: Instant) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        let starts = &mut self.latest_starts[entry.job.tier().index()];
        starts.remove(&(entry.job.latest_start, request));
        starts.insert((latest, request));
        (entry.job.latest_start, entry.job.by_end) = (latest, true);
    }

    /// Moves requests whose objective has passed behind those that can still meet theirs.
    pub fn mark_late(&mut self, now: Instant) {
        let passed =
            |job: &Job| !job.late && job.objective().is_some_and(|objective| objective <= now);
        let late: Vec<RequestId> =
            self.iter().filter(|job| passed(job)).map(Job::request).collect();
        for request in late {
            let Some(position) = self.entries.get_index_of(&request) else { continue };
            let state = self.entries[position].state;
            let entry = &mut self.entries[position];
            detach_from(&mut self.lanes, &mut self.deferred, &entry.job, state);
            entry.job.late = true;
            attach_to(&mut self.lanes, &mut self.deferred, &entry.job, state);
        }
    }

    /// Makes deferred requests ready once their time has come.
    pub fn release_due(&mut self, now: Instant) {
        while let Some((due, request)) = self.deferred.first().copied() {
            if due > now {
                break;
            }
            self.set_state(request, WaitState::Ready);
        }
    }

    /// The request of a tier with the earliest latest start.
    pub fn earliest_start(&self, tier: Tier) -> Option<&Job> {
        self.get(self.latest_starts[tier.index()].first()?.1)
    }

    /// The request of a tier that gives way first: the one that arrived last, of those that have yet to begin if
    /// there are any.
    pub fn least_due(&self, tier: Tier) -> Option<RequestId> {
        let newest = || self.arrivals[tier.index()].last().map(|(_, request)| *request);
        self.newest_unbegun(tier).or_else(newest)
    }

    /// The request of a tier that arrived last, of those that have yet to begin.
    pub fn newest_unbegun(&self, tier: Tier) -> Option<RequestId> {
        let requests = self.arrivals[tier.index()].iter().rev().map(|(_, request)| *request);
        let goes_on = |request: &RequestId| self.get(*request).is_some_and(Job::goes_on);
        requests.into_iter().find(|request| !goes_on(request))
    }

    /// Drops finish tags that no longer affect the order.
    pub fn sweep(&mut self) {
        self.lanes.iter_mut().for_each(Lane::sweep);
    }

    fn attach(&mut self, job: &Job, state: WaitState) {
        attach_to(&mut self.lanes, &mut self.deferred, job, state);
    }

    fn detach(&mut self, job: &Job, state: WaitState) {
        detach_from(&mut self.lanes, &mut self.deferred, job, state);
    }
}

fn attach_to(
    lanes: &mut [Lane],
    deferred: &mut BTreeSet<(Instant, RequestId)>,
    job: &Job,
    state: WaitState,
) {
    match state {
        WaitState::Ready => lanes[job.lane].insert(job),
        WaitState::Parked => {}
        WaitState::Deferred(due) => {
            deferred.insert((due, job.request()));
        }
    }
}

fn detach_from(
    lanes: &mut [Lane],
    deferred: &mut BTreeSet<(Instant, RequestId)>,
    job: &Job,
    state: WaitState,
) {
    match state {
        WaitState::Ready => lanes[job.lane].remove(job),
        WaitState::Parked => {}
        WaitState::Deferred(due) => {
            deferred.remove(&(due, job.request()));
        }
    }
}

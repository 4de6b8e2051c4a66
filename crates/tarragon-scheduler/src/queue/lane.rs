//! Start-time fair queueing for one service, model and build.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use tarragon_protocol::request::RANK_COUNT;

use crate::{
    hash::NumberHash,
    job::{Job, order_in_tier},
    prelude::*,
};

/// Tag units per token at weight 1.
const TAG_UNIT: u64 = 1 << 10;

/// Bit position of the order by lateness and rank in the sort key, above any start tag.
const ORDER_SHIFT: u32 = 59;

/// While requests are ready, finish tags are swept only above this number.
const SWEEP_ABOVE: usize = 64;

#[derive(Debug, Default)]
struct TierQueue {
    /// Ready requests by sort key, then by arrival.
    ready: BTreeSet<(u64, u64, RequestId)>,
    /// Finish tag of the last request of each workspace. Tags that the virtual time has reached may be missing.
    finish_tags: IndexMap<u64, u64, NumberHash>,
    virtual_time: u64,
}

/// Waiting requests that the same targets can serve.
#[derive(Debug)]
pub struct Lane {
    /// Position of the service's pool.
    pub pool: usize,
    /// Build to which its requests are bound.
    pub build: Option<BuildKey>,
    /// Tokens of waiting requests by tier and rank, ready or not.
    pub tokens: [[u64; RANK_COUNT]; Tier::COUNT],
    /// Cost of ready requests by tier.
    pub ready_cost: [u64; Tier::COUNT],
    tiers: [TierQueue; Tier::COUNT],
}

impl Lane {
    /// An empty lane.
    pub fn new(pool: usize, build: Option<BuildKey>) -> Lane {
        let tokens = [[0; RANK_COUNT]; Tier::COUNT];
        Lane { pool, build, tokens, ready_cost: [0; Tier::COUNT], tiers: Default::default() }
    }

    /// Assigns the start and finish tags of a new request.
    pub fn assign_tags(
        &mut self,
        tier: Tier,
        workspace: u64,
        cost: u64,
        weight: u32,
    ) -> (u64, u64) {
        let start = self.next_tag(tier, workspace);
        let lane = &mut self.tiers[tier.index()];
        let finish = start.saturating_add(cost.saturating_mul(TAG_UNIT) / u64::from(weight.max(1)));
        lane.finish_tags.insert(workspace, finish);
        (start, finish)
    }

    /// Start tag of the next new request of a workspace.
    pub fn next_tag(&self, tier: Tier, workspace: u64) -> u64 {
        let lane = &self.tiers[tier.index()];
        let last = lane.finish_tags.get(&workspace).copied();
        last.map_or(lane.virtual_time, |last| last.max(lane.virtual_time))
    }

    /// Refunds the charge of a request that will not run, if its workspace has queued nothing behind it.
    pub fn refund(&mut self, tier: Tier, workspace: u64, tags: (u64, u64)) {
        let lane = &mut self.tiers[tier.index()];
        if let Some(last) = lane.finish_tags.get_mut(&workspace)
            && *last == tags.1
        {
            *last = tags.0;
        }
    }

    /// Charges a workspace for more tokens than predicted, or credits it for fewer.
    pub fn adjust_charge(&mut self, tier: Tier, workspace: u64, tokens: i64, weight: u32) {
        let lane = &mut self.tiers[tier.index()];
        let amount = tokens.unsigned_abs().saturating_mul(TAG_UNIT) / u64::from(weight.max(1));
        let last = lane.finish_tags.entry(workspace).or_insert(lane.virtual_time);
        let base = (*last).max(lane.virtual_time);
        *last = if tokens >= 0 { base.saturating_add(amount) } else { base.saturating_sub(amount) };
    }

    /// Advances the virtual time to the start tag of a request that is being served.
    pub fn advance(&mut self, tier: Tier, start: u64) {
        let lane = &mut self.tiers[tier.index()];
        lane.virtual_time = lane.virtual_time.max(start);
    }

    /// Adds a ready request.
    pub fn insert(&mut self, job: &Job) {
        let key = (sort_key(job), job.sequence, job.request());
        if self.tiers[job.tier().index()].ready.insert(key) {
            self.ready_cost[job.tier().index()] += job.cost;
        }
    }

    /// Removes a ready request.
    pub fn remove(&mut self, job: &Job) {
        let key = (sort_key(job), job.sequence, job.request());
        if self.tiers[job.tier().index()].ready.remove(&key) {
            self.ready_cost[job.tier().index()] -= job.cost;
        }
    }

    /// The ready request that comes first.
    pub fn head(&self, tier: Tier) -> Option<RequestId> {
        self.tiers[tier.index()].ready.first().map(|(_, _, request)| *request)
    }

    /// Ready requests of a tier, in order.
    pub fn ready(&self, tier: Tier) -> impl Iterator<Item = RequestId> + '_ {
        self.tiers[tier.index()].ready.iter().map(|(_, _, request)| *request)
    }

    /// Start tag by which a job would be ordered if it were queued now.
    pub fn new_tag(&self, job: &Job) -> u64 {
        job.first_tag.unwrap_or_else(|| self.next_tag(job.tier(), job.workspace_key))
    }

    /// Ready requests that go before a job that is not queued yet.
    pub fn ready_before(&self, job: &Job) -> impl Iterator<Item = RequestId> + '_ {
        let bound = (order_class(job) | self.new_tag(job), job.sequence, 0);
        self.tiers[job.tier().index()].ready.range(..bound).map(|(_, _, request)| *request)
    }

    /// Number of ready requests of a tier.
    pub fn len(&self, tier: Tier) -> usize {
        self.tiers[tier.index()].ready.len()
    }

    /// Number of workspaces with a finish tag in a tier.
    pub fn flows(&self, tier: Tier) -> usize {
        self.tiers[tier.index()].finish_tags.len()
    }

    /// Drops finish tags that the virtual time has reached.
    pub fn sweep(&mut self) {
        for lane in &mut self.tiers {
            if lane.finish_tags.len() > SWEEP_ABOVE || lane.ready.is_empty() {
                let time = lane.virtual_time;
                lane.finish_tags.retain(|_, finish| *finish > time);
            }
        }
    }
}

/// Orders requests by lateness and rank, then by start tag.
fn sort_key(job: &Job) -> u64 {
    order_class(job) | job.order_tag()
}

/// The part of the sort key above the start tag.
fn order_class(job: &Job) -> u64 {
    u64::from(job.order_in_tier()) << ORDER_SHIFT
}

/// Whether new requests of a rank go before a job of their tier, whatever their tags.
pub fn goes_behind_new(job: &Job, rank: usize) -> bool {
    order_in_tier(false, job.late_by_rank, rank) < job.order_in_tier()
}

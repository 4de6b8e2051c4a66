//! A request together with its scheduling state.

use std::{cmp::Reverse, time::Instant};

use tarragon_protocol::{identity::TOKENS_PER_BLOCK, request::RANK_COUNT};

use crate::{cost::CostPrediction, prelude::*, targets::estimate::RequestSize};

/// Indices and keys of a request in the scheduler's tables.
#[derive(Debug, Clone, Copy)]
pub struct JobKeys {
    /// See [`Job::pool`].
    pub pool: usize,
    /// See [`Job::lane`].
    pub lane: usize,
    /// See [`Job::models`].
    pub models: u64,
    /// See [`Job::workspace`].
    pub workspace: usize,
    /// See [`Job::workspace_key`].
    pub workspace_key: u64,
    /// See [`Job::sequence`].
    pub sequence: u64,
}

/// A request from its arrival to its end. It moves between the queue and the in-flight table.
#[derive(Debug, Clone)]
pub struct Job {
    /// The request.
    pub profile: Box<RequestProfile>,
    /// Position of its service's pool.
    pub pool: usize,
    /// Position of its lane in the queue.
    pub lane: usize,
    /// Bit of the model that the target must hold; all bits for a plain call.
    pub models: u64,
    /// Build of the targets that may run it: that of the target which began its stream.
    pub build: Option<BuildKey>,
    /// Position of its workspace in the share table.
    pub workspace: usize,
    /// Key of its workspace in tables that outlive the position.
    pub workspace_key: u64,
    /// Order of arrival among all requests.
    pub sequence: u64,
    /// Expected number of tokens of the whole answer; 0 for plain calls.
    pub output: u32,
    /// Cost in tokens, as charged by fair queueing.
    pub cost: u64,
    /// Start and finish tag of the fair queueing.
    pub tags: (u64, u64),
    /// Start tag of its first arrival, if it was refused and came back as told.
    pub first_tag: Option<u64>,
    /// Attempts dispatched so far.
    pub attempts: u32,
    /// Attempts that reached a target, whether it ran them or not.
    pub sent: u32,
    /// Whether it has waited longer than its objective allows.
    pub late: bool,
    /// Whether lateness puts it behind the next lower rank only, and not behind all requests in time.
    pub late_by_rank: bool,
    /// Whether an earlier attempt may have run at a target.
    pub may_have_run: bool,
    /// Targets to avoid because an earlier attempt failed or was cancelled there.
    pub avoid: Vec<usize>,
    /// Tokens that reached the caller in earlier attempts, of earlier transmissions too.
    pub delivered: u32,
    /// How many later requests overtook it because a target had their prompts cached.
    pub overtaken_count: u8,
    /// Until when it waits, or has waited, for busy targets that have its prompt cached.
    pub holder_until: Option<Instant>,
    /// How often it was pre-empted.
    pub preemptions: u8,
    /// Since when it is held because it may crash targets.
    pub held_since: Option<Instant>,
    /// After this time no target can finish it before the deadline, or begin the answer before the caller
    /// gives up.
    pub latest_start: Instant,
    /// Whether the latest start is set by the end of the process.
    pub by_end: bool,
}

impl Job {
    /// Creates the job of a request that has just arrived.
    pub fn new(profile: Box<RequestProfile>, keys: JobKeys, prediction: CostPrediction) -> Job {
        let JobKeys { pool, lane, models, workspace, workspace_key, sequence } = keys;
        let delivered = profile.delivered();
        Job {
            latest_start: profile.deadline,
            by_end: false,
            build: profile.build(),
            profile,
            pool,
            lane,
            models,
            workspace,
            workspace_key,
            sequence,
            output: prediction.output,
            cost: prediction.cost,
            tags: (0, 0),
            first_tag: None,
            attempts: 0,
            sent: 0,
            late: false,
            late_by_rank: false,
            may_have_run: false,
            avoid: Vec::new(),
            delivered,
            overtaken_count: 0,
            holder_until: None,
            preemptions: 0,
            held_since: None,
        }
    }

    /// Id.
    pub fn request(&self) -> RequestId {
        self.profile.request
    }

    /// Tier.
    pub fn tier(&self) -> Tier {
        self.profile.tier
    }

    /// Order within its tier.
    pub fn rank(&self) -> usize {
        usize::from(self.profile.options.rank).min(RANK_COUNT - 1)
    }

    /// Position of its lateness and rank in the dispatch order of its tier.
    pub fn order_in_tier(&self) -> u8 {
        order_in_tier(self.late, self.late_by_rank, self.rank())
    }

    /// Order in which requests of one service are sent if each has to wait for a permit: least first.
    pub fn urgency(&self) -> (Reverse<Tier>, bool, bool, usize, u64) {
        (Reverse(self.tier()), !self.goes_on(), self.late, self.rank(), self.sequence)
    }

    /// Start tag by which it is ordered.
    pub fn order_tag(&self) -> u64 {
        self.first_tag.unwrap_or(self.tags.0)
    }

    /// When the first part of the answer should be sent. A stream that goes on has begun.
    pub fn objective(&self) -> Option<Instant> {
        self.profile.options.first_output_objective.filter(|_| !self.goes_on())
    }

    /// Until when it may wait for a permit if so many others go first. Requests that are past their objective
    /// come after all others, so that one behind others will hardly be sent then.
    pub fn latest_permit(&self, ahead: usize) -> Instant {
        let objective = self.objective().filter(|_| ahead > 0);
        objective.map_or(self.latest_start, |objective| objective.min(self.latest_start))
    }

    /// Whether it continues a stream, of which the caller may have a part: only targets of one build may run it.
    pub fn goes_on(&self) -> bool {
        self.build.is_some()
    }

    /// Whether it has brought its caller nothing since it arrived.
    pub fn awaits_first_output(&self) -> bool {
        self.delivered == self.profile.delivered()
    }

    /// Tokens that count towards the queue's limits: those to be read and to be generated, or the cost of a plain
    /// call.
    pub fn tokens(&self) -> u64 {
        let RequestSize { prompt, output, .. } = self.size();
        prompt.map_or(self.cost, |prompt| u64::from(prompt) + u64::from(output))
    }

    /// Remaining work.
    pub fn size(&self) -> RequestSize {
        RequestSize {
            prompt: self
                .profile
                .model_call()
                .map(|call| call.prompt_tokens.saturating_add(self.delivered)),
            output: self.output.saturating_sub(self.delivered),
            delivered: self.delivered,
        }
    }

    /// Model that the target must hold.
    pub fn model(&self) -> Option<&ModelName> {
        self.profile.model()
    }

    /// Hashes of the prompt's blocks.
    pub fn blocks(&self) -> &[BlockHash] {
        self.profile.model_call().map_or(&[], |call| &call.blocks)
    }
}

/// Position of a rank in the dispatch order of its tier, below [`RANK_COUNT`] * 4. A late request is worth less to its
/// caller, but often more than one of a lower rank in time: by rank, it goes behind the next lower rank.
pub fn order_in_tier(late: bool, late_by_rank: bool, rank: usize) -> u8 {
    let order = match (late, late_by_rank) {
        (false, _) => 2 * rank,
        (true, true) => 2 * (rank + 1) + 1,
        (true, false) => 2 * (RANK_COUNT + rank) + 1,
    };
    order as u8
}

/// Prompt tokens in a number of leading blocks.
pub fn block_tokens(blocks: u32) -> u32 {
    blocks.saturating_mul(TOKENS_PER_BLOCK as u32)
}

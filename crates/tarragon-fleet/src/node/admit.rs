//! Requests of callers: routing, quotas and the outcomes of their attempts.

use std::time::{Duration, Instant};

use crate::{
    node::{FleetNode, OpenRequest},
    prelude::*,
    quota::PeerUsage,
    route::{PUBLIC_WORKSPACE, route_call},
};

/// Tokens per synthetic block of a shared prompt part: the same as in a block of a real prompt.
const TOKENS_PER_PART_BLOCK: u32 = tarragon_protocol::identity::TOKENS_PER_BLOCK as u32;

/// Most prompt parts of a request that are kept with it.
const MAX_SHARED_PARTS: usize = 64;

/// Most blocks of a request's prefix, those of a prompt of a million tokens. A longer prefix is matched by its
/// beginning.
pub const MAX_PREFIX_BLOCKS: usize = 1 << 14;

/// A request to be admitted.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Identifies the request in this process.
    pub request: RequestId,
    /// Route, workspace and service.
    pub routed: RoutedCall,
    /// When it arrived.
    pub arrived: Instant,
    /// Time after which the caller has no use for the answer.
    pub deadline: Instant,
    /// Hash that is the same each time that the caller sends this request.
    pub fingerprint: Fingerprint,
    /// Prompt and output sizes, if the request is a generation.
    pub generation: Option<GenerationHead>,
    /// What its caller has of the answer, if it takes up a stream.
    pub progress: Option<AnswerProgress>,
}

impl FleetNode {
    /// Finds the route, the workspace and the service of a request.
    pub fn route(&self, host: &str, path: &str, head: &CallHead) -> Result<RoutedCall, CallFault> {
        let configuration =
            self.operator_state.configuration.as_ref().ok_or(CallFault::NotConfigured)?;
        route_call(configuration, host, path, head)
    }

    /// Admits a request to the scheduler's queue, or refuses it if its workspace is over its quota.
    pub fn admit(
        &mut self,
        now: Instant,
        order: AdmissionRequest,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let request = order.request;
        let charge = match self.charge(&order, now) {
            Ok(charge) => charge,
            Err(refusal) => {
                actions.push(SchedulerAction::Refuse { request, refusal });
                return;
            }
        };
        self.calls.insert(request, OpenRequest { charged: charge });
        let profile = Box::new(request_profile(order));
        self.schedule(now, SchedulerEvent::Arrived(profile), actions);
        self.ask_for_slots(now);
    }

    /// Handles an event of a request or an attempt.
    pub fn handle(
        &mut self,
        now: Instant,
        event: SchedulerEvent,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if let SchedulerEvent::AttemptEnded(request, attempt, end) = &event {
            if *end == AttemptEnd::Finished {
                self.calls.swap_remove(request);
            }
            self.pass_on_slot((*request, *attempt), now, actions);
        }
        self.schedule(now, event, actions);
        self.ask_for_slots(now);
    }

    /// Handles the end of an attempt, and counts its outcome for the health of the target that it was sent to.
    pub fn end_attempt(
        &mut self,
        now: Instant,
        (request, attempt): (RequestId, AttemptNumber),
        target: &TargetName,
        end: AttemptEnd,
        actions: &mut Vec<SchedulerAction>,
    ) {
        self.record_outcome(target, end, now, actions);
        self.handle(now, SchedulerEvent::AttemptEnded(request, attempt, end), actions);
    }

    /// Whether another attempt of a request could begin at once if this one ended now.
    pub fn may_replace(
        &mut self,
        now: Instant,
        request: RequestId,
        attempt: AttemptNumber,
    ) -> bool {
        self.scheduler.may_replace(request, attempt, now)
    }

    /// Forgets a request whose task has ended.
    pub fn release(&mut self, request: RequestId) {
        self.calls.swap_remove(&request);
    }

    /// Checks right before the first byte of an attempt whether the target may still receive it. Since the
    /// dispatch, the address may have passed to another service.
    pub fn may_send(&self, target: &str, service: &str) -> Option<SendGrant> {
        let entry = self.directory.get(target)?;
        let granted = entry.in_service() && &*entry.listed.service == service;
        granted.then(|| SendGrant {
            instance: entry.listed.instance.clone(),
            build: entry.build(),
            restart: entry.restart_id,
        })
    }

    /// Whether the process to which an attempt was sent is still the one at its address, as far as is known.
    pub fn is_same_process(&self, target: &str, grant: &SendGrant) -> bool {
        self.directory.get(target).is_none_or(|entry| entry.restart_id == grant.restart)
    }

    /// Charges the quota of the request's workspace. Returns what was charged, if the workspace has a quota.
    fn charge(
        &mut self,
        order: &AdmissionRequest,
        now: Instant,
    ) -> Result<Option<(WorkspaceName, u64)>, Refusal> {
        let Some(workspace) = &order.routed.workspace else { return Ok(None) };
        let terms = self
            .operator_state
            .configuration
            .as_ref()
            .and_then(|configuration| configuration.workspaces.get(workspace));
        let Some(terms) = terms else { return Ok(None) };
        let units = request_units(terms, order.generation.as_ref());
        let peers = self.peer_usage(workspace, terms, now);
        match self.quotas.admit(workspace, terms, units, peers, now) {
            Ok(()) => Ok(Some((workspace.clone(), units))),
            Err(wait) => {
                tracing::info!(
                    request = order.request,
                    workspace = &**workspace,
                    units,
                    told = peers.reported,
                    silent = peers.silent,
                    unmet = peers.unmet,
                    alone = peers.alone,
                    presumed = peers.presumed,
                    sharing = peers.sharing,
                    wait_ms = wait.as_millis() as u64,
                    "refused: over the quota"
                );
                let message = "the workspace is over its quota";
                Err(Refusal::not_run(RefusalCode::LimitReached, message).with_retry_after(wait))
            }
        }
    }

    pub(super) fn peer_usage(
        &self,
        workspace: &str,
        terms: &WorkspaceConfiguration,
        now: Instant,
    ) -> PeerUsage {
        let bounds = self.quotas.bounds();
        let key = crate::digest::name_key(workspace);
        let sharing = self.members.sharing();
        let unmet = sharing - self.members.met();
        let alone = self.members.is_alone() && self.is_settling(now);
        let lag = self.members.lag();
        let mut peers = PeerUsage { sharing, unmet, alone, lag, ..PeerUsage::default() };
        let mut reported = UsageSum::none(key);
        for centre in self.members.centres() {
            let counted = centre.counted(now);
            peers.present += counted;
            peers.silent += centre.known.saturating_sub(counted);
            reported.add(&centre.usage(key, now));
        }
        (peers.reported, peers.reported_recent) = (reported.units, reported.recent);
        peers.reported_latest = reported.latest;
        for unknown_span in self.members.unknown_spans(now) {
            peers.accrued += bounds.accrued_tolerance(unknown_span);
            peers.presumed += bounds.presumed_share(terms, unknown_span);
        }
        peers
    }
}

/// Units that a request costs: tokens, or 1 where requests are counted.
pub(super) fn request_units(
    terms: &WorkspaceConfiguration,
    generation: Option<&GenerationHead>,
) -> u64 {
    match generation {
        _ if !terms.by_tokens => 1,
        Some(generation) => u64::from(generation.prompt_tokens) + u64::from(generation.max_tokens),
        None => terms.default_tokens,
    }
}

pub(super) fn request_profile(order: AdmissionRequest) -> RequestProfile {
    let AdmissionRequest { request, routed, arrived, deadline, fingerprint, generation, progress } =
        order;
    let route = &routed.route;
    // The caller states what it has; no answer is longer than the request allows.
    let longest = generation.as_ref().map_or(u32::MAX, |size| size.max_tokens);
    let progress = progress
        .map(|progress| AnswerProgress { delivered: progress.delivered.min(longest), ..progress });
    RequestProfile {
        request,
        workspace: routed.workspace.unwrap_or_else(|| PUBLIC_WORKSPACE.into()),
        service: routed.service,
        tier: routed.tier,
        deadline,
        idempotent: route.repeat != RepeatRule::AtMostOnce,
        fingerprint,
        parts: generation.as_ref().map(shared_parts).unwrap_or_default(),
        options: CallOptions {
            max_attempts: route.max_attempts.max(1),
            first_output_objective: route.objective.map(|objective| arrived + objective),
            first_output_deadline: route.patience.map(|patience| arrived + patience),
            // The tier of the workspace takes precedence; among requests of one tier, that of the route
            // decides.
            rank: (Tier::COUNT - 1 - route.tier.index()) as u8,
            expected_output: generation.as_ref().and_then(|size| size.expected_tokens),
            rejection_means_not_run: true,
            progress,
        },
        kind: generation.map_or(CallKind::Plain, |generation| {
            CallKind::Model(ModelCall {
                blocks: prefix_block_hashes(&generation),
                model: generation.model,
                prompt_tokens: generation.prompt_tokens,
                max_tokens: generation.max_tokens,
            })
        }),
    }
}

/// Ids of the parts of a prompt that other requests may share. The last part belongs to this request alone.
fn shared_parts(generation: &GenerationHead) -> Vec<PartId> {
    let shared = generation.parts.len().saturating_sub(1);
    generation.parts[..shared].iter().map(|(part, _)| *part).take(MAX_SHARED_PARTS).collect()
}

/// Most blocks that the shared parts of a prompt can have. Callers state the tokens of each part, so these are bounded
/// by those of the whole prompt. Each part ends a block.
pub fn prefix_block_count(generation: &GenerationHead) -> usize {
    let shared = generation.parts.len().saturating_sub(1);
    let tokens = usize::try_from(generation.prompt_tokens).unwrap_or(usize::MAX);
    (tokens / TOKENS_PER_PART_BLOCK as usize).saturating_add(shared)
}

/// Chained hashes that represent the shared parts of a prompt, as blocks of its prefix. The last part belongs
/// to this request alone and is left out.
fn prefix_block_hashes(generation: &GenerationHead) -> Vec<BlockHash> {
    let shared = generation.parts.len().saturating_sub(1);
    let most = prefix_block_count(generation).min(MAX_PREFIX_BLOCKS);
    let mut blocks = Vec::new();
    let mut chain = 0;
    for (id, tokens) in &generation.parts[..shared] {
        for block in 0..tokens.div_ceil(TOKENS_PER_PART_BLOCK) {
            if blocks.len() == most {
                return blocks;
            }
            let key = [chain, *id, u64::from(block)].map(u64::to_le_bytes).concat();
            chain = xxhash_rust::xxh3::xxh3_64(&key);
            blocks.push(chain);
        }
    }
    blocks
}

/// Longest time that a request may wait: the time that the caller has left, at most the timeout of the route.
pub fn wait_limit(route: &CallRoute, time_left: Option<Duration>) -> Duration {
    time_left.map_or(route.timeout, |left| left.min(route.timeout))
}

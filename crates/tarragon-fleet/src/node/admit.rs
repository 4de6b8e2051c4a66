//! Requests of callers: routing, quotas, and the news of their attempts.

use std::time::{Duration, Instant};

use crate::{
    node::{FleetNode, OpenCall},
    prelude::*,
    quota::PeerUsage,
    route::{PUBLIC_WORKSPACE, route_call},
};

/// Tokens that one pseudo block of a shared part of a prompt stands for.
const PART_BLOCK: u32 = tarragon_protocol::identity::TOKENS_PER_BLOCK as u32;

/// A request as it is given to the scheduler.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Id.
    pub request: RequestId,
    /// Where it goes.
    pub routed: RoutedCall,
    /// When it arrived.
    pub arrived: Instant,
    /// After this time the caller has no use for the answer.
    pub deadline: Instant,
    /// The same for each sending of one request.
    pub fingerprint: Fingerprint,
    /// Size, for a generation.
    pub generation: Option<GenerationHead>,
}

impl FleetNode {
    /// Finds route, workspace and service of a request.
    pub fn route(&self, host: &str, path: &str, head: &CallHead) -> Result<RoutedCall, CallFault> {
        let configuration = self.operator.configuration.as_ref().ok_or(CallFault::NotConfigured)?;
        route_call(configuration, host, path, head)
    }

    /// Takes a request. It is refused if its workspace is over its quota.
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
        self.calls.insert(request, OpenCall { charged: charge });
        let profile = Box::new(profile_of(order));
        self.schedule(now, SchedulerEvent::Arrived(profile), actions);
    }

    /// Takes news of a request or an attempt.
    pub fn handle(
        &mut self,
        now: Instant,
        event: SchedulerEvent,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if let SchedulerEvent::AttemptEnded(request, _, AttemptEnd::Finished) = &event {
            self.calls.swap_remove(request);
        }
        self.schedule(now, event, actions);
    }

    /// Takes the end of an attempt together with the target that it went to.
    pub fn end_attempt(
        &mut self,
        now: Instant,
        (request, attempt): (RequestId, AttemptNumber),
        target: &TargetName,
        end: AttemptEnd,
        actions: &mut Vec<SchedulerAction>,
    ) {
        self.judge_target(target, end, now, actions);
        self.handle(now, SchedulerEvent::AttemptEnded(request, attempt, end), actions);
    }

    /// The request's task has ended.
    pub fn release(&mut self, request: RequestId) {
        self.calls.swap_remove(&request);
    }

    /// Asks right before the first byte of an attempt whether its target may still get it. The address may
    /// belong to another service by then.
    pub fn may_send(&self, target: &str, service: &str) -> Option<SendGrant> {
        let entry = self.directory.get(target)?;
        let granted = entry.in_service() && &*entry.listed.service == service;
        granted.then(|| SendGrant { instance: entry.listed.instance.clone() })
    }

    /// Takes a request into its workspace's quota.
    fn charge(
        &mut self,
        order: &AdmissionRequest,
        now: Instant,
    ) -> Result<Option<(WorkspaceName, u64)>, Refusal> {
        let Some(workspace) = &order.routed.workspace else { return Ok(None) };
        let terms = self
            .operator
            .configuration
            .as_ref()
            .and_then(|configuration| configuration.workspaces.get(workspace));
        let Some(terms) = terms else { return Ok(None) };
        let units = units_of(terms, order.generation.as_ref());
        let peers = self.peer_usage(workspace, terms, now);
        match self.quotas.admit(workspace, terms, units, peers, now) {
            Ok(()) => Ok(Some((workspace.clone(), units))),
            Err(wait) => {
                tracing::info!(
                    request = order.request,
                    workspace = &**workspace,
                    units,
                    told = peers.told,
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

    fn peer_usage(
        &self,
        workspace: &str,
        terms: &WorkspaceConfiguration,
        now: Instant,
    ) -> PeerUsage {
        let bounds = self.quotas.bounds();
        let key = crate::digest::name_key(workspace);
        let sharing = self.members.sharing();
        let unmet = sharing - self.members.met();
        let alone = self.members.is_alone() && self.is_unsettled(now);
        let lag = self.members.lag();
        let mut peers = PeerUsage { sharing, unmet, alone, lag, ..PeerUsage::default() };
        let mut told = UsageSum::none(key);
        for centre in self.members.centres() {
            let counted = centre.counted(now);
            peers.present += counted;
            peers.silent += centre.known.saturating_sub(counted);
            told.add(&centre.usage(key, now));
        }
        (peers.told, peers.told_recent) = (told.units, told.recent);
        peers.told_latest = told.latest;
        for unknown in self.members.unknown(now) {
            peers.accrued += bounds.accrued(unknown);
            peers.presumed += bounds.presumed(terms, unknown);
        }
        peers
    }
}

fn units_of(terms: &WorkspaceConfiguration, generation: Option<&GenerationHead>) -> u64 {
    match generation {
        _ if !terms.by_tokens => 1,
        Some(generation) => u64::from(generation.prompt_tokens) + u64::from(generation.max_tokens),
        None => terms.default_tokens,
    }
}

fn profile_of(order: AdmissionRequest) -> RequestProfile {
    let AdmissionRequest { request, routed, arrived, deadline, fingerprint, generation } = order;
    let route = &routed.route;
    RequestProfile {
        request,
        workspace: routed.workspace.unwrap_or_else(|| PUBLIC_WORKSPACE.into()),
        service: routed.service,
        tier: routed.tier,
        deadline,
        idempotent: route.repeat != RepeatRule::AtMostOnce,
        fingerprint,
        options: CallOptions {
            max_attempts: route.max_attempts.max(1),
            first_output_objective: route.objective.map(|objective| arrived + objective),
            first_output_deadline: route.patience.map(|patience| arrived + patience),
            // The workspace's urgency goes first; among its requests, that of the route decides.
            rank: (Tier::COUNT - 1 - route.tier.index()) as u8,
            expected_output: generation.as_ref().and_then(|size| size.expected_tokens),
            rejection_means_not_run: true,
        },
        kind: generation.map_or(CallKind::Plain, |generation| {
            CallKind::Model(ModelCall {
                blocks: part_blocks(&generation.parts),
                model: generation.model,
                prompt_tokens: generation.prompt_tokens,
                max_tokens: generation.max_tokens,
            })
        }),
    }
}

/// Chained hashes that stand for the shared parts of a prompt. The last part belongs to the request alone.
fn part_blocks(parts: &[(u64, u32)]) -> Vec<BlockHash> {
    let shared = parts.len().saturating_sub(1);
    let mut blocks = Vec::new();
    let mut chain = 0;
    for (id, tokens) in &parts[..shared] {
        for block in 0..tokens.div_ceil(PART_BLOCK) {
            let key = [chain, *id, u64::from(block)].map(u64::to_le_bytes).concat();
            chain = xxhash_rust::xxh3::xxh3_64(&key);
            blocks.push(chain);
        }
    }
    blocks
}

/// Time left of a caller's wait, bounded by the route's timeout.
pub fn wait_limit(route: &CallRoute, time_left: Option<Duration>) -> Duration {
    time_left.map_or(route.timeout, |left| left.min(route.timeout))
}

//! Explains what would happen to a request now, without admitting it.

use std::time::{Duration, Instant};

use serde::Serialize;
use tarragon_scheduler::scheduler::{ChoiceExplanation, RefusalExplanation};

use crate::{
    node::{
        AdmissionRequest, FleetNode,
        admit::{request_profile, request_units},
        wait_limit,
    },
    prelude::*,
};

/// What would happen to a request now.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CallExplanation {
    /// Version of the configuration.
    pub version: ConfigurationVersion,
    /// Name of the route.
    pub route: String,
    /// Workspace; `None` on a public route without a key.
    pub workspace: Option<WorkspaceName>,
    /// Service.
    pub service: ServiceName,
    /// Urgency.
    pub tier: Tier,
    /// Position among the requests of the tier; lower goes first.
    pub rank: u8,
    /// Milliseconds that it may wait for its answer.
    pub allowed_ms: u64,
    /// The quota of its workspace, if it has one.
    pub quota: Option<QuotaExplanation>,
    /// How it would be refused, if it would. The quota is checked first.
    pub refusal: Option<RefusalExplanation>,
    /// What the scheduler would do with it.
    pub choice: ChoiceExplanation,
}

/// The quota of a workspace as this process knows it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct QuotaExplanation {
    /// Units that the request would cost.
    pub units: u64,
    /// Units per second that the workspace may use; 0 for no limit.
    pub per_second: f64,
    /// Units that peers have used in the window, as far as they have told.
    pub told: u64,
    /// Processes that can't be heard; a share is kept for each.
    pub silent: usize,
    /// Milliseconds after which the quota would admit the request, if it wouldn't now.
    pub retry_after_ms: Option<u64>,
}

impl FleetNode {
    /// Explains what would happen to a request now. Nothing is sent, changed or charged. `workspace` names that of a
    /// request without a key.
    pub fn explain(
        &self,
        host: &str,
        path: &str,
        mut head: CallHead,
        workspace: Option<&str>,
        now: Instant,
    ) -> Result<CallExplanation, CallFault> {
        if let (Some(name), Some(terms)) = (workspace, &self.operator_state.configuration) {
            let key = terms.keys.iter().find(|(_, owner)| &***owner == name);
            head.key = key.map(|(key, _)| key.clone());
        }
        let routed = self.route(host, path, &head)?;
        let allowed = wait_limit(&routed.route, head.time_left);
        let quota = self.explain_quota(&routed, head.generation.as_ref(), now);
        let order = AdmissionRequest {
            request: 0,
            routed: routed.clone(),
            arrived: now,
            deadline: now + allowed,
            fingerprint: 0,
            generation: head.generation,
            progress: None,
        };
        let profile = request_profile(order);
        let choice = self.scheduler.explain(&profile, now);
        let over_quota = quota.as_ref().and_then(|quota| {
            Some(RefusalExplanation {
                message: "the workspace is over its quota".to_owned(),
                retry_after_ms: Some(quota.retry_after_ms?),
            })
        });
        Ok(CallExplanation {
            version: routed.version,
            route: routed.route.name.clone(),
            workspace: routed.workspace,
            service: routed.service,
            tier: routed.tier,
            rank: profile.options.rank,
            allowed_ms: millis(allowed),
            quota,
            refusal: over_quota.or_else(|| choice.refusal.clone()),
            choice,
        })
    }

    fn explain_quota(
        &self,
        routed: &RoutedCall,
        generation: Option<&GenerationHead>,
        now: Instant,
    ) -> Option<QuotaExplanation> {
        let workspace = routed.workspace.as_ref()?;
        let terms = self.operator_state.configuration.as_ref()?.workspaces.get(workspace)?;
        let units = request_units(terms, generation);
        let peers = self.peer_usage(workspace, terms, now);
        // The units are charged to a copy.
        let admitted = self.quotas.clone().admit(workspace, terms, units, peers, now);
        Some(QuotaExplanation {
            units,
            per_second: terms.rate,
            told: peers.reported,
            silent: peers.silent,
            retry_after_ms: admitted.err().map(millis),
        })
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

//! Finds out from the engines which build began a stream that nobody has a record of, as after a power loss of the
//! whole fleet: the target that began it has the request's own part of the prompt in its cache.

use std::{sync::Arc, time::Duration};

use http::{Method, Request, StatusCode, header};
use indexmap::{IndexMap, IndexSet};
use tarragon_fleet::prelude::*;
use tarragon_server::{guarded::Guarded, target::pool::CallBody};
use tokio::{
    sync::OnceCell,
    task::JoinSet,
    time::{Instant, timeout},
};

use crate::{context::GatewayContext, platform::CallProtocol};

/// Longest wait for the list of one target.
const LIST_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest list, in bytes. Lists of many targets are kept at once.
const MAX_LIST_BYTES: usize = 1 << 20;
/// Age up to which a list is used again. Listing delays the work of a target, and streams that begin after the
/// start of this process have records.
const MAX_LIST_AGE: Duration = Duration::from_secs(15);
/// Time after which a target that did not answer is asked again.
const RETRY_TIME: Duration = Duration::from_millis(500);
/// Most targets of a service that are asked.
const MAX_LISTED_TARGETS: usize = 128;
/// Most processes in a fleet whose processes ask targets: each of them may ask each target.
const MAX_ASKING_PROCESSES: usize = 100;

/// Parts of prompts that a target holds; `None` if it did not tell.
type HeldParts = Option<Arc<IndexSet<PartId>>>;

/// A list that was requested, for all callers who wait for it.
struct ListSlot {
    requested: Instant,
    parts: OnceCell<HeldParts>,
}

/// Lists of the targets, by start of their processes.
#[derive(Default)]
pub struct CacheEvidence {
    slots: Guarded<IndexMap<(TargetName, RestartId), Arc<ListSlot>>>,
}

impl CacheEvidence {
    /// The slot for a target's list, a new one if the last is too old.
    fn slot(&self, target: &AskedTarget) -> Arc<ListSlot> {
        self.slots.with(|slots| {
            slots.retain(|_, slot| {
                let is_failed = matches!(slot.parts.get(), Some(None));
                slot.requested.elapsed() < if is_failed { RETRY_TIME } else { MAX_LIST_AGE }
            });
            let slot = slots.entry((target.address.clone(), target.restart)).or_insert_with(|| {
                Arc::new(ListSlot { requested: Instant::now(), parts: OnceCell::new() })
            });
            slot.clone()
        })
    }
}

#[derive(Clone)]
struct AskedTarget {
    address: TargetName,
    restart: RestartId,
    build: BuildKey,
}

/// What a target holds of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderFinding {
    /// Target.
    pub target: TargetName,
    /// Build of the target.
    pub build: BuildKey,
    /// Whether it holds the request's own part; `None` if it did not tell.
    pub holds: Option<bool>,
}

/// What the caches of all targets tell about a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvidenceOutcome {
    /// All holders of the part are of this build.
    Build(BuildKey),
    /// Targets of several builds hold the part, as if the request was sent again before its first event.
    SeveralBuilds,
    /// No target holds the part.
    NoHolder,
    /// A target did not tell what it holds.
    Incomplete,
}

impl EvidenceOutcome {
    /// Judges the findings at all targets of a service. A target that did not tell may hold the part, which
    /// matters if it is of another build.
    pub fn judge(findings: &[HolderFinding]) -> EvidenceOutcome {
        let holders = findings.iter().filter(|finding| finding.holds == Some(true));
        let builds: IndexSet<BuildKey> = holders.map(|finding| finding.build).collect();
        let is_silent =
            |finding: &HolderFinding| finding.holds.is_none() && !builds.contains(&finding.build);
        match (builds.first(), builds.len()) {
            _ if findings.iter().any(is_silent) => EvidenceOutcome::Incomplete,
            (None, _) => EvidenceOutcome::NoHolder,
            (Some(build), 1) => EvidenceOutcome::Build(*build),
            _ => EvidenceOutcome::SeveralBuilds,
        }
    }

    /// The build that began the stream, if that is proven.
    pub fn build(self) -> Option<BuildKey> {
        match self {
            EvidenceOutcome::Build(build) => Some(build),
            _ => None,
        }
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            EvidenceOutcome::Build(_) => "build",
            EvidenceOutcome::SeveralBuilds => "several_builds",
            EvidenceOutcome::NoHolder => "no_holder",
            EvidenceOutcome::Incomplete => "incomplete",
        }
    }
}

/// The build that began a stream, if the caches of the targets prove it.
pub fn build_of_holders(findings: &[HolderFinding]) -> Option<BuildKey> {
    EvidenceOutcome::judge(findings).build()
}

/// Asks all known targets of a service whether they hold a part, and names the build that began its stream.
pub async fn find_build_by_part<D>(
    context: &Arc<GatewayContext<D>>,
    service: &str,
    part: PartId,
) -> Option<BuildKey>
where
    D: CallProtocol,
{
    let asked = Instant::now();
    let Some(findings) = find_holders(context, service, part).await else {
        context.metrics.evidence.with_label_values(&["too_many_targets"]).inc();
        return None;
    };
    let outcome = EvidenceOutcome::judge(&findings);
    context.metrics.evidence.with_label_values(&[outcome.name()]).inc();
    let count = |holds| findings.iter().filter(|finding| finding.holds == holds).count();
    tracing::info!(
        service,
        part = format!("{part:x}"),
        holders = count(Some(true)),
        others = count(Some(false)),
        silent = count(None),
        build = outcome.build(),
        outcome = outcome.name(),
        spent_ms = asked.elapsed().as_millis() as u64,
        "asked targets for a part of a prompt"
    );
    outcome.build()
}

/// Asks all known targets of a service at once whether they hold a part. `None` if there are too many.
pub async fn find_holders<D>(
    context: &Arc<GatewayContext<D>>,
    service: &str,
    part: PartId,
) -> Option<Vec<HolderFinding>>
where
    D: CallProtocol,
{
    let targets: Vec<AskedTarget> = context.node.view(|node| {
        let entries =
            node.directory().iter().filter(|(_, known)| *known.listed.service == *service);
        let asked = entries.map(|(address, known)| AskedTarget {
            address: address.clone(),
            restart: known.restart_id,
            build: known.build(),
        });
        asked.collect()
    });
    let processes = context.node.view(|node| node.members().sharing());
    if targets.len() > MAX_LISTED_TARGETS || processes > MAX_ASKING_PROCESSES {
        let targets = targets.len();
        tracing::info!(service, targets, processes, "too many targets to ask for a part");
        return None;
    }
    let mut lists = JoinSet::new();
    for target in targets {
        let context = context.clone();
        lists.spawn(async move {
            let parts = listed_parts(&context, &target).await;
            let holds = parts.map(|parts| parts.contains(&part));
            HolderFinding { target: target.address, build: target.build, holds }
        });
    }
    Some(lists.join_all().await)
}

async fn listed_parts<D>(context: &GatewayContext<D>, target: &AskedTarget) -> HeldParts
where
    D: CallProtocol,
{
    let slot = context.evidence.slot(target);
    let fetch = async {
        let list = timeout(LIST_TIMEOUT, fetch_parts(context, &target.address)).await;
        list.unwrap_or_else(|_| {
            tracing::info!(target_address = &*target.address, "the target's list of parts is late");
            None
        })
    };
    slot.parts.get_or_init(|| fetch).await.clone()
}

async fn fetch_parts<D>(context: &GatewayContext<D>, target: &TargetName) -> HeldParts
where
    D: CallProtocol,
{
    let failed = |cause: &dyn std::fmt::Display| {
        tracing::info!(target_address = &**target, %cause, "failed to list a target's parts");
    };
    let request = Request::builder()
        .method(Method::GET)
        .uri(context.protocol.cache_list_path())
        .header(header::HOST, &**target)
        .body(CallBody::default())
        .inspect_err(|error| failed(error))
        .ok()?;
    let connect = context.limits.connect;
    let connection = context.pool.checkout(target, connect).await;
    let mut connection = connection.inspect_err(|error| failed(error)).ok()?;
    let response = connection.send_repeatable(target, connect, request, LIST_TIMEOUT).await;
    let (head, body) = response.inspect_err(|fault| failed(fault)).ok()?.into_parts();
    if head.status != StatusCode::OK {
        failed(&head.status);
        return None;
    }
    let body = context.answers.collect(body, MAX_LIST_BYTES, LIST_TIMEOUT).await;
    let body = body.inspect_err(|fault| failed(&format_args!("{fault:?}"))).ok()?;
    let parts = context.protocol.read_cache_list(&body);
    if parts.is_none() {
        failed(&"the list can't be decoded");
    }
    Some(Arc::new(parts?))
}

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
const LIST_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest list, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;
/// Age up to which a list is used again. Listing delays the work of a target.
const MAX_LIST_AGE: Duration = Duration::from_secs(2);
/// Most targets of a service that are asked.
const MAX_LISTED_TARGETS: usize = 128;

/// Parts of prompts that a target holds; `None` if it did not tell.
type HeldParts = Option<Arc<IndexSet<PartId>>>;

/// A list that was requested, for all callers who wait for it.
struct ListSlot {
    requested: Instant,
    parts: OnceCell<HeldParts>,
}

/// Lists of the targets, by address.
#[derive(Default)]
pub struct CacheEvidence {
    slots: Guarded<IndexMap<TargetName, Arc<ListSlot>>>,
}

impl CacheEvidence {
    /// The slot for a target's list, a new one if the last is too old.
    fn slot(&self, target: &TargetName) -> Arc<ListSlot> {
        self.slots.with(|slots| {
            slots.retain(|_, slot| slot.requested.elapsed() < MAX_LIST_AGE);
            let slot = slots.entry(target.clone()).or_insert_with(|| {
                Arc::new(ListSlot { requested: Instant::now(), parts: OnceCell::new() })
            });
            slot.clone()
        })
    }
}

/// What a target holds of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderFinding {
    /// Build of the target.
    pub build: BuildKey,
    /// Whether it holds the request's own part; `None` if it did not tell.
    pub holds: Option<bool>,
}

/// The build that began a stream: that of all targets which hold the request's own part. Targets of two builds hold
/// it if the request was sent again before its first event, or if other requests have the same part.
pub fn build_of_holders(findings: &[HolderFinding]) -> Option<BuildKey> {
    let mut holders = findings.iter().filter(|one| one.holds == Some(true)).map(|one| one.build);
    let build = holders.next()?;
    holders.all(|other| other == build).then_some(build)
}

/// Asks all listed targets of a service whether they hold a part.
pub async fn find_build_by_part<D>(
    context: &Arc<GatewayContext<D>>,
    service: &str,
    part: PartId,
) -> Option<BuildKey>
where
    D: CallProtocol,
{
    let targets: Vec<(TargetName, BuildKey)> = context.node.view(|node| {
        let entries =
            node.directory().iter().filter(|(_, entry)| &*entry.listed.service == service);
        entries.map(|(target, entry)| (target.clone(), entry.build())).collect()
    });
    if targets.len() > MAX_LISTED_TARGETS {
        tracing::info!(service, targets = targets.len(), "too many targets to ask for a part");
        return None;
    }
    let mut lists = JoinSet::new();
    for (target, build) in targets {
        let context = context.clone();
        lists.spawn(async move {
            let parts = listed_parts(&context, &target).await;
            HolderFinding { build, holds: parts.map(|parts| parts.contains(&part)) }
        });
    }
    let findings = lists.join_all().await;
    let build = build_of_holders(&findings);
    let count = |holds| findings.iter().filter(|one| one.holds == holds).count();
    tracing::info!(
        service,
        part = format!("{part:x}"),
        holders = count(Some(true)),
        others = count(Some(false)),
        silent = count(None),
        build,
        "asked targets for a part of a prompt"
    );
    build
}

async fn listed_parts<D>(context: &GatewayContext<D>, target: &TargetName) -> HeldParts
where
    D: CallProtocol,
{
    let slot = context.evidence.slot(target);
    let fetch = async {
        let list = timeout(LIST_TIMEOUT, fetch_parts(context, target)).await;
        list.unwrap_or_else(|_| {
            tracing::info!(target_address = &**target, "the target's list of parts is late");
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
    let body = context.answers.collect(body, MAX_LIST_BYTES, LIST_TIMEOUT).await;
    let body = body.inspect_err(|_| failed(&"the list is incomplete")).ok()?;
    if head.status != StatusCode::OK {
        failed(&head.status);
        return None;
    }
    let parts = context.protocol.read_cache_list(&body);
    if parts.is_none() {
        failed(&"the list can't be decoded");
    }
    Some(Arc::new(parts?))
}

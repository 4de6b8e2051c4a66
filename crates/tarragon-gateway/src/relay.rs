//! Attempts that go over a peer, because this process has lost its link to their target. The process that took the
//! request from its caller decides and accounts; the peer only carries the attempt over its own connections, and
//! never passes it on.

pub mod server;

use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Weak, atomic::AtomicUsize},
    time::Duration,
};

use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, header};
use indexmap::IndexMap;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tarragon_fleet::{link::LossCause, node::RelayCandidate, prelude::*};
use tarragon_server::{
    guarded::Guarded,
    target::pool::{CallBody, ConnectionPool, TargetDialer},
};
use tokio::{
    sync::{Mutex, Semaphore},
    time::{Instant, sleep},
};

use crate::{context::GatewayContext, platform::CallProtocol};

/// Longest time to connect to a peer, and for a peer to connect to a target: a request may wait for two peers in
/// turn.
pub const RELAY_CONNECT_LIMIT: Duration = Duration::from_millis(150);
/// Time for which a peer that declined an attempt, or could not be reached, is not asked again.
const SKIP_TIME: Duration = Duration::from_secs(1);
/// Interval at which lost links that are due are probed.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest answer time of a peer that is asked whether it reaches a target.
const REACH_TIMEOUT: Duration = Duration::from_millis(300);

/// Header by which a peer is told which attempt it gets.
pub const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("tarragon-relayed-attempt");
/// Header by which a peer tells how the attempt went.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("tarragon-relay-outcome");

/// An attempt that a peer carries.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RelayedAttempt {
    /// Target.
    pub target: TargetName,
    /// Service that it must belong to.
    pub service: ServiceName,
    /// Instance that must have its address.
    pub instance: Arc<str>,
    /// Build that it must have.
    pub build: BuildKey,
    /// The caller's id of the request.
    pub tag: String,
    /// Time left for it, in milliseconds.
    pub time_ms: u64,
    /// Whether it may use a connection that has carried other calls.
    pub may_reuse: bool,
    /// Whether the peer is only asked if it can connect to the target.
    pub is_question: bool,
}

impl RelayedAttempt {
    /// Value of the header.
    pub fn to_header(&self) -> Option<HeaderValue> {
        let text = serde_json::to_string(self).ok()?;
        HeaderValue::from_str(&text)
            .inspect_err(|error| {
                tracing::error!(request = self.tag, %error, "failed to describe an attempt");
            })
            .ok()
    }
}

/// How an attempt went at the peer that carried it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayOutcome {
    /// The target's answer follows.
    Answered,
    /// The target's answer follows, and its end shows only by the end of the target's connection.
    AnsweredUnframed,
    /// Not sent: the peer can't connect to the target either.
    Unreachable,
    /// Not sent: the peer doesn't take it.
    Declined,
    /// The peer's connection to the target broke after it was sent, and the peer's link is sound.
    Broken,
    /// Sent, and nothing is known of the target: the peer may have lost its link, or got no answer in time.
    Severed,
    /// The target's answer belongs to another request, or can't be used.
    Garbled,
}

impl RelayOutcome {
    const ALL: [RelayOutcome; 7] = [
        RelayOutcome::Answered,
        RelayOutcome::AnsweredUnframed,
        RelayOutcome::Unreachable,
        RelayOutcome::Declined,
        RelayOutcome::Broken,
        RelayOutcome::Severed,
        RelayOutcome::Garbled,
    ];

    /// Name in headers, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RelayOutcome::Answered => "answered",
            RelayOutcome::AnsweredUnframed => "answered_unframed",
            RelayOutcome::Unreachable => "unreachable",
            RelayOutcome::Declined => "declined",
            RelayOutcome::Broken => "broken",
            RelayOutcome::Severed => "severed",
            RelayOutcome::Garbled => "garbled",
        }
    }

    /// Reads it from the headers of a peer's answer.
    pub fn read(headers: &HeaderMap) -> Option<RelayOutcome> {
        let name = headers.get(OUTCOME_HEADER)?.to_str().ok()?;
        RelayOutcome::ALL.into_iter().find(|outcome| outcome.name() == name)
    }
}

/// What is known of the peers as carriers of this process's attempts.
#[derive(Debug, Default)]
struct PeerUse {
    /// Peers that are not asked, and until when.
    skipped: IndexMap<SocketAddr, Instant>,
    /// Attempts of this process that peers carry now.
    sent: IndexMap<SocketAddr, usize>,
}

/// The way of attempts over peers, in both directions.
#[derive(Clone)]
pub struct RelayLink {
    /// Connections to peers.
    pub pool: ConnectionPool,
    /// Attempts of peers that this process carries.
    pub carried: Arc<AtomicUsize>,
    /// Held while a peer is asked about a link of this process that failed for another peer.
    asking: Arc<Semaphore>,
    /// Locks of the checks under way, by target.
    checks: Arc<Guarded<IndexMap<TargetName, Weak<Mutex<()>>>>>,
    peers: Arc<Guarded<PeerUse>>,
}

impl Default for RelayLink {
    fn default() -> RelayLink {
        RelayLink {
            pool: ConnectionPool::default(),
            carried: Arc::default(),
            asking: Arc::new(Semaphore::new(1)),
            checks: Arc::default(),
            peers: Arc::default(),
        }
    }
}

/// A peer that carries an attempt of this process. It is counted until the drop.
pub struct PeerSlot {
    peers: Arc<Guarded<PeerUse>>,
    peer: SocketAddr,
    /// Where it takes attempts.
    pub address: String,
}

impl PeerSlot {
    /// Address at which the peer receives digests.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Leaves the peer out for some time.
    pub fn skip(&self) {
        let until = Instant::now() + SKIP_TIME;
        self.peers.with(|peers| peers.skipped.insert(self.peer, until));
    }
}

impl Drop for PeerSlot {
    fn drop(&mut self) {
        self.peers.with(|peers| {
            if let Some(sent) = peers.sent.get_mut(&self.peer) {
                *sent = sent.saturating_sub(1);
                if *sent == 0 {
                    peers.sent.swap_remove(&self.peer);
                }
            }
        });
    }
}

impl RelayLink {
    /// The way over peers that know this process by an IP address.
    pub fn new(source: IpAddr) -> RelayLink {
        let pool = ConnectionPool::with_dialer(TargetDialer::from_source(source));
        RelayLink { pool, ..RelayLink::default() }
    }

    /// The lock that is held while the link to a target is checked: the end of a target breaks many calls at once,
    /// and one of them asks peers for all.
    pub fn check_lock(&self, target: &TargetName) -> Arc<Mutex<()>> {
        self.checks.with(|checks| {
            if let Some(lock) = checks.get(target).and_then(Weak::upgrade) {
                return lock;
            }
            checks.retain(|_, lock| lock.strong_count() > 0);
            let lock = Arc::default();
            checks.insert(target.clone(), Arc::downgrade(&lock));
            lock
        })
    }

    /// A peer to carry an attempt: of two at random that fit best, the one that carries less. None of `asked`; peers of other data
    /// centres first with `prefers_far`.
    pub fn choose<D>(
        &self,
        context: &GatewayContext<D>,
        asked: &[SocketAddr],
        prefers_far: bool,
    ) -> Option<PeerSlot> {
        let port = context.settings.relay_address()?.port();
        let now = Instant::now();
        let skipped = self.peers.with(|peers| {
            peers.skipped.retain(|_, until| *until > now);
            peers.skipped.clone()
        });
        let is_skipped = |peer: &SocketAddr| skipped.contains_key(peer) || asked.contains(peer);
        let candidates = context.node.view(|node| node.relay_candidates(prefers_far, is_skipped));
        self.peers.with(|peers| {
            let load = |candidate: &&RelayCandidate| {
                let own = peers.sent.get(&candidate.peer).copied().unwrap_or(0);
                own + usize::from(candidate.carried)
            };
            let two = candidates.choose_multiple(&mut rand::rng(), 2);
            let peer = two.min_by_key(load)?.peer;
            *peers.sent.entry(peer).or_default() += 1;
            let address = SocketAddr::new(peer.ip(), port).to_string();
            Some(PeerSlot { peers: self.peers.clone(), peer, address })
        })
    }
}

/// Asks a peer whether it can connect to a target.
pub async fn ask_reach<D>(
    context: &GatewayContext<D>,
    slot: &PeerSlot,
    attempt: &RelayedAttempt,
) -> RelayOutcome
where
    D: CallProtocol,
{
    let question = RelayedAttempt { is_question: true, ..attempt.clone() };
    let answer = async {
        let request = Request::builder()
            .method(Method::GET)
            .uri("/")
            .header(header::HOST, &slot.address)
            .header(ATTEMPT_HEADER, question.to_header()?)
            .body(CallBody::default())
            .ok()?;
        let pool = &context.relays.pool;
        let mut connection = pool.checkout(&slot.address, RELAY_CONNECT_LIMIT).await.ok()?;
        let sent = connection
            .send_repeatable(&slot.address, RELAY_CONNECT_LIMIT, request, REACH_TIMEOUT)
            .await;
        let outcome = RelayOutcome::read(sent.ok()?.headers())?;
        pool.give_back(&slot.address, connection);
        Some(outcome)
    };
    let outcome = answer.await.unwrap_or_else(|| {
        slot.skip();
        RelayOutcome::Declined
    });
    context.metrics.relays_sent.with_label_values(&["question", outcome.name()]).inc();
    outcome
}

/// Asks another peer about a target that this process could not reach for `asking`, so that its digests tell of lost
/// links and it isn't asked to carry attempts: one question at a time, and no attempt.
pub fn check_own_link<D>(context: &Arc<GatewayContext<D>>, attempt: &RelayedAttempt, asking: IpAddr)
where
    D: CallProtocol,
{
    let Ok(permit) = context.relays.asking.clone().try_acquire_owned() else { return };
    let (shared, attempt) = (context.clone(), attempt.clone());
    context.spawn(async move {
        let _permit = permit;
        let is_asking = |node: &FleetNode| {
            node.members().iter().map(|(peer, _)| *peer).find(|peer| peer.ip() == asking)
        };
        let asked = Vec::from_iter(shared.node.view(is_asking));
        let Some(slot) = shared.relays.choose(&shared, &asked, true) else { return };
        if ask_reach(&shared, &slot, &attempt).await == RelayOutcome::Answered {
            let target = &attempt.target;
            let cause = LossCause::ConnectFailed;
            shared.node.run(|node, now, _| node.record_link_loss(target, cause, now));
        }
    });
}

/// Probes lost links a few at a time until the process ends.
pub async fn probe_links<D>(context: Arc<GatewayContext<D>>)
where
    D: CallProtocol,
{
    loop {
        let due = context.node.run(|node, now, _| node.take_link_probes(now));
        let lost = context.node.view(|node| node.links().lost_count());
        context.metrics.lost_links.set(i64::try_from(lost).unwrap_or(i64::MAX));
        let is_idle = due.is_empty();
        let regained = probe_together(&context, due).await;
        if is_idle || !regained {
            sleep(PROBE_CHECK_INTERVAL).await;
        }
    }
}

/// Probes links at once. Returns whether one of them is back.
async fn probe_together<D>(context: &Arc<GatewayContext<D>>, due: Vec<TargetName>) -> bool
where
    D: CallProtocol,
{
    let mut probes = tokio::task::JoinSet::new();
    for target in due {
        let context = context.clone();
        probes.spawn(async move { probe_link(&context, &target).await.is_ok() });
    }
    probes.join_all().await.contains(&true)
}

/// Connects to a target to see whether the link to it is sound.
pub async fn probe_link<D>(context: &GatewayContext<D>, target: &TargetName) -> io::Result<()> {
    let opened = context.pool.open(target, context.limits.connect).await;
    context.node.run(|node, now, _| match &opened {
        Ok(_) => node.record_link_connection(target, now),
        Err(_) => node.record_link_failure(target, now),
    });
    opened.map(drop)
}

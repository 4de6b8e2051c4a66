//! Chooses which processes of a large data centre relay its sums: the first ones, as long as they answer, in
//! an order that all of its processes agree on. A process relays to all peers that request it, even if by its
//! own view of the order it is not a relay.

use std::{net::SocketAddr, time::Instant};

use indexmap::{IndexMap, IndexSet};

use super::{SILENCE_LIMIT, weight};
use crate::digest::NameKey;

/// Number of processes that relay the sums of a data centre. With two, sums continue when one of them dies.
const RELAY_COUNT: usize = 2;

/// Relays that this process requests sums from, and peers that request sums from it.
#[derive(Debug, Default)]
pub struct RelayTable {
    /// Relays that sums are requested from, and since when. This process may be one of them.
    chosen: IndexMap<SocketAddr, Instant>,
    /// Relays that didn't send sums. They are not chosen again until a digest from them arrives.
    failed: IndexSet<SocketAddr>,
    /// Peers that request sums from this process, and when they last did.
    subscribers: IndexMap<SocketAddr, Instant>,
    /// Since when this process has had subscribers.
    since: Option<Instant>,
}

impl RelayTable {
    /// Records that a digest from a peer arrived. `requests_sums` tells whether the peer requests sums.
    pub fn record_digest(&mut self, peer: SocketAddr, requests_sums: bool, now: Instant) {
        self.failed.swap_remove(&peer);
        if requests_sums {
            self.subscribers.insert(peer, now);
            self.since.get_or_insert(now);
        }
    }

    /// Whether peers request sums from this process.
    pub fn is_relay(&self) -> bool {
        !self.subscribers.is_empty()
    }

    /// Whether this process has been a relay for so long that each live peer has sent it a digest.
    pub fn reported_by_all(&self, now: Instant) -> bool {
        self.since.is_some_and(|since| now.saturating_duration_since(since) >= SILENCE_LIMIT)
    }

    /// Peers that request sums.
    pub fn subscribers(&self) -> Vec<SocketAddr> {
        self.subscribers.keys().copied().collect()
    }

    /// Relays to request sums from, without this process.
    pub fn chosen(&self, own: SocketAddr) -> Vec<SocketAddr> {
        self.chosen.keys().copied().filter(|relay| *relay != own).collect()
    }

    /// Removes peers that no longer request sums.
    pub fn expire(&mut self, now: Instant) {
        self.subscribers.retain(|_, last| now.saturating_duration_since(*last) < SILENCE_LIMIT);
        if self.subscribers.is_empty() {
            self.since = None;
        }
    }

    /// Removes all chosen relays, for a data centre in which all processes send digests to each other.
    pub fn clear(&mut self) {
        self.chosen.clear();
    }

    /// Chooses the relays among `processes`, those of the data centre including this one. `heard` returns
    /// when the last digest from a peer arrived.
    pub fn choose<P, H>(
        &mut self,
        processes: P,
        own: SocketAddr,
        key: NameKey,
        heard: H,
        now: Instant,
    ) where
        P: Iterator<Item = SocketAddr>,
        H: Fn(&SocketAddr) -> Option<Instant>,
    {
        for (relay, since) in &self.chosen {
            let last = heard(relay).map_or(*since, |heard| heard.max(*since));
            let silent = now.saturating_duration_since(last);
            if *relay != own && silent >= SILENCE_LIMIT {
                tracing::info!(peer = %relay, "relay sends no sums; another one is chosen");
                self.failed.insert(*relay);
            }
        }
        let mut order: Vec<(u64, SocketAddr)> = processes
            .filter(|address| !self.failed.contains(address))
            .map(|address| (weight(address, key.into()), address))
            .collect();
        order.sort_unstable();
        let chosen = order.iter().take(RELAY_COUNT).map(|(_, address)| *address);
        let since = |address| self.chosen.get(&address).copied().unwrap_or(now);
        self.chosen = chosen.map(|address| (address, since(address))).collect();
    }
}

//! Which processes of a large data centre relay its sums: the first of an order that all of them share, as long
//! as they answer. A process relays for those that ask it, whatever it takes itself for.

use std::{net::SocketAddr, time::Instant};

use indexmap::{IndexMap, IndexSet};

use super::{SILENCE_LIMIT, weight};
use crate::digest::NameKey;

/// Processes that relay the sums of a data centre. With two, sums go on when one of them dies.
const RELAYS: usize = 2;

/// Relays that this process asks, and peers that ask it.
#[derive(Debug, Default)]
pub struct RelayTable {
    /// Processes that are asked for sums, and since when. This process may be one of them.
    asked: IndexMap<SocketAddr, Instant>,
    /// Processes that were asked and didn't answer. They are not asked until they are heard again.
    failed: IndexSet<SocketAddr>,
    /// Peers that ask this process, and when they did last.
    subscribers: IndexMap<SocketAddr, Instant>,
    /// Since when peers ask.
    since: Option<Instant>,
}

impl RelayTable {
    /// A peer has been heard. `asks` tells whether it asks for sums.
    pub fn hear(&mut self, peer: SocketAddr, asks: bool, now: Instant) {
        self.failed.swap_remove(&peer);
        if asks {
            self.subscribers.insert(peer, now);
            self.since.get_or_insert(now);
        }
    }

    /// Whether peers ask this process for sums.
    pub fn is_relay(&self) -> bool {
        !self.subscribers.is_empty()
    }

    /// Whether peers have asked this process for so long that each one that lives has done so.
    pub fn hears_all(&self, now: Instant) -> bool {
        self.since.is_some_and(|since| now.saturating_duration_since(since) >= SILENCE_LIMIT)
    }

    /// Peers that ask for sums.
    pub fn subscribers(&self) -> Vec<SocketAddr> {
        self.subscribers.keys().copied().collect()
    }

    /// Processes to ask for sums, this one left out.
    pub fn asked(&self, own: SocketAddr) -> Vec<SocketAddr> {
        self.asked.keys().copied().filter(|relay| *relay != own).collect()
    }

    /// Forgets peers that ask no more.
    pub fn expire(&mut self, now: Instant) {
        self.subscribers.retain(|_, asked| now.saturating_duration_since(*asked) < SILENCE_LIMIT);
        if self.subscribers.is_empty() {
            self.since = None;
        }
    }

    /// Asks nobody: all peers of the data centre write to each other.
    pub fn clear(&mut self) {
        self.asked.clear();
    }

    /// Chooses the relays to ask among the processes of a data centre, this one included. `heard` tells when a
    /// peer was last heard.
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
        for (relay, since) in &self.asked {
            let last = heard(relay).map_or(*since, |heard| heard.max(*since));
            let silent = now.saturating_duration_since(last);
            if *relay != own && silent >= SILENCE_LIMIT {
                tracing::info!(peer = %relay, "relay gives no sums; another one is asked");
                self.failed.insert(*relay);
            }
        }
        let mut order: Vec<(u64, SocketAddr)> = processes
            .filter(|address| !self.failed.contains(address))
            .map(|address| (weight(address, key.into()), address))
            .collect();
        order.sort_unstable();
        let chosen = order.iter().take(RELAYS).map(|(_, address)| *address);
        let since = |address| self.asked.get(&address).copied().unwrap_or(now);
        self.asked = chosen.map(|address| (address, since(address))).collect();
    }
}

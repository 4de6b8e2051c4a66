//! Peers of this process: found by seeds and by rumour, known by their digests.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};

use crate::{digest::UsageSum, prelude::*};

/// Units used by workspaces.
pub type FormerUsage = Vec<UsageSum>;

/// A peer that sends nothing for this long doesn't count as present. Digests come several times a second, so
/// that only a dead or separated peer is silent for so long.
pub const SILENT: Duration = Duration::from_millis(1_500);
/// A silent peer is still written to for this long, and counts when limits are divided: it may be on the other
/// side of a partition and use its part.
const FORGOTTEN: Duration = Duration::from_secs(30);
/// An address that was only heard of is written to for this long.
const RUMOUR: Duration = Duration::from_secs(5);
/// Use of quotas that was told longer ago than this says nothing of the quotas' present windows.
const FORMER: Duration = Duration::from_secs(8);
/// Addresses that one digest names.
const NAMED_MEMBERS: usize = 16;

/// One peer.
#[derive(Debug)]
pub struct Member {
    /// When its last digest arrived.
    pub heard: Instant,
    /// Its last digest.
    pub digest: PeerDigest,
}

/// All peers.
#[derive(Debug)]
pub struct MemberTable {
    own: SocketAddr,
    seeds: Vec<SocketAddr>,
    members: IndexMap<SocketAddr, Member>,
    /// Addresses that peers have named, with the time at which they were last written down.
    rumours: IndexMap<SocketAddr, Instant>,
    /// What peers that were restarted a short time ago had last told of their use of quotas.
    former: IndexMap<SocketAddr, (Instant, FormerUsage)>,
    /// Peers that are present, to tell changes.
    present: IndexSet<SocketAddr>,
    /// Position of the first member that the next digest names.
    cursor: usize,
}

impl MemberTable {
    /// A table that knows only the seeds.
    pub fn new(own: SocketAddr, seeds: &[SocketAddr]) -> MemberTable {
        MemberTable {
            own,
            seeds: seeds.iter().copied().filter(|seed| *seed != own).collect(),
            members: IndexMap::new(),
            rumours: IndexMap::new(),
            former: IndexMap::new(),
            present: IndexSet::new(),
            cursor: 0,
        }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().filter(|seed| *seed != self.own).collect();
    }

    /// Takes a digest. Returns false for one that is older than the last one of its sender.
    pub fn take(&mut self, from: SocketAddr, digest: PeerDigest, now: Instant) -> bool {
        if from == self.own {
            return false;
        }
        if let Some(known) = self.members.get(&from)
            && known.digest.incarnation == digest.incarnation
            && known.digest.sequence >= digest.sequence
        {
            return false;
        }
        for address in digest.members.iter().filter(|address| **address != self.own) {
            if !self.members.contains_key(address) {
                self.rumours.insert(*address, now);
            }
        }
        self.note_restart(from, &digest, now);
        self.rumours.swap_remove(&from);
        if self.present.insert(from) {
            tracing::info!(peer = %from, vm = &*digest.vm, incarnation = digest.incarnation, "peer is present");
        }
        self.members.insert(from, Member { heard: now, digest });
        true
    }

    /// Keeps what a peer had used before its restart, for the peer itself.
    fn note_restart(&mut self, from: SocketAddr, digest: &PeerDigest, now: Instant) {
        let Some(known) = self.members.get(&from) else { return };
        let recent = now.saturating_duration_since(known.heard) < FORMER;
        if known.digest.incarnation != digest.incarnation && known.digest.presumed_permille == 0 && recent {
            self.former.insert(from, (now, known.digest.usage.clone()));
        }
    }

    /// Use of quotas of restarted peers before their restart, for the next digest.
    pub fn former(&mut self, now: Instant) -> Vec<(SocketAddr, FormerUsage)> {
        let recent = |since: &Instant| now.saturating_duration_since(*since) < RUMOUR;
        self.former.retain(|_, (since, _)| recent(since));
        self.former.iter().map(|(address, (_, usage))| (*address, usage.clone())).collect()
    }

    /// What a digest says of this process's use of quotas before its restart.
    pub fn own_former<'a>(&self, digest: &'a PeerDigest) -> Option<&'a FormerUsage> {
        let own = digest.former.iter().find(|(address, _)| *address == self.own);
        own.map(|(_, usage)| usage)
    }

    /// Forgets peers that have been silent for long, and notes those that have become silent. Returns whether
    /// the peers that are present have changed.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.members.retain(|_, member| now.saturating_duration_since(member.heard) < FORGOTTEN);
        self.rumours.retain(|_, heard| now.saturating_duration_since(*heard) < RUMOUR);
        let before = self.present.len();
        let members = &self.members;
        self.present.retain(|address| {
            let present = members.get(address).is_some_and(|member| member.is_present(now));
            if !present {
                tracing::info!(peer = %address, silent_ms = SILENT.as_millis() as u64, "peer is silent");
            }
            present
        });
        self.present.len() != before
    }

    /// Counts all peers as silent until they are heard again.
    pub fn silence(&mut self, now: Instant) {
        let Some(silent) = now.checked_sub(SILENT) else { return };
        for member in self.members.values_mut() {
            member.heard = member.heard.min(silent);
        }
    }

    /// Peers that are present.
    pub fn present(&self, now: Instant) -> impl Iterator<Item = (&SocketAddr, &Member)> {
        self.members.iter().filter(move |(_, member)| member.is_present(now))
    }

    /// All peers that are remembered, present or not.
    pub fn iter(&self) -> impl Iterator<Item = (&SocketAddr, &Member)> {
        self.members.iter()
    }

    /// Processes that share limits with this one, itself included.
    pub fn sharing(&self) -> usize {
        self.members.len() + 1
    }

    /// Position of this process among those that share limits, the same for all of them if they know each
    /// other. `key` shuffles the order, so that different limits favour different processes.
    pub fn rank(&self, key: u64) -> usize {
        let weight = |address: &SocketAddr| {
            xxhash_rust::xxh3::xxh3_64_with_seed(address.to_string().as_bytes(), key)
        };
        let own = weight(&self.own);
        self.members.keys().filter(|address| weight(address) < own).count()
    }

    /// Addresses to which a digest goes: members, rumoured addresses, and seeds.
    pub fn recipients(&self) -> Vec<SocketAddr> {
        let mut addresses: IndexSet<SocketAddr> = self.members.keys().copied().collect();
        addresses.extend(self.rumours.keys().copied());
        addresses.extend(self.seeds.iter().copied());
        addresses.swap_remove(&self.own);
        addresses.into_iter().collect()
    }

    /// Addresses to name in the next digest, in turns.
    pub fn named(&mut self, now: Instant) -> Vec<SocketAddr> {
        let present: Vec<SocketAddr> = self.present(now).map(|(address, _)| *address).collect();
        let count = present.len().min(NAMED_MEMBERS);
        self.cursor = if present.is_empty() { 0 } else { (self.cursor + count) % present.len() };
        (0..count).map(|offset| present[(self.cursor + offset) % present.len()]).collect()
    }
}

impl Member {
    /// Whether it was heard a short time ago.
    pub fn is_present(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard) < SILENT
    }
}

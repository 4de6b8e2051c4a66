//! Peers of this process: found by seeds and by rumour, known by their digests.

use std::{
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    digest::{NameKey, UsageSum, name_key},
    prelude::*,
};

/// Units used by workspaces.
pub type FormerUsage = Vec<UsageSum>;

/// A peer that sends nothing for this long doesn't count as present. Digests come several times a second, so
/// that only a dead or separated peer is silent for so long. In large fleets, which write to each other in
/// turns, it is this many turns.
pub const SILENT: Duration = Duration::from_millis(1_500);
const SILENT_TURNS: u32 = 3;
/// Time between two digests.
pub const DIGEST_INTERVAL: Duration = Duration::from_millis(200);
/// Peers of the own data centre, and of others, that one digest goes to.
const NEAR_FANOUT: usize = 12;
const FAR_FANOUT: usize = 6;
/// Peers of the own data centre that urgent news go to at once.
const URGENT_FANOUT: usize = 40;
/// A silent peer is still written to for this long, and counts when limits are divided: it may be on the other
/// side of a partition and use its part.
const FORGOTTEN: Duration = Duration::from_secs(30);
/// An address that was only heard of is written to for this long.
const RUMOUR: Duration = Duration::from_secs(5);
/// Use of quotas that was told longer ago than this says nothing of the quotas' present windows.
const FORMER: Duration = Duration::from_secs(8);
/// Addresses of processes not met yet that one digest goes to. In a fleet of 73 all meet within a second.
const UNMET_FANOUT: usize = 24;
/// Addresses that one digest names.
pub const NAMED_MEMBERS: usize = 16;
/// Addresses that the answer to a first digest names: its receiver knows few.
pub const ANSWER_NAMES: usize = 64;

/// One peer.
#[derive(Debug)]
pub struct Member {
    /// When its last digest arrived.
    pub heard: Instant,
    /// Its last digest.
    pub digest: PeerDigest,
}

/// What is known of a process that was only heard of.
#[derive(Debug, Clone, Copy)]
struct PeerRumour {
    /// When a peer last named it.
    heard: Instant,
    /// Whether a digest went to it.
    written: bool,
}

/// All peers.
#[derive(Debug)]
pub struct MemberTable {
    own: SocketAddr,
    /// Data centre of this process.
    data_centre: NameKey,
    /// Positions of the first peers that the next digest goes to.
    near_turn: usize,
    far_turn: usize,
    unmet_turn: usize,
    seeds: Vec<SocketAddr>,
    members: IndexMap<SocketAddr, Member>,
    /// Addresses that peers have named and that were not met.
    rumours: IndexMap<SocketAddr, PeerRumour>,
    /// What peers that were restarted a short time ago had last told of their use of quotas.
    former: IndexMap<SocketAddr, (Instant, FormerUsage)>,
    /// Peers that are present, to tell changes.
    present: IndexSet<SocketAddr>,
    /// Most processes that one of the members has met.
    most_met: usize,
    /// Position of the first member that the next digest names.
    cursor: usize,
}

impl MemberTable {
    /// A table that knows only the seeds.
    pub fn new(own: SocketAddr, data_centre: &str, seeds: &[SocketAddr]) -> MemberTable {
        MemberTable {
            own,
            data_centre: name_key(data_centre),
            near_turn: 0,
            far_turn: 0,
            unmet_turn: 0,
            seeds: seeds.iter().copied().filter(|seed| *seed != own).collect(),
            members: IndexMap::new(),
            rumours: IndexMap::new(),
            former: IndexMap::new(),
            present: IndexSet::new(),
            most_met: 0,
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
                let rumour = PeerRumour { heard: now, written: false };
                self.rumours.entry(*address).or_insert(rumour).heard = now;
            }
        }
        self.note_restart(from, &digest, now);
        self.rumours.swap_remove(&from);
        if self.present.insert(from) {
            tracing::info!(peer = %from, vm = &*digest.vm, incarnation = digest.incarnation, "peer is present");
        }
        self.most_met = self.most_met.max(digest.met as usize);
        self.members.insert(from, Member { heard: now, digest });
        true
    }

    /// Keeps what a peer had used before its restart, for the peer itself.
    fn note_restart(&mut self, from: SocketAddr, digest: &PeerDigest, now: Instant) {
        let Some(known) = self.members.get(&from) else { return };
        let recent = now.saturating_duration_since(known.heard) < FORMER;
        if known.digest.incarnation != digest.incarnation && known.digest.unknown_ms == 0 && recent
        {
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
        self.rumours.retain(|_, rumour| now.saturating_duration_since(rumour.heard) < RUMOUR);
        let before = self.present.len();
        let limit = self.silence_limit();
        let members = &self.members;
        self.present.retain(|address| {
            let present = members.get(address).is_some_and(|member| member.is_present(limit, now));
            if !present {
                tracing::info!(peer = %address, silent_ms = limit.as_millis() as u64, "peer is silent");
            }
            present
        });
        let met = members.values().map(|member| member.digest.met as usize);
        self.most_met = met.max().unwrap_or(0);
        self.present.len() != before
    }

    /// Counts all peers as silent until they are heard again.
    pub fn silence(&mut self, now: Instant) {
        let Some(silent) = now.checked_sub(self.silence_limit()) else { return };
        for member in self.members.values_mut() {
            member.heard = member.heard.min(silent);
        }
    }

    /// Peers that are present.
    pub fn present(&self, now: Instant) -> impl Iterator<Item = (&SocketAddr, &Member)> {
        let limit = self.silence_limit();
        self.members.iter().filter(move |(_, member)| member.is_present(limit, now))
    }

    /// Whether a peer was heard a short time ago.
    pub fn is_present(&self, member: &Member, now: Instant) -> bool {
        member.is_present(self.silence_limit(), now)
    }

    /// Position of this process among the present ones of its data centre.
    pub fn near_rank(&self, now: Instant) -> usize {
        let near = self.present(now).filter(|(_, member)| self.is_near(member));
        near.filter(|(address, _)| **address < self.own).count()
    }

    fn is_near(&self, member: &Member) -> bool {
        member.digest.data_centre == self.data_centre
    }

    /// Time after which a peer that says nothing counts as silent.
    fn silence_limit(&self) -> Duration {
        let turns = self.members.len().div_ceil(FAR_FANOUT).max(1);
        SILENT.max(DIGEST_INTERVAL * SILENT_TURNS * u32::try_from(turns).unwrap_or(u32::MAX))
    }

    /// All peers that are remembered, present or not.
    pub fn iter(&self) -> impl Iterator<Item = (&SocketAddr, &Member)> {
        self.members.iter()
    }

    /// Processes that this one has met, itself included.
    pub fn met(&self) -> usize {
        self.members.len() + 1
    }

    /// Processes that share limits with this one, itself included. Peers may have met some that this one has
    /// not met yet.
    pub fn sharing(&self) -> usize {
        self.met().max(self.most_met)
    }

    /// Whether this process has met nobody, though it knows addresses of others.
    pub fn is_alone(&self) -> bool {
        self.members.is_empty() && !self.seeds.is_empty()
    }

    /// Whether a peer that sent a digest has not been met since its start.
    pub fn is_newcomer(&self, from: SocketAddr, digest: &PeerDigest) -> bool {
        let known = self.members.get(&from);
        known.is_none_or(|known| known.digest.incarnation != digest.incarnation)
    }

    /// Position of this process among those that share limits, the same for all of them if they know each
    /// other. `key` shuffles the order, so that different limits favour different processes.
    pub fn rank(&self, key: u64) -> usize {
        let own = weight(self.own, key);
        self.members.keys().filter(|address| weight(**address, key) < own).count()
    }

    /// Position of this process among those outside of a data centre, in an order that `key` shuffles.
    pub fn rank_outside(&self, data_centre: NameKey, key: u64) -> usize {
        let own = weight(self.own, key);
        let outside =
            self.members.iter().filter(|(_, member)| member.digest.data_centre != data_centre);
        outside.filter(|(address, _)| weight(**address, key) < own).count()
    }

    /// Whether peers of other data centres are so many that digests reach them in turns, so that what they
    /// tell is older than most requests take.
    pub fn far_in_turns(&self) -> bool {
        self.members.values().filter(|member| !self.is_near(member)).count() > FAR_FANOUT
    }

    /// Addresses to which the next digest goes: peers in turns, those of the own data centre more often, and
    /// addresses that were only heard of.
    pub fn recipients(&mut self, urgent: bool) -> Vec<SocketAddr> {
        let (mut near, mut far) = (Vec::new(), Vec::new());
        for (address, member) in &self.members {
            if self.is_near(member) { near.push(*address) } else { far.push(*address) }
        }
        let known = &self.members;
        let heard_of = self.rumours.keys().chain(&self.seeds);
        let unmet: IndexSet<SocketAddr> = heard_of
            .copied()
            .filter(|address| *address != self.own && !known.contains_key(address))
            .collect();
        let unmet = Vec::from_iter(unmet);
        let near_count = if urgent { URGENT_FANOUT } else { NEAR_FANOUT };
        let mut recipients = in_turn(&near, near_count, &mut self.near_turn);
        recipients.extend(in_turn(&far, FAR_FANOUT, &mut self.far_turn));
        recipients.extend(in_turn(&unmet, UNMET_FANOUT, &mut self.unmet_turn));
        recipients
    }

    /// Processes that were heard of and not written to, for a digest at once.
    pub fn introduce(&mut self) -> Vec<SocketAddr> {
        let unwritten = self.rumours.iter_mut().filter(|(_, rumour)| !rumour.written);
        let note = |(address, rumour): (&SocketAddr, &mut PeerRumour)| {
            rumour.written = true;
            *address
        };
        unwritten.take(UNMET_FANOUT).map(note).collect()
    }

    /// Addresses to name in the next digest, in turns.
    pub fn named(&mut self, most: usize, now: Instant) -> Vec<SocketAddr> {
        let present: Vec<SocketAddr> = self.present(now).map(|(address, _)| *address).collect();
        let count = present.len().min(most);
        self.cursor = if present.is_empty() { 0 } else { (self.cursor + count) % present.len() };
        (0..count).map(|offset| present[(self.cursor + offset) % present.len()]).collect()
    }
}

impl Member {
    fn is_present(&self, limit: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.heard) < limit
    }
}

fn weight(address: SocketAddr, key: u64) -> u64 {
    let mut bytes = [0; 18];
    match address.ip() {
        IpAddr::V4(ip) => bytes[..4].copy_from_slice(&ip.octets()),
        IpAddr::V6(ip) => bytes[..16].copy_from_slice(&ip.octets()),
    }
    bytes[16..].copy_from_slice(&address.port().to_le_bytes());
    xxh3_64_with_seed(&bytes, key)
}

/// The next few of a list, going round at its end.
fn in_turn(addresses: &[SocketAddr], count: usize, turn: &mut usize) -> Vec<SocketAddr> {
    let count = count.min(addresses.len());
    let start = *turn;
    *turn = start.wrapping_add(count);
    (0..count).map(|offset| addresses[start.wrapping_add(offset) % addresses.len()]).collect()
}

//! Peers of this process: found by seeds and by rumour, known by their digests.

mod relays;

use std::{
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    digest::{NameKey, name_key},
    member::relays::RelayTable,
    prelude::*,
    sums::{CentreSum, CentreView, SentHistory},
};

/// Units used by workspaces.
pub type FormerUsage = Vec<UsageSum>;

/// A peer that sends nothing for this long doesn't count as present. Digests come several times a second, so
/// that only a dead or separated peer is silent for so long. Where peers are written to in turns, it is this
/// many turns.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
const SILENT_TURNS: u32 = 3;
/// Time between two digests.
pub const DIGEST_INTERVAL: Duration = Duration::from_millis(200);
/// Peers of the own data centre that one digest goes to.
const NEAR_FANOUT: usize = 12;
/// Digests in which all peers of the own data centre are written to, above which a few processes of it relay sums
/// to the others in place of that. With fewer, sums would be no younger than what each process tells.
const RELAYED_TURNS: u32 = 3;
/// Peers of the own data centre that one digest goes to beside the relays, so that all know of each other.
const RELAYED_FANOUT: usize = 1;
/// Peers of other data centres that one digest goes to, if there are no more of them. All of them hear from each
/// process then. If there are more, they get the sum of the data centre, and one of its processes after the
/// other tells it.
const FAR_FANOUT: usize = 6;
/// Sums of a data centre that each process of another one gets in one digest interval, on the average.
const FAR_SUMS: f64 = 0.7;
/// Least fanout of sums, so that the loss of a datagram doesn't matter.
const LEAST_FAR_FANOUT: usize = 2;
/// Peers of the own data centre that urgent news go to at once.
const URGENT_FANOUT: usize = 40;
/// A silent peer is still written to for this long, and counts when limits are divided: it may be on the other
/// side of a partition and use its part. It is at least three turns in which peers are written to.
const FORGOTTEN: Duration = Duration::from_secs(30);
/// An address that was only heard of is written to for this long.
const RUMOUR: Duration = Duration::from_secs(5);
/// Use of quotas that was told longer ago than this says nothing of the quotas' present windows.
const FORMER: Duration = Duration::from_secs(8);
/// Restarted peers whose former use one digest tells: 2 KB each at most, half of what a reader takes.
const TOLD_FORMER: usize = 4;
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
    /// Whether its use is included in the sums of its data centre, since it was present lately.
    counted: bool,
}

/// What is known of a process that was only heard of.
#[derive(Debug, Clone, Copy)]
struct PeerCandidate {
    /// When a peer last named it.
    heard: Instant,
    /// Whether a digest went to it.
    written: bool,
}

/// Peers that the next digest goes to.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct DigestRecipients {
    /// Those that get the own use.
    pub full: Vec<SocketAddr>,
    /// Those that get it and are asked for the sums of the data centre.
    pub relays: Vec<SocketAddr>,
    /// Those that have asked this process for the sums of the data centre.
    pub subscribers: Vec<SocketAddr>,
    /// Those of other data centres that get the sum of this one.
    pub sums: Vec<SocketAddr>,
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
    /// Position of the first restarted peer whose former use the next digest tells.
    former_turn: usize,
    seeds: Vec<SocketAddr>,
    members: IndexMap<SocketAddr, Member>,
    /// Addresses that peers have named and that were not met.
    rumours: IndexMap<SocketAddr, PeerCandidate>,
    /// What peers that were restarted a short time ago had last told of their use of quotas.
    former: IndexMap<SocketAddr, (Instant, FormerUsage)>,
    /// Sums by data centre, the own one included.
    centres: IndexMap<NameKey, CentreView>,
    /// Peers that don't know their use before their start.
    restarted: IndexSet<SocketAddr>,
    /// Rises when the known peers change, for ranks that are kept.
    generation: u64,
    /// What this process has told of its own use.
    history: SentHistory,
    /// Who relays the sums of the own data centre.
    relays: RelayTable,
    /// Most processes that one of the members has met.
    most_met: usize,
    /// Position of the first member that the next digest names.
    cursor: usize,
}

impl MemberTable {
    /// A table that knows only the seeds.
    pub fn new(own: SocketAddr, data_centre: &str, seeds: &[SocketAddr]) -> MemberTable {
        // Processes that start together go through their peers in about the same order. If they began at the
        // same one, each peer would hear from all of them at once, and then from none for many seconds.
        let turn = weight(own, 0) as usize;
        MemberTable {
            own,
            data_centre: name_key(data_centre),
            near_turn: turn,
            far_turn: turn,
            unmet_turn: 0,
            former_turn: 0,
            seeds: seeds.iter().copied().filter(|seed| *seed != own).collect(),
            members: IndexMap::new(),
            rumours: IndexMap::new(),
            former: IndexMap::new(),
            centres: IndexMap::new(),
            restarted: IndexSet::new(),
            generation: 0,
            history: SentHistory::default(),
            relays: RelayTable::default(),
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
                let rumour = PeerCandidate { heard: now, written: false };
                self.rumours.entry(*address).or_insert(rumour).heard = now;
            }
        }
        self.note_restart(from, &digest, now);
        self.rumours.swap_remove(&from);
        self.most_met = self.most_met.max(digest.met as usize);
        self.count(from, digest, now);
        true
    }

    /// Replaces what a peer has told in the sums of its data centre.
    fn count(&mut self, from: SocketAddr, digest: PeerDigest, now: Instant) {
        let centre = self.centres.entry(digest.data_centre).or_default();
        match self.members.get(&from) {
            Some(known) if known.counted => {
                centre.sums.remove(&known.digest.uses, &known.digest.usage)
            }
            Some(_) => centre.present += 1,
            None => {
                centre.known += 1;
                centre.present += 1;
                self.generation += 1;
            }
        }
        if !self.members.get(&from).is_some_and(|known| known.counted) {
            tracing::info!(peer = %from, vm = &*digest.vm, incarnation = digest.incarnation, "peer is present");
        }
        centre.sums.add(&digest.uses, &digest.usage);
        if let Some(sum) = &digest.centre {
            centre.take_told(sum, self.own, &self.history, now);
        }
        self.relays.hear(from, digest.requests_sums, now);
        if digest.unknown_ms > 0 {
            self.restarted.insert(from);
        } else {
            self.restarted.swap_remove(&from);
        }
        self.members.insert(from, Member { heard: now, digest, counted: true });
    }

    /// Keeps what a peer had used before its restart, for the peer itself.
    fn note_restart(&mut self, from: SocketAddr, digest: &PeerDigest, now: Instant) {
        let Some(known) = self.members.get(&from) else { return };
        let recent = now.saturating_duration_since(known.heard) < FORMER;
        // Where relays hear of each process at once, what others have heard is too old.
        let current = known.digest.requests_sums || !self.is_relayed();
        let told = known.digest.unknown_ms == 0 && known.digest.centre.is_none() && current;
        if known.digest.incarnation != digest.incarnation && told && recent {
            self.former.insert(from, (now, known.digest.usage.clone()));
        }
    }

    /// Use of quotas of some restarted peers before their restart, for the next digest, in turns. Each gets its
    /// own with the answer to its first digest, too.
    pub fn former(&mut self, now: Instant) -> Vec<(SocketAddr, FormerUsage)> {
        let recent = |since: &Instant| now.saturating_duration_since(*since) < RUMOUR;
        self.former.retain(|_, (since, _)| recent(since));
        let addresses: Vec<SocketAddr> = self.former.keys().copied().collect();
        let told = in_turn(&addresses, TOLD_FORMER, &mut self.former_turn);
        told.into_iter().filter_map(|address| self.former_of(address)).collect()
    }

    /// Use of quotas of one restarted peer before its restart.
    pub fn former_of(&self, address: SocketAddr) -> Option<(SocketAddr, FormerUsage)> {
        self.former.get(&address).map(|(_, usage)| (address, usage.clone()))
    }

    /// What a digest says of this process's use of quotas before its restart.
    pub fn own_former<'a>(&self, digest: &'a PeerDigest) -> Option<&'a FormerUsage> {
        let own = digest.former.iter().find(|(address, _)| *address == self.own);
        own.map(|(_, usage)| usage)
    }

    /// Forgets peers that have been silent for long, and notes those that have become silent. Returns whether
    /// the peers that are present have changed.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.rumours.retain(|_, rumour| now.saturating_duration_since(rumour.heard) < RUMOUR);
        let limits = [self.silence_limit(true), self.silence_limit(false)];
        let (own, mut changed) = (self.data_centre, false);
        let hears_all = self.relays.hears_all(now);
        for (address, member) in &mut self.members {
            let near = member.digest.data_centre == own;
            // All of the data centre write to a relay with each digest interval.
            let limit = if near && hears_all { SILENCE_LIMIT } else { limits[usize::from(!near)] };
            if !member.counted || member.is_present(limit, now) {
                continue;
            }
            member.counted = false;
            changed = true;
            if let Some(centre) = self.centres.get_mut(&member.digest.data_centre) {
                centre.sums.remove(&member.digest.uses, &member.digest.usage);
                centre.present -= 1;
            }
            tracing::info!(peer = %address, silent_ms = limit.as_millis() as u64, "peer is silent");
        }
        self.forget(now);
        self.centres.values_mut().for_each(|centre| centre.sums.sweep());
        let met = self.members.values().map(|member| member.digest.met as usize);
        self.most_met = met.max().unwrap_or(0);
        changed
    }

    /// Forgets peers that have been silent for long.
    fn forget(&mut self, now: Instant) {
        let turns = self.silence_limit(true).max(self.silence_limit(false));
        let limit = FORGOTTEN.max(turns);
        let known = self.members.len();
        let (centres, restarted) = (&mut self.centres, &mut self.restarted);
        self.members.retain(|address, member| {
            let keep = member.counted || now.saturating_duration_since(member.heard) < limit;
            if !keep {
                restarted.swap_remove(address);
                if let Some(centre) = centres.get_mut(&member.digest.data_centre) {
                    centre.known -= 1;
                }
            }
            keep
        });
        self.generation += u64::from(self.members.len() != known);
    }

    /// Counts all peers as silent until they are heard again.
    pub fn silence(&mut self, now: Instant) {
        let limit = self.silence_limit(true).max(self.silence_limit(false));
        let Some(silent) = now.checked_sub(limit) else { return };
        for member in self.members.values_mut() {
            member.heard = member.heard.min(silent);
        }
        self.centres.values_mut().for_each(CentreView::forget_told);
        self.expire(now);
    }

    /// Peers that are present, as of the last tick.
    pub fn present(&self) -> impl Iterator<Item = (&SocketAddr, &Member)> {
        self.members.iter().filter(|(_, member)| member.counted)
    }

    /// What is known of each data centre.
    pub fn centres(&self) -> impl Iterator<Item = &CentreView> {
        self.centres.values()
    }

    /// Requests of all peers in flight at a target.
    pub fn in_flight(&self, target: NameKey, now: Instant) -> u32 {
        self.centres().map(|centre| centre.in_flight(target, now)).sum()
    }

    /// For each peer that doesn't know its use before its start: the part of the quotas' window before it.
    pub fn unknown(&self, now: Instant) -> impl Iterator<Item = Duration> {
        let single = self.restarted.iter().filter_map(move |address| {
            let member = self.members.get(address).filter(|member| member.counted)?;
            let centre = self.centres.get(&member.digest.data_centre);
            let told = centre.is_some_and(|centre| centre.told_unknown(now).is_some());
            (!told).then_some(member.digest.unknown_ms)
        });
        let told = self.centres.values().filter_map(move |centre| centre.told_unknown(now));
        let all = single.chain(told.flatten().copied());
        all.map(|unknown_ms| Duration::from_millis(unknown_ms.into()))
    }

    /// Notes what the next digest tells of the own use.
    pub fn note_told(&mut self, sequence: u64, uses: &[TargetUse], usage: &[UsageSum]) {
        self.history.note(sequence, uses, usage);
    }

    /// The sum of the own data centre as a relay has told it, if this process hears of its peers by relays.
    pub fn relayed_sum(&self, now: Instant) -> Option<&CentreSum> {
        if !self.is_relayed() || self.is_relay() {
            return None;
        }
        self.centres.get(&self.data_centre)?.raw_told(now)
    }

    /// Whether so many processes share the data centre that a few of them relay sums.
    pub fn is_relayed(&self) -> bool {
        u32::try_from(self.near_count().div_ceil(NEAR_FANOUT)).unwrap_or(u32::MAX) > RELAYED_TURNS
    }

    /// Whether this process relays the sums of its data centre, since peers ask it to.
    pub fn is_relay(&self) -> bool {
        self.relays.is_relay()
    }

    fn choose_relays(&mut self, now: Instant) {
        self.relays.expire(now);
        if !self.is_relayed() {
            self.relays.clear();
            return;
        }
        let (members, centre) = (&self.members, self.data_centre);
        let near = members.iter().filter(|(_, member)| member.digest.data_centre == centre);
        let processes = near.map(|(address, _)| *address).chain([self.own]);
        let heard = |address: &SocketAddr| members.get(address).map(|member| member.heard);
        self.relays.choose(processes, self.own, centre, heard, now);
    }

    /// The sum over the peers of the own data centre that are present, and over what this process itself tells.
    pub fn own_centre_sum(&self, own: &PeerDigest) -> CentreSum {
        let centre = self.centres.get(&self.data_centre);
        let mut sums = centre.map(|centre| centre.sums.clone()).unwrap_or_default();
        sums.add(&own.uses, &own.usage);
        let mut sum = sums.into_centre_sum();
        let processes = centre.map_or(0, |centre| centre.present) + 1;
        sum.processes = u32::try_from(processes).unwrap_or(u32::MAX);
        let present = self.restarted.iter().filter_map(|address| self.members.get(address));
        let near = present.filter(|member| member.counted && self.is_near(member));
        sum.unknown_ms = near.map(|member| member.digest.unknown_ms).collect();
        sum.unknown_ms.extend((own.unknown_ms > 0).then_some(own.unknown_ms));
        let near = self.present().filter(|(_, member)| self.is_near(member));
        sum.included = near.map(|(address, member)| (*address, member.digest.sequence)).collect();
        sum.included.push((self.own, own.sequence));
        sum
    }

    /// Time by which the use of quotas that peers have told lags behind.
    pub fn lag(&self) -> Duration {
        let near = DIGEST_INTERVAL * if self.is_relayed() { 2 } else { self.turns(true) };
        if self.far_in_turns() { near + DIGEST_INTERVAL.div_f64(FAR_SUMS) } else { near }
    }

    /// Rises when the known peers change.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Whether this process is one of a few of its data centre that read the store for all of it.
    pub fn is_reader(&self, readers: usize) -> bool {
        if self.is_relayed() { self.is_relay() } else { self.near_rank() < readers }
    }

    /// Position of this process among the present ones of its data centre.
    fn near_rank(&self) -> usize {
        let near = self.present().filter(|(_, member)| self.is_near(member));
        near.filter(|(address, _)| **address < self.own).count()
    }

    fn is_near(&self, member: &Member) -> bool {
        member.digest.data_centre == self.data_centre
    }

    /// Time after which a peer of the own data centre, or of another one, counts as silent if it says nothing.
    fn silence_limit(&self, near: bool) -> Duration {
        SILENCE_LIMIT.max(DIGEST_INTERVAL * SILENT_TURNS * self.turns(near))
    }

    /// Digests in which each peer of the own data centre, or each of the others, is written to once.
    fn turns(&self, near: bool) -> u32 {
        let (count, fanout) = if near && self.is_relayed() {
            (self.near_count(), RELAYED_FANOUT)
        } else if near {
            (self.near_count(), NEAR_FANOUT)
        } else {
            (self.far_count(), self.far_fanout())
        };
        u32::try_from(count.div_ceil(fanout).max(1)).unwrap_or(u32::MAX)
    }

    /// Known peers of the own data centre.
    fn near_count(&self) -> usize {
        self.centres.get(&self.data_centre).map_or(0, |centre| centre.known)
    }

    /// Known peers of other data centres.
    fn far_count(&self) -> usize {
        self.members.len() - self.near_count()
    }

    /// Peers of other data centres that one digest goes to. The processes of a data centre together tell its
    /// sum to each of them at the rate of [`FAR_SUMS`].
    fn far_fanout(&self) -> usize {
        if !self.far_in_turns() {
            return FAR_FANOUT;
        }
        let each = self.far_count() as f64 * FAR_SUMS / (self.near_count() + 1) as f64;
        (each.ceil() as usize).max(LEAST_FAR_FANOUT)
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
        self.far_count() > FAR_FANOUT
    }

    /// Addresses to which the next digest goes: peers in turns, those of the own data centre more often, and
    /// addresses that were only heard of.
    pub fn recipients(&mut self, urgent: bool, now: Instant) -> DigestRecipients {
        self.choose_relays(now);
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
        let near_count = match (urgent, self.is_relayed()) {
            (true, _) => URGENT_FANOUT,
            (false, true) => RELAYED_FANOUT,
            (false, false) => NEAR_FANOUT,
        };
        let far_count = self.far_fanout();
        let mut recipients = DigestRecipients {
            full: in_turn(&near, near_count, &mut self.near_turn),
            relays: self.relays.asked(self.own),
            subscribers: self.relays.subscribers(),
            sums: Vec::new(),
        };
        let far = in_turn(&far, far_count, &mut self.far_turn);
        if self.far_in_turns() {
            recipients.sums = far;
        } else {
            recipients.full.extend(far);
        }
        recipients.full.extend(in_turn(&unmet, UNMET_FANOUT, &mut self.unmet_turn));
        recipients
    }

    /// Processes that were heard of and not written to, for a digest at once.
    pub fn take_uncontacted(&mut self) -> Vec<SocketAddr> {
        let unwritten = self.rumours.iter_mut().filter(|(_, rumour)| !rumour.written);
        let note = |(address, rumour): (&SocketAddr, &mut PeerCandidate)| {
            rumour.written = true;
            *address
        };
        unwritten.take(UNMET_FANOUT).map(note).collect()
    }

    /// Addresses to name in the next digest, in turns.
    pub fn named(&mut self, most: usize) -> Vec<SocketAddr> {
        let present: Vec<SocketAddr> = self.present().map(|(address, _)| *address).collect();
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

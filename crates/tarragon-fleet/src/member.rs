//! Peers of this process. They are discovered through seed addresses and through addresses that other peers
//! name, and are known by their digests.

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

/// Quota units that a process had used before its restart, by workspace.
pub type FormerUsage = Vec<UsageSum>;

/// Time without a digest after which a peer no longer counts as present. Digests arrive several times a
/// second, so only a dead or disconnected peer is silent for so long. Where digests go to peers in rotation,
/// the limit is three rounds if that is longer.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
const SILENT_ROUNDS: u32 = 3;
/// Interval between digests.
pub const DIGEST_INTERVAL: Duration = Duration::from_millis(200);
/// Number of peers of the own data centre that one digest goes to.
const NEAR_FANOUT: usize = 12;
/// Number of digests that a full round over the own data centre takes, above which a few of its processes
/// relay sums to the others instead. With fewer, relayed sums would be no fresher than the digests of each
/// process.
const MAX_UNRELAYED_ROUNDS: u32 = 3;
/// Number of peers of the own data centre that one digest goes to in addition to the relays, so that all
/// processes know of each other.
const RELAYED_FANOUT: usize = 1;
/// Number of peers of other data centres that one digest goes to. If there are no more of them, each gets a
/// digest from every process. If there are more, they get the sum over the data centre, from its processes in
/// rotation.
const FAR_FANOUT: usize = 6;
/// Average number of sums of a data centre that each process of another one gets per digest interval.
const FAR_SUMS_PER_INTERVAL: f64 = 0.7;
/// Least number of recipients of a sum, so that the loss of a datagram doesn't matter.
const MIN_FAR_FANOUT: usize = 2;
/// Number of peers of the own data centre that an urgent digest goes to.
const URGENT_FANOUT: usize = 40;
/// Time for which a silent peer still gets digests and counts when limits are divided: it may be on the other
/// side of a network partition and use its share. It is at least three rounds of the rotation in which peers
/// get digests.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Time for which digests go to an address that peers name but that sends none itself.
const CANDIDATE_LIFETIME: Duration = Duration::from_secs(5);
/// Age above which a restarted peer's reported quota usage says nothing about the current quota windows.
const FORMER_USAGE_LIFETIME: Duration = Duration::from_secs(8);
/// Most restarted peers whose former usage one digest reports: at most 2 KB each, together half of what a
/// receiver reads.
const MAX_FORMER_USAGES: usize = 4;
/// Most addresses not heard from yet that one digest goes to. With this, all processes of a fleet of 73 hear
/// from each other within a second.
const UNMET_FANOUT: usize = 24;
/// Most peer addresses that one digest names.
pub const MAX_NAMED_ADDRESSES: usize = 16;
/// Most peer addresses that the answer to a first digest names. It is more because the receiver knows few.
pub const MAX_ANSWER_ADDRESSES: usize = 64;

/// One peer.
#[derive(Debug)]
pub struct Member {
    /// When its last digest arrived.
    pub heard: Instant,
    /// Its last digest.
    pub digest: PeerDigest,
    /// Whether it counts as present, so that its usage is included in the sums of its data centre.
    counted: bool,
}

/// A process whose address was named by peers, but that has sent no digest yet.
#[derive(Debug, Clone, Copy)]
struct PeerCandidate {
    /// When a peer last named it.
    heard: Instant,
    /// Whether a digest has been sent to it.
    contacted: bool,
}

/// Recipients of the next digest.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct DigestRecipients {
    /// Peers that get this process's own usage.
    pub full: Vec<SocketAddr>,
    /// Peers that get it, with the request to relay the sums of the data centre.
    pub relays: Vec<SocketAddr>,
    /// Peers that have requested the sums of the data centre from this process.
    pub subscribers: Vec<SocketAddr>,
    /// Peers of other data centres that get the sum of this one.
    pub sums: Vec<SocketAddr>,
}

/// All known peers.
#[derive(Debug)]
pub struct MemberTable {
    own: SocketAddr,
    /// Data centre of this process.
    data_centre: NameKey,
    /// Rotation positions of the next recipients: in the own data centre, in others, and not heard from yet.
    near_position: usize,
    far_position: usize,
    unmet_position: usize,
    /// Rotation position of the next restarted peer whose former usage a digest reports.
    former_position: usize,
    seeds: Vec<SocketAddr>,
    members: IndexMap<SocketAddr, Member>,
    /// Addresses that peers have named and that have sent no digest yet.
    candidates: IndexMap<SocketAddr, PeerCandidate>,
    /// Quota usage that recently restarted peers had last reported before their restart.
    former_usage: IndexMap<SocketAddr, (Instant, FormerUsage)>,
    /// Sums of each data centre, the own one included.
    centres: IndexMap<NameKey, CentreView>,
    /// Present or silent peers that don't know their quota usage before their start.
    restarted: IndexSet<SocketAddr>,
    /// Increases when the set of known peers changes, which invalidates cached ranks.
    generation: u64,
    /// Increases when the set of present peers changes, which invalidates the cached owners of slots.
    presence: u64,
    /// Own usage that recent digests of this process reported.
    history: SentHistory,
    /// Relays of the sums of the own data centre.
    relays: RelayTable,
    /// Largest number of processes that any peer has heard from.
    most_met: usize,
    /// Rotation position of the first peer that the next digest names.
    named_position: usize,
}

impl MemberTable {
    /// Creates a table that knows only the seed addresses.
    pub fn new(own: SocketAddr, data_centre: &str, seeds: &[SocketAddr]) -> MemberTable {
        // Processes that start together go through their peers in about the same order. If they all began at
        // the same peer, each peer would get digests from all of them at once, and then none for many
        // seconds.
        let position = weight(own, 0) as usize;
        MemberTable {
            own,
            data_centre: name_key(data_centre),
            near_position: position,
            far_position: position,
            unmet_position: 0,
            former_position: 0,
            seeds: seeds.iter().copied().filter(|seed| *seed != own).collect(),
            members: IndexMap::new(),
            candidates: IndexMap::new(),
            former_usage: IndexMap::new(),
            centres: IndexMap::new(),
            restarted: IndexSet::new(),
            generation: 0,
            presence: 0,
            history: SentHistory::default(),
            relays: RelayTable::default(),
            most_met: 0,
            named_position: 0,
        }
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().filter(|seed| *seed != self.own).collect();
    }

    /// Applies a digest. Returns false, without a change, if it is not newer than the last one from its sender.
    pub fn apply_digest(&mut self, from: SocketAddr, digest: PeerDigest, now: Instant) -> bool {
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
                let candidate = PeerCandidate { heard: now, contacted: false };
                self.candidates.entry(*address).or_insert(candidate).heard = now;
            }
        }
        self.keep_former_usage(from, &digest, now);
        self.candidates.swap_remove(&from);
        self.most_met = self.most_met.max(digest.met as usize);
        self.update_sums(from, digest, now);
        true
    }

    /// Replaces a peer's last digest, also in the sums of its data centre.
    fn update_sums(&mut self, from: SocketAddr, digest: PeerDigest, now: Instant) {
        if self.members.get(&from).is_some_and(|one| one.digest.data_centre != digest.data_centre) {
            self.remove_member(from);
        }
        let centre = self.centres.entry(digest.data_centre).or_default();
        match self.members.get(&from) {
            Some(known) if known.counted => {
                centre.sums.remove(&known.digest.target_uses, &known.digest.quota_usage)
            }
            Some(_) => centre.present += 1,
            None => {
                centre.known += 1;
                centre.present += 1;
                self.generation += 1;
            }
        }
        if !self.members.get(&from).is_some_and(|known| known.counted) {
            self.presence += 1;
            tracing::info!(peer = %from, vm = &*digest.vm, incarnation = digest.incarnation, "peer is present");
        }
        centre.sums.add(&digest.target_uses, &digest.quota_usage);
        if let Some(sum) = &digest.centre_sum {
            centre.apply_reported_sum(sum, self.own, &self.history, now);
        }
        self.relays.record_digest(from, digest.requests_sums, now);
        if digest.unknown_usage_ms > 0 {
            self.restarted.insert(from);
        } else {
            self.restarted.swap_remove(&from);
        }
        self.members.insert(from, Member { heard: now, digest, counted: true });
    }

    /// Removes a peer, also from the sums of its data centre. Its address may have passed to a process of
    /// another one.
    fn remove_member(&mut self, address: SocketAddr) {
        let Some(member) = self.members.swap_remove(&address) else { return };
        self.presence += 1;
        if let Some(centre) = self.centres.get_mut(&member.digest.data_centre) {
            centre.known -= 1;
            if member.counted {
                centre.sums.remove(&member.digest.target_uses, &member.digest.quota_usage);
                centre.present -= 1;
            }
        }
    }

    /// If a peer has restarted, keeps the quota usage that it had reported before, to be sent back to it.
    fn keep_former_usage(&mut self, from: SocketAddr, digest: &PeerDigest, now: Instant) {
        let Some(known) = self.members.get(&from) else { return };
        let recent = now.saturating_duration_since(known.heard) < FORMER_USAGE_LIFETIME;
        // Where processes report to relays, only relays have recent reports; those of other processes are too
        // old.
        let current = known.digest.requests_sums || !self.is_relayed();
        let complete =
            known.digest.unknown_usage_ms == 0 && known.digest.centre_sum.is_none() && current;
        if known.digest.incarnation != digest.incarnation && complete && recent {
            self.former_usage.insert(from, (now, known.digest.quota_usage.clone()));
        }
    }

    /// Former quota usage of the next few restarted peers, for the next digest. Digests go through these
    /// peers in rotation. Each also gets its own former usage with the answer to its first digest.
    pub fn next_former_usage(&mut self, now: Instant) -> Vec<(SocketAddr, FormerUsage)> {
        let recent = |since: &Instant| now.saturating_duration_since(*since) < CANDIDATE_LIFETIME;
        self.former_usage.retain(|_, (since, _)| recent(since));
        let addresses: Vec<SocketAddr> = self.former_usage.keys().copied().collect();
        let next = next_in_rotation(&addresses, MAX_FORMER_USAGES, &mut self.former_position);
        next.into_iter().filter_map(|address| self.former_usage_of(address)).collect()
    }

    /// Quota usage of one restarted peer before its restart.
    pub fn former_usage_of(&self, address: SocketAddr) -> Option<(SocketAddr, FormerUsage)> {
        self.former_usage.get(&address).map(|(_, usage)| (address, usage.clone()))
    }

    /// Quota usage of this process before its restart, if a digest reports it.
    pub fn own_former_usage<'a>(&self, digest: &'a PeerDigest) -> Option<&'a FormerUsage> {
        let own = digest.former_usage.iter().find(|(address, _)| *address == self.own);
        own.map(|(_, usage)| usage)
    }

    /// Marks peers that have become silent, and removes those that have been silent for long. Returns whether
    /// any peer has become silent.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.candidates
            .retain(|_, one| now.saturating_duration_since(one.heard) < CANDIDATE_LIFETIME);
        let limits = [self.silence_limit(true), self.silence_limit(false)];
        let (own, mut changed) = (self.data_centre, false);
        let reported_by_all = self.relays.reported_by_all(now);
        for (address, member) in &mut self.members {
            let near = member.digest.data_centre == own;
            // A relay gets a digest from all processes of its data centre in each interval.
            let limit =
                if near && reported_by_all { SILENCE_LIMIT } else { limits[usize::from(!near)] };
            if !member.counted || member.is_present(limit, now) {
                continue;
            }
            member.counted = false;
            changed = true;
            if let Some(centre) = self.centres.get_mut(&member.digest.data_centre) {
                centre.sums.remove(&member.digest.target_uses, &member.digest.quota_usage);
                centre.present -= 1;
            }
            tracing::info!(peer = %address, silent_ms = limit.as_millis() as u64, "peer is silent");
        }
        self.presence += u64::from(changed);
        self.forget(now);
        self.centres.values_mut().for_each(|centre| centre.sums.remove_unused());
        let met = self.members.values().map(|member| member.digest.met as usize);
        self.most_met = met.max().unwrap_or(0);
        changed
    }

    /// Removes peers that have been silent for long.
    fn forget(&mut self, now: Instant) {
        let longest_limit = self.silence_limit(true).max(self.silence_limit(false));
        let limit = FORGET_AFTER.max(longest_limit);
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

    /// Treats all peers as silent until their next digest.
    pub fn mark_all_silent(&mut self, now: Instant) {
        let limit = self.silence_limit(true).max(self.silence_limit(false));
        let Some(silent) = now.checked_sub(limit) else { return };
        for member in self.members.values_mut() {
            member.heard = member.heard.min(silent);
        }
        self.centres.values_mut().for_each(CentreView::clear_reported_sum);
        self.expire(now);
    }

    /// Peers that were present at the last tick.
    pub fn present(&self) -> impl Iterator<Item = (&SocketAddr, &Member)> {
        self.members.iter().filter(|(_, member)| member.counted)
    }

    /// What is known of each data centre.
    pub fn centres(&self) -> impl Iterator<Item = &CentreView> {
        self.centres.values()
    }

    /// Requests of all peers in flight at a target.
    pub fn in_flight(&self, target: NameKey, now: Instant) -> u32 {
        let each = self.centres().map(|centre| centre.in_flight(target, now));
        each.fold(0, u32::saturating_add)
    }

    /// For each peer that doesn't know its usage before its start: the span of the quota window before the
    /// start.
    pub fn unknown_spans(&self, now: Instant) -> impl Iterator<Item = Duration> {
        let single = self.restarted.iter().filter_map(move |address| {
            let member = self.members.get(address).filter(|member| member.counted)?;
            let centre = self.centres.get(&member.digest.data_centre);
            let reported =
                centre.is_some_and(|centre| centre.reported_unknown_spans(now).is_some());
            (!reported).then_some(member.digest.unknown_usage_ms)
        });
        let reported =
            self.centres.values().filter_map(move |centre| centre.reported_unknown_spans(now));
        let all = single.chain(reported.flatten().copied());
        all.map(|unknown_ms| Duration::from_millis(unknown_ms.into()))
    }

    /// Records the own usage that the next digest reports.
    pub fn record_sent(
        &mut self,
        sequence: u64,
        target_uses: &[TargetUse],
        quota_usage: &[UsageSum],
    ) {
        self.history.record(sequence, target_uses, quota_usage);
    }

    /// The sum of the own data centre as last reported by a relay, if this process depends on relays.
    pub fn relayed_sum(&self, now: Instant) -> Option<&CentreSum> {
        if !self.is_relayed() || self.is_relay() {
            return None;
        }
        self.centres.get(&self.data_centre)?.raw_reported_sum(now)
    }

    /// Whether the own data centre is so large that a few of its processes relay sums.
    pub fn is_relayed(&self) -> bool {
        u32::try_from(self.near_count().div_ceil(NEAR_FANOUT)).unwrap_or(u32::MAX)
            > MAX_UNRELAYED_ROUNDS
    }

    /// Whether this process relays the sums of its data centre at the request of peers.
    pub fn is_relay(&self) -> bool {
        self.relays.is_relay()
    }

    /// Updates the relays that this process depends on.
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

    /// The sum over the present peers of the own data centre and this process, whose usage the digest `own`
    /// reports.
    pub fn own_centre_sum(&self, own: &PeerDigest) -> CentreSum {
        let centre = self.centres.get(&self.data_centre);
        let mut sums = centre.map(|centre| centre.sums.clone()).unwrap_or_default();
        sums.add(&own.target_uses, &own.quota_usage);
        let mut sum = sums.into_centre_sum();
        let processes = centre.map_or(0, |centre| centre.present) + 1;
        sum.processes = u32::try_from(processes).unwrap_or(u32::MAX);
        let present = self.restarted.iter().filter_map(|address| self.members.get(address));
        let near = present.filter(|member| member.counted && self.is_near(member));
        sum.unknown_usage_ms = near.map(|member| member.digest.unknown_usage_ms).collect();
        sum.unknown_usage_ms.extend((own.unknown_usage_ms > 0).then_some(own.unknown_usage_ms));
        let near = self.present().filter(|(_, member)| self.is_near(member));
        sum.included = near.map(|(address, member)| (*address, member.digest.sequence)).collect();
        sum.included.push((self.own, own.sequence));
        sum
    }

    /// Time by which the quota usage reported by peers lags behind.
    pub fn lag(&self) -> Duration {
        let near =
            DIGEST_INTERVAL * if self.is_relayed() { 2 } else { self.digests_per_round(true) };
        if self.rotates_far_peers() {
            near + DIGEST_INTERVAL.div_f64(FAR_SUMS_PER_INTERVAL)
        } else {
            near
        }
    }

    /// Increases when the set of known peers changes.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Whether this process is one of the `readers` processes that read the store on behalf of its data centre.
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

    /// Time without a digest after which a peer of the own data centre (`near`) or of another one counts as
    /// silent.
    fn silence_limit(&self, near: bool) -> Duration {
        SILENCE_LIMIT.max(DIGEST_INTERVAL * SILENT_ROUNDS * self.digests_per_round(near))
    }

    /// Number of digests in a full round of the rotation over the peers of the own data centre (`near`) or of
    /// others.
    fn digests_per_round(&self, near: bool) -> u32 {
        let (count, fanout) = if near && self.is_relayed() {
            (self.near_count(), RELAYED_FANOUT)
        } else if near {
            (self.near_count(), NEAR_FANOUT)
        } else {
            (self.far_count(), self.far_fanout())
        };
        u32::try_from(count.div_ceil(fanout).max(1)).unwrap_or(u32::MAX)
    }

    /// Number of known peers in the own data centre.
    fn near_count(&self) -> usize {
        self.centres.get(&self.data_centre).map_or(0, |centre| centre.known)
    }

    /// Number of known peers in other data centres.
    fn far_count(&self) -> usize {
        self.members.len() - self.near_count()
    }

    /// Number of peers of other data centres that one digest goes to. Together, the processes of a data
    /// centre send its sum to each of them at the rate of [`FAR_SUMS_PER_INTERVAL`].
    fn far_fanout(&self) -> usize {
        if !self.rotates_far_peers() {
            return FAR_FANOUT;
        }
        let each = self.far_count() as f64 * FAR_SUMS_PER_INTERVAL / (self.near_count() + 1) as f64;
        (each.ceil() as usize).max(MIN_FAR_FANOUT)
    }

    /// All known peers, present or silent.
    pub fn iter(&self) -> impl Iterator<Item = (&SocketAddr, &Member)> {
        self.members.iter()
    }

    /// Number of processes that this one has got digests from, itself included.
    pub fn met(&self) -> usize {
        self.members.len() + 1
    }

    /// Number of processes that share limits with this one, itself included. Peers may have heard from some
    /// that this one has not heard from yet.
    pub fn sharing(&self) -> usize {
        self.met().max(self.most_met)
    }

    /// Whether this process has heard from no peer, though it has seed addresses.
    pub fn is_alone(&self) -> bool {
        self.members.is_empty() && !self.seeds.is_empty()
    }

    /// Whether a digest is the first one of its sender since the sender's start.
    pub fn is_newcomer(&self, from: SocketAddr, digest: &PeerDigest) -> bool {
        let known = self.members.get(&from);
        known.is_none_or(|known| known.digest.incarnation != digest.incarnation)
    }

    /// Position of this process in an order of those that share limits. Processes with the same known peers
    /// agree on the order. It depends on `key`, so that different limits favour different processes.
    pub fn rank(&self, key: u64) -> usize {
        let own = weight(self.own, key);
        self.members.keys().filter(|address| weight(**address, key) < own).count()
    }

    /// The first few present peers in an order that depends on `key`. Processes that know the same peers agree
    /// on it.
    pub fn ranked(&self, key: u64, most: usize) -> Vec<SocketAddr> {
        let mut peers: Vec<(u64, SocketAddr)> =
            self.present().map(|(address, _)| (weight(*address, key), *address)).collect();
        if peers.len() > most {
            peers.select_nth_unstable(most);
            peers.truncate(most);
        }
        peers.sort_unstable();
        peers.into_iter().map(|(_, address)| address).collect()
    }

    /// Whether at least half of the known peers are present.
    pub fn hears_most(&self) -> bool {
        2 * self.present().count() >= self.members.len() && !self.is_alone()
    }

    /// Increases when the set of present peers changes.
    pub fn presence(&self) -> u64 {
        self.presence
    }

    /// Number of present processes of a data centre, this one included.
    pub fn present_in(&self, data_centre: NameKey) -> usize {
        let own = usize::from(data_centre == self.data_centre);
        own + self.centres.get(&data_centre).map_or(0, |centre| centre.present)
    }

    /// Position of this process among the present ones of its data centre, in an order that depends on `key`.
    pub fn rank_within(&self, key: u64) -> usize {
        let own = weight(self.own, key);
        let near = self.present().filter(|(_, member)| self.is_near(member));
        near.filter(|(address, _)| weight(**address, key) < own).count()
    }

    /// Whether the own data centre has so many peers that digests go to them in rotation.
    pub fn rotates_near_peers(&self) -> bool {
        self.near_count() > NEAR_FANOUT
    }

    /// Whether this process has heard from all processes that its peers have heard from.
    pub fn has_met_all(&self) -> bool {
        self.met() >= self.most_met
    }

    /// Addresses of the present peers of the own data centre (`near`) or of others, beginning at a rotating position.
    pub fn present_from(&self, near: bool, position: usize) -> Vec<&SocketAddr> {
        let peers = self.present().filter(|(_, member)| self.is_near(member) == near);
        let mut peers = Vec::from_iter(peers.map(|(address, _)| address));
        let count = peers.len();
        if count > 0 {
            peers.rotate_left(position % count);
        }
        peers
    }

    /// A present peer.
    pub fn present_member(&self, address: &SocketAddr) -> Option<&Member> {
        self.members.get(address).filter(|member| member.counted)
    }

    /// Position of this process among those outside a data centre, in an order that depends on `key`.
    pub fn rank_outside(&self, data_centre: NameKey, key: u64) -> usize {
        let own = weight(self.own, key);
        let outside =
            self.members.iter().filter(|(_, member)| member.digest.data_centre != data_centre);
        outside.filter(|(address, _)| weight(**address, key) < own).count()
    }

    /// Whether other data centres have so many peers that digests go to them in rotation, so that reported
    /// usage is older than the duration of most requests.
    pub fn rotates_far_peers(&self) -> bool {
        self.far_count() > FAR_FANOUT
    }

    /// Addresses to send the next digest to: the next peers in rotation, those of the own data centre more
    /// often, and addresses that have sent no digest yet.
    pub fn recipients(&mut self, urgent: bool, now: Instant) -> DigestRecipients {
        self.choose_relays(now);
        let (mut near, mut far) = (Vec::new(), Vec::new());
        for (address, member) in &self.members {
            if self.is_near(member) { near.push(*address) } else { far.push(*address) }
        }
        let known = &self.members;
        let named = self.candidates.keys().chain(&self.seeds);
        let unmet: IndexSet<SocketAddr> = named
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
            full: next_in_rotation(&near, near_count, &mut self.near_position),
            relays: self.relays.chosen(self.own),
            subscribers: self.relays.subscribers(),
            sums: Vec::new(),
        };
        let far = next_in_rotation(&far, far_count, &mut self.far_position);
        if self.rotates_far_peers() {
            recipients.sums = far;
        } else {
            recipients.full.extend(far);
        }
        recipients.full.extend(next_in_rotation(&unmet, UNMET_FANOUT, &mut self.unmet_position));
        recipients
    }

    /// Returns named addresses that no digest has been sent to yet, and marks them as contacted.
    pub fn take_uncontacted(&mut self) -> Vec<SocketAddr> {
        let uncontacted = self.candidates.iter_mut().filter(|(_, candidate)| !candidate.contacted);
        let mark = |(address, candidate): (&SocketAddr, &mut PeerCandidate)| {
            candidate.contacted = true;
            *address
        };
        uncontacted.take(UNMET_FANOUT).map(mark).collect()
    }

    /// At most `most` addresses of present peers to name in the next digest, in rotation.
    pub fn next_named(&mut self, most: usize) -> Vec<SocketAddr> {
        let present: Vec<SocketAddr> = self.present().map(|(address, _)| *address).collect();
        let count = present.len().min(most);
        self.named_position =
            if present.is_empty() { 0 } else { (self.named_position + count) % present.len() };
        (0..count).map(|offset| present[(self.named_position + offset) % present.len()]).collect()
    }
}

impl Member {
    fn is_present(&self, limit: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.heard) < limit
    }
}

/// Pseudo-random weight of a process in the order for `key`.
fn weight(address: SocketAddr, key: u64) -> u64 {
    let mut bytes = [0; 18];
    match address.ip() {
        IpAddr::V4(ip) => bytes[..4].copy_from_slice(&ip.octets()),
        IpAddr::V6(ip) => bytes[..16].copy_from_slice(&ip.octets()),
    }
    bytes[16..].copy_from_slice(&address.port().to_le_bytes());
    xxh3_64_with_seed(&bytes, key)
}

/// The next `count` addresses of a list from `position` on, wrapping around at its end.
fn next_in_rotation(
    addresses: &[SocketAddr],
    count: usize,
    position: &mut usize,
) -> Vec<SocketAddr> {
    let count = count.min(addresses.len());
    let start = *position;
    *position = start.wrapping_add(count);
    (0..count).map(|offset| addresses[start.wrapping_add(offset) % addresses.len()]).collect()
}

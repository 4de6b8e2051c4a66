//! Members: the VMs that are listed or heard of, and when each was heard last.
//!
//! Heartbeats are followed for the own data centre, where slots, readers and polls depend on them. 920
//! heartbeats a second would exceed the bound for control messages, so a VM of another data centre counts
//! as usable while it is listed or heard of and no call to it has failed lately.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::Serialize;
use tarragon_protocol::peer::MemberEntry;

use crate::{prelude::*, vm_list::VmListState};

/// Silence after which a member is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(3);

/// Silence after which a member is down.
pub const DOWN_AFTER: Duration = Duration::from_secs(10);

/// Silence after which an unlisted VM is dropped. Longer than [`DOWN_AFTER`] several times over: if it were
/// dropped earlier, an old entry of a peer that still counts it as up would look like a new VM.
const DROP_AFTER: Duration = Duration::from_secs(60);

/// Member entries in one digest.
pub const DIGEST_MEMBERS: usize = 32;

/// Time for which a member is avoided after a failed call.
const AVOID_AFTER_FAILURE: Duration = Duration::from_secs(5);

/// Whether a member is heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberStatus {
    /// Heard lately.
    Up,
    /// Silent for [`SUSPECT_AFTER`].
    Suspect,
    /// Silent for [`DOWN_AFTER`].
    Down,
}

/// One VM other than this one.
#[derive(Debug, Clone)]
pub struct Member {
    /// Name.
    pub vm: VmName,
    /// Process heard last; nothing before the first.
    pub incarnation: Option<Incarnation>,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Peer address; empty if it is not known yet.
    pub address: String,
    /// State in the VM list, if it is there.
    pub listed: Option<VmState>,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Waiting requests by tier in its last digest.
    pub waiting: [u32; Tier::COUNT],
    heartbeat: u64,
    /// Heartbeat of the last digest that the member sent to this process itself.
    direct_heartbeat: u64,
    heard: Instant,
    failed: Option<Instant>,
    retired: Option<Incarnation>,
    forgotten: bool,
}

impl Member {
    /// Whether the member is heard at this time.
    pub fn status(&self, now: Instant) -> MemberStatus {
        let silence = self.silence(now);
        if silence >= DOWN_AFTER {
            MemberStatus::Down
        } else if silence >= SUSPECT_AFTER {
            MemberStatus::Suspect
        } else {
            MemberStatus::Up
        }
    }

    /// Time since the member was heard.
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard)
    }

    /// The process, if one was heard.
    pub fn identity(&self) -> Option<PeerIdentity> {
        self.incarnation.map(|incarnation| PeerIdentity { vm: self.vm.clone(), incarnation })
    }

    /// Where it is called.
    pub fn peer_address(&self) -> PeerAddress {
        PeerAddress { vm: self.vm.clone(), address: self.address.clone() }
    }

    /// Whether it can be called and no call has failed lately.
    pub fn is_reachable(&self, now: Instant) -> bool {
        let failed = self.failed.is_some_and(|at| now - at < AVOID_AFTER_FAILURE);
        !self.address.is_empty() && !failed
    }

    /// Whether it may be given new work: not leaving, not draining.
    pub fn stays(&self) -> bool {
        !self.draining && self.listed != Some(VmState::Leaving)
    }
}

/// What a heartbeat showed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// Newer than the last one.
    Newer,
    /// Not newer, or of an earlier process.
    Stale,
    /// A new process runs on the VM; the given one is gone.
    Replaced(PeerIdentity),
}

/// All VMs other than this one.
#[derive(Debug)]
pub struct MemberTable {
    own: VmName,
    data_centre: DataCentreName,
    members: IndexMap<VmName, Member>,
    last_heard: Option<Instant>,
}

impl MemberTable {
    /// A table that knows nobody.
    pub fn new(own: VmName, data_centre: DataCentreName) -> MemberTable {
        MemberTable { own, data_centre, members: IndexMap::new(), last_heard: None }
    }

    /// Takes over a VM list. VMs that are listed for the first time count as heard now, so that a new
    /// process does not take over the roles of members that it has had no time to hear.
    pub fn apply_list(&mut self, list: &VmListState, now: Instant) {
        for member in self.members.values_mut() {
            member.listed = list.get(&member.vm).map(|vm| vm.state);
        }
        for vm in list.vms().filter(|vm| vm.vm != self.own) {
            let member = self
                .members
                .entry(vm.vm.clone())
                .or_insert_with(|| new_member(&vm.vm, &vm.data_centre, now));
            member.listed = Some(vm.state);
            member.address = vm.peer_address.clone();
            member.data_centre = vm.data_centre.clone();
        }
    }

    /// Takes the heartbeat of a digest's sender.
    pub fn heard_directly(&mut self, digest: &GossipDigest, now: Instant) -> HeartbeatOutcome {
        if digest.sender.vm == self.own {
            return HeartbeatOutcome::Stale;
        }
        self.last_heard = Some(now);
        let PeerIdentity { vm, incarnation } = &digest.sender;
        let member = self
            .members
            .entry(vm.clone())
            .or_insert_with(|| new_member(vm, &digest.data_centre, now));
        if member.listed.is_none() || member.address.is_empty() {
            member.address = digest.peer_address.clone();
            member.data_centre = digest.data_centre.clone();
        }
        let late = member.retired == Some(*incarnation) && member.status(now) != MemberStatus::Down;
        if late {
            return HeartbeatOutcome::Stale;
        }
        let same = member.incarnation == Some(*incarnation);
        if same && digest.heartbeat <= member.direct_heartbeat {
            return HeartbeatOutcome::Stale;
        }
        let outcome = member.beat(*incarnation, digest.heartbeat, now);
        member.direct_heartbeat = digest.heartbeat;
        member.draining = digest.draining;
        member.waiting = digest.waiting;
        member.failed = None;
        match outcome {
            // A third VM's entry was faster than the digest itself, which has more to tell.
            HeartbeatOutcome::Stale => HeartbeatOutcome::Newer,
            outcome => outcome,
        }
    }

    /// Takes what a peer has heard of a third VM of its data centre. A different process is believed only
    /// when the known one is down: the peer may be the one that is behind.
    pub fn heard_of(
        &mut self,
        entry: &MemberEntry,
        data_centre: &DataCentreName,
        now: Instant,
    ) -> HeartbeatOutcome {
        let PeerIdentity { vm, incarnation } = &entry.peer;
        if *vm == self.own {
            return HeartbeatOutcome::Stale;
        }
        let member =
            self.members.entry(vm.clone()).or_insert_with(|| new_member(vm, data_centre, now));
        if let (true, Some(address)) = (member.address.is_empty(), &entry.address) {
            member.address = address.clone();
        }
        let other = member.incarnation.is_some_and(|known| known != *incarnation);
        if other && member.status(now) != MemberStatus::Down {
            return HeartbeatOutcome::Stale;
        }
        if other && member.retired == Some(*incarnation) {
            return HeartbeatOutcome::Stale;
        }
        member.beat(*incarnation, entry.heartbeat, now)
    }

    /// Notes that a process starts to shut down.
    pub fn mark_draining(&mut self, peer: &PeerIdentity) {
        if let Some(member) = self.members.get_mut(&peer.vm)
            && member.incarnation == Some(peer.incarnation)
        {
            member.draining = true;
        }
    }

    /// Notes that a call to an address failed.
    pub fn mark_failed(&mut self, address: &PeerAddress, now: Instant) {
        for member in self.members.values_mut().filter(|m| m.address == address.address) {
            member.failed = Some(now);
        }
    }

    /// Treats every member as just heard, after a pause of this process.
    pub fn refresh_all(&mut self, now: Instant) {
        for member in self.members.values_mut() {
            member.heard = now;
        }
        self.last_heard = None;
    }

    /// Processes that went down since the last call, once each. VMs that are neither listed nor heard for
    /// [`DROP_AFTER`] are dropped.
    pub fn sweep(&mut self, now: Instant) -> Vec<PeerIdentity> {
        let mut down = Vec::new();
        let own_data_centre = self.data_centre.clone();
        self.members.retain(|_, member| {
            let silent = member.status(now) == MemberStatus::Down;
            let followed = member.data_centre == own_data_centre;
            if silent && (followed || member.listed.is_none()) && !member.forgotten {
                member.forgotten = true;
                down.extend(member.identity());
            }
            member.listed.is_some() || now.saturating_duration_since(member.heard) < DROP_AFTER
        });
        down
    }

    /// When a digest of any peer arrived last.
    pub fn last_heard(&self) -> Option<Instant> {
        self.last_heard
    }

    /// One member.
    pub fn get(&self, vm: &str) -> Option<&Member> {
        self.members.get(vm)
    }

    /// All members.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Members of the own data centre.
    pub fn local(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.data_centre == self.data_centre)
    }

    /// Members of other data centres.
    pub fn remote(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.data_centre != self.data_centre)
    }

    /// VMs that share the slots of the data centre's targets, this one included: all that are listed or
    /// were heard within [`DOWN_AFTER`]. Sorted.
    pub fn slot_view(&self, now: Instant) -> Vec<VmName> {
        self.view(|member| member.listed.is_some() || member.status(now) != MemberStatus::Down)
    }

    /// VMs of the data centre that are not down, this one included. Sorted.
    pub fn up_view(&self, now: Instant) -> Vec<VmName> {
        self.view(|member| member.status(now) != MemberStatus::Down)
    }

    fn view<Condition>(&self, condition: Condition) -> Vec<VmName>
    where
        Condition: Fn(&Member) -> bool,
    {
        let mut view: Vec<VmName> = self
            .local()
            .filter(|member| condition(member))
            .map(|member| member.vm.clone())
            .chain([self.own.clone()])
            .collect();
        view.sort();
        view
    }

    /// Entries for a digest: members of the data centre that are not down, the last changed first.
    pub fn entries(&self, now: Instant) -> Vec<MemberEntry> {
        let mut members: Vec<&Member> = self
            .local()
            .filter(|m| m.incarnation.is_some() && m.status(now) != MemberStatus::Down)
            .collect();
        members.sort_by_key(|member| std::cmp::Reverse(member.heard));
        members.truncate(DIGEST_MEMBERS);
        let entry = |member: &Member| {
            let address = member.listed.is_none().then(|| member.address.clone());
            let heartbeat = member.heartbeat;
            member.identity().map(|peer| MemberEntry { peer, heartbeat, address })
        };
        members.into_iter().filter_map(entry).collect()
    }
}

impl Member {
    fn beat(&mut self, incarnation: Incarnation, heartbeat: u64, now: Instant) -> HeartbeatOutcome {
        let known = self.incarnation.replace(incarnation);
        if known == Some(incarnation) && heartbeat <= self.heartbeat {
            return HeartbeatOutcome::Stale;
        }
        self.heartbeat = heartbeat;
        self.heard = now;
        self.forgotten = false;
        match known {
            Some(before) if before != incarnation => {
                self.retired = Some(before);
                self.direct_heartbeat = 0;
                self.draining = false;
                let vm = self.vm.clone();
                HeartbeatOutcome::Replaced(PeerIdentity { vm, incarnation: before })
            }
            _ => HeartbeatOutcome::Newer,
        }
    }
}

fn new_member(vm: &VmName, data_centre: &DataCentreName, now: Instant) -> Member {
    Member {
        vm: vm.clone(),
        incarnation: None,
        data_centre: data_centre.clone(),
        address: String::new(),
        listed: None,
        draining: false,
        waiting: [0; Tier::COUNT],
        heartbeat: 0,
        direct_heartbeat: 0,
        heard: now,
        failed: None,
        retired: None,
        forgotten: false,
    }
}

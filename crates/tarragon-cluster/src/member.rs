//! Membership: the VMs that are in the VM list or were seen in digests, with the time of their last
//! heartbeat.
//!
//! Heartbeats are tracked only within the own data centre, where slots, platform readers and polls depend
//! on them: 920 heartbeats a second would exceed the bound for control messages. A VM of another data
//! centre counts as usable while it is known and no call to it has failed recently.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::Serialize;
use tarragon_protocol::peer::MemberEntry;

use crate::{prelude::*, vm_list::VmListState};

/// Time without a heartbeat after which a member is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(3);

/// Time without a heartbeat after which a member is down.
pub const DOWN_AFTER: Duration = Duration::from_secs(10);

/// Time without a heartbeat after which an unlisted VM is dropped. Several times [`DOWN_AFTER`]: after an
/// earlier drop, an old entry from a peer that still counts the VM as up would look like a new VM.
const DROP_UNLISTED_AFTER: Duration = Duration::from_secs(60);

/// Greatest number of member entries in one digest.
pub const MAX_DIGEST_MEMBERS: usize = 32;

/// Time for which a member is avoided after a failed call.
const AVOID_AFTER_FAILURE: Duration = Duration::from_secs(5);

/// Liveness of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberStatus {
    /// Had a heartbeat recently.
    Up,
    /// No heartbeat for [`SUSPECT_AFTER`].
    Suspect,
    /// No heartbeat for [`DOWN_AFTER`].
    Down,
}

/// One VM other than this one.
#[derive(Debug, Clone)]
pub struct Member {
    /// Name.
    pub vm: VmName,
    /// Process of the last heartbeat; `None` before the first one.
    pub incarnation: Option<Incarnation>,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Peer address; empty if it is not known yet.
    pub address: String,
    /// State in the VM list; `None` if the VM is not listed.
    pub listed: Option<VmState>,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Waiting requests by tier, from its last digest.
    pub waiting: [u32; Tier::COUNT],
    heartbeat: u64,
    /// Heartbeat of the last digest that this process got from the member itself.
    last_direct_heartbeat: u64,
    last_heard: Instant,
    last_call_failure: Option<Instant>,
    replaced_incarnation: Option<Incarnation>,
    reported_down: bool,
}

impl Member {
    /// Liveness at this time.
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

    /// Time since the last heartbeat.
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_heard)
    }

    /// The process, if a heartbeat of one is known.
    pub fn identity(&self) -> Option<PeerIdentity> {
        self.incarnation.map(|incarnation| PeerIdentity { vm: self.vm.clone(), incarnation })
    }

    /// Name and address for calls to it.
    pub fn peer_address(&self) -> PeerAddress {
        PeerAddress { vm: self.vm.clone(), address: self.address.clone() }
    }

    /// Whether its address is known and no call to it has failed recently.
    pub fn is_reachable(&self, now: Instant) -> bool {
        let last_call_failure =
            self.last_call_failure.is_some_and(|at| now - at < AVOID_AFTER_FAILURE);
        !self.address.is_empty() && !last_call_failure
    }

    /// Whether it may get new requests: it is neither leaving nor draining.
    pub fn accepts_work(&self) -> bool {
        !self.draining && self.listed != Some(VmState::Leaving)
    }
}

/// Result of applying a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// It is newer than the last one.
    Newer,
    /// It is not newer, or belongs to an earlier process.
    Stale,
    /// A new process runs on the VM; this earlier one is gone.
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
    /// Creates a table without members.
    pub fn new(own: VmName, data_centre: DataCentreName) -> MemberTable {
        MemberTable { own, data_centre, members: IndexMap::new(), last_heard: None }
    }

    /// Applies a VM list. VMs that are listed for the first time count as seen now, so that a new process
    /// does not take over the roles of members whose first heartbeat has not had time to arrive.
    pub fn apply_list(&mut self, list: &VmListState, now: Instant) {
        for member in self.members.values_mut() {
            member.listed = list.get(&member.vm).map(|vm| vm.state);
        }
        for vm in list.vms().filter(|vm| vm.vm != self.own) {
            let member = self
                .members
                .entry(vm.vm.clone())
                .or_insert_with(|| unheard_member(&vm.vm, &vm.data_centre, now));
            member.listed = Some(vm.state);
            member.address = vm.peer_address.clone();
            member.data_centre = vm.data_centre.clone();
        }
    }

    /// Applies the heartbeat and state of a digest's sender.
    pub fn apply_direct_heartbeat(
        &mut self,
        digest: &GossipDigest,
        now: Instant,
    ) -> HeartbeatOutcome {
        if digest.sender.vm == self.own {
            return HeartbeatOutcome::Stale;
        }
        self.last_heard = Some(now);
        let PeerIdentity { vm, incarnation } = &digest.sender;
        let member = self
            .members
            .entry(vm.clone())
            .or_insert_with(|| unheard_member(vm, &digest.data_centre, now));
        if member.listed.is_none() || member.address.is_empty() {
            member.address = digest.peer_address.clone();
            member.data_centre = digest.data_centre.clone();
        }
        let late = member.replaced_incarnation == Some(*incarnation)
            && member.status(now) != MemberStatus::Down;
        if late {
            return HeartbeatOutcome::Stale;
        }
        let same = member.incarnation == Some(*incarnation);
        if same && digest.heartbeat <= member.last_direct_heartbeat {
            return HeartbeatOutcome::Stale;
        }
        let outcome = member.apply_heartbeat(*incarnation, digest.heartbeat, now);
        member.last_direct_heartbeat = digest.heartbeat;
        member.draining = digest.draining;
        member.waiting = digest.waiting;
        member.last_call_failure = None;
        match outcome {
            // A third VM's entry with this heartbeat arrived first, but only the digest has the rest of
            // the state.
            HeartbeatOutcome::Stale => HeartbeatOutcome::Newer,
            outcome => outcome,
        }
    }

    /// Applies a peer's entry about a third VM of its data centre. An entry about another process than
    /// the known one is accepted only when the known one is down: the peer's knowledge may be the older
    /// one.
    pub fn apply_relayed_heartbeat(
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
            self.members.entry(vm.clone()).or_insert_with(|| unheard_member(vm, data_centre, now));
        if let (true, Some(address)) = (member.address.is_empty(), &entry.address) {
            member.address = address.clone();
        }
        let other = member.incarnation.is_some_and(|known| known != *incarnation);
        if other && member.status(now) != MemberStatus::Down {
            return HeartbeatOutcome::Stale;
        }
        if other && member.replaced_incarnation == Some(*incarnation) {
            return HeartbeatOutcome::Stale;
        }
        member.apply_heartbeat(*incarnation, entry.heartbeat, now)
    }

    /// Records that a process starts to shut down.
    pub fn mark_draining(&mut self, peer: &PeerIdentity) {
        if let Some(member) = self.members.get_mut(&peer.vm)
            && member.incarnation == Some(peer.incarnation)
        {
            member.draining = true;
        }
    }

    /// Records that a call to an address failed.
    pub fn record_call_failure(&mut self, address: &PeerAddress, now: Instant) {
        for member in self.members.values_mut().filter(|m| m.address == address.address) {
            member.last_call_failure = Some(now);
        }
    }

    /// Treats every member as just seen, after a pause of this process.
    pub fn mark_all_heard(&mut self, now: Instant) {
        for member in self.members.values_mut() {
            member.last_heard = now;
        }
        self.last_heard = None;
    }

    /// Returns the processes that went down since the last call, each once. Drops unlisted VMs that had
    /// no heartbeat for [`DROP_UNLISTED_AFTER`].
    pub fn take_newly_down(&mut self, now: Instant) -> Vec<PeerIdentity> {
        let mut down = Vec::new();
        let own_data_centre = self.data_centre.clone();
        self.members.retain(|_, member| {
            let silent = member.status(now) == MemberStatus::Down;
            let followed = member.data_centre == own_data_centre;
            if silent && (followed || member.listed.is_none()) && !member.reported_down {
                member.reported_down = true;
                down.extend(member.identity());
            }
            member.listed.is_some()
                || now.saturating_duration_since(member.last_heard) < DROP_UNLISTED_AFTER
        });
        down
    }

    /// Time of the last digest from any peer.
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
    /// had a heartbeat within [`DOWN_AFTER`]. Sorted.
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

    /// Entries for a digest: members of the data centre that are not down, the latest heartbeat first.
    pub fn entries(&self, now: Instant) -> Vec<MemberEntry> {
        let mut members: Vec<&Member> = self
            .local()
            .filter(|m| m.incarnation.is_some() && m.status(now) != MemberStatus::Down)
            .collect();
        members.sort_by_key(|member| std::cmp::Reverse(member.last_heard));
        members.truncate(MAX_DIGEST_MEMBERS);
        let entry = |member: &Member| {
            let address = member.listed.is_none().then(|| member.address.clone());
            let heartbeat = member.heartbeat;
            member.identity().map(|peer| MemberEntry { peer, heartbeat, address })
        };
        members.into_iter().filter_map(entry).collect()
    }
}

impl Member {
    fn apply_heartbeat(
        &mut self,
        incarnation: Incarnation,
        heartbeat: u64,
        now: Instant,
    ) -> HeartbeatOutcome {
        let known = self.incarnation.replace(incarnation);
        if known == Some(incarnation) && heartbeat <= self.heartbeat {
            return HeartbeatOutcome::Stale;
        }
        self.heartbeat = heartbeat;
        self.last_heard = now;
        self.reported_down = false;
        match known {
            Some(before) if before != incarnation => {
                self.replaced_incarnation = Some(before);
                self.last_direct_heartbeat = 0;
                self.draining = false;
                let vm = self.vm.clone();
                HeartbeatOutcome::Replaced(PeerIdentity { vm, incarnation: before })
            }
            _ => HeartbeatOutcome::Newer,
        }
    }
}

fn unheard_member(vm: &VmName, data_centre: &DataCentreName, now: Instant) -> Member {
    Member {
        vm: vm.clone(),
        incarnation: None,
        data_centre: data_centre.clone(),
        address: String::new(),
        listed: None,
        draining: false,
        waiting: [0; Tier::COUNT],
        heartbeat: 0,
        last_direct_heartbeat: 0,
        last_heard: now,
        last_call_failure: None,
        replaced_incarnation: None,
        reported_down: false,
    }
}

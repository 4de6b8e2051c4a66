//! Readiness, relay targets, targets in service, slots and their loans, and orders after load reports.

use super::*;
use crate::{
    digest::ReportOutcome,
    event::RelayTarget,
    fence::fencing_number,
    member::{Member, MemberStatus},
    rendezvous,
};
use rand::seq::IndexedRandom;

/// Greatest number of VMs in a list of relay targets.
const MAX_RELAY_PEERS: usize = 8;

/// Time after a refusal before another slot of the same target is requested.
const BORROW_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which an unanswered borrow request counts as lost.
const BORROW_TIMEOUT: Duration = Duration::from_secs(2);

/// Greatest number of borrow requests that may be unanswered at a time.
const MAX_PENDING_BORROWS: usize = 16;

impl Cluster {
    /// Reports changes of readiness, relay target and targets.
    pub(super) fn update_service(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        let in_service = self.data_centre_in_service(&self.settings.data_centre.clone());
        if in_service && !self.in_service {
            self.loads.forget_reports();
        }
        self.in_service = in_service;
        self.startup_checks_done = self.startup_checks_done || self.startup_checks_pass(now);
        let ready = self.startup_checks_done && self.accepts_new_work();
        if ready != self.reported_state.ready {
            self.reported_state.ready = ready;
            actions.push(ClusterAction::ReadyChanged(ready));
        }
        self.update_targets(actions);
        let relay = self.relay_target(now);
        if relay != self.reported_state.relay {
            self.reported_state.relay = relay.clone();
            actions.push(ClusterAction::RelayChanged(relay));
        }
    }

    fn accepts_new_work(&self) -> bool {
        self.in_service && !self.draining && !self.is_leaving()
    }

    fn data_centre_in_service(&self, data_centre: &DataCentreName) -> bool {
        let current = self.publication.current();
        let rule = current.and_then(|current| current.rules.data_centres.get(data_centre));
        rule.is_none_or(|rule| rule.in_service)
    }

    fn is_leaving(&self) -> bool {
        let own = self.vm_list.get(&self.settings.identity.vm);
        own.is_some_and(|vm| vm.state == VmState::Leaving)
    }

    /// Whether a new process has asked the configuration service and a peer, and may use its slots.
    fn startup_checks_pass(&self, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.started) >= PEER_ANSWER_TIMEOUT;
        let alone = self.vm_list.version() > 0
            && self.members.iter().next().is_none()
            && self.settings.seeds.iter().all(|seed| *seed == self.settings.peer_address);
        let asked = self.reader.manifest_attempted() && (self.peer_checked || alone || waited);
        let settled = waited || self.slots.is_settled(now);
        let done = asked && settled && self.publication.current().is_some();
        if done && !self.peer_checked && !alone {
            tracing::warn!("no peer has answered; serving with the present configuration");
        }
        done
    }

    fn update_targets(&mut self, actions: &mut Vec<ClusterAction>) {
        let open = self.accepts_new_work();
        let state = |target: PublishedTarget| {
            let in_service = open && !self.loads.is_leaving(&target.target);
            (target, in_service)
        };
        let targets: Vec<(PublishedTarget, bool)> =
            self.own_targets().into_iter().map(state).collect();
        if targets != self.reported_state.targets {
            self.reported_state.targets = targets.clone();
            actions.push(ClusterAction::TargetsChanged(targets));
        }
    }

    fn relay_target(&self, now: Instant) -> Option<RelayTarget> {
        if !self.in_service {
            return Some(RelayTarget { peers: self.remote_peers(now) });
        }
        if !self.draining && !self.is_leaving() {
            return None;
        }
        let mut peers = self.local_peers(now);
        if peers.is_empty() {
            peers = self.remote_peers(now);
        }
        Some(RelayTarget { peers })
    }

    /// VMs of other data centres that can serve, the preferred first. Also used for requests for which
    /// this data centre has no target.
    pub fn remote_peers(&self, now: Instant) -> Vec<PeerAddress> {
        let usable = self.members.remote().filter(|member| {
            member.accepts_work()
                && member.is_reachable(now)
                && self.data_centre_in_service(&member.data_centre)
        });
        self.rank_peers(usable)
    }

    /// VMs of this data centre that can serve, the preferred first.
    fn local_peers(&self, now: Instant) -> Vec<PeerAddress> {
        let usable = self.members.local().filter(|member| {
            member.accepts_work()
                && member.is_reachable(now)
                && member.status(now) == MemberStatus::Up
        });
        self.rank_peers(usable)
    }

    /// Ranks members by a hash with the own name, so that different VMs prefer different peers.
    fn rank_peers<'a, Members>(&self, members: Members) -> Vec<PeerAddress>
    where
        Members: Iterator<Item = &'a Member>,
    {
        let peers: Vec<PeerAddress> = members.map(Member::peer_address).collect();
        let ranked = rendezvous::ranked(&self.settings.identity.vm, &peers, |peer| &peer.vm);
        ranked.into_iter().take(MAX_RELAY_PEERS).cloned().collect()
    }

    /// The process that gets the ticket records at shutdown. The first choice is kept, so that a repeated
    /// handover reaches the same process.
    pub fn handover_successor(&mut self, now: Instant) -> Option<PeerAddress> {
        if self.successor.is_none() {
            let local = self.local_peers(now).into_iter().next();
            self.successor = local.or_else(|| self.remote_peers(now).into_iter().next());
        }
        self.successor.clone()
    }

    /// Records that the chosen successor has refused the records and holds none of them, so that another
    /// one may be chosen. Must not be called after a failed call: its message may have arrived.
    pub fn handover_refused(&mut self, peer: &PeerAddress, now: Instant) {
        self.members.record_call_failure(peer, now);
        self.successor.take_if(|successor| successor == peer);
    }

    pub(super) fn update_slots(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        let targets = self.slots.targets();
        self.update_some_slots(now, targets, actions);
    }

    pub(super) fn update_some_slots(
        &mut self,
        now: Instant,
        targets: Vec<TargetName>,
        actions: &mut Vec<ClusterAction>,
    ) {
        for target in targets {
            let capacity = self.loads.capacity(&target, now);
            let share = self.slots.update(&target, capacity, now);
            actions.extend(share.map(ClusterAction::SlotsChanged));
        }
    }

    /// Lends a slot to a peer if one is idle. `in_use` is the number of requests of this process at the
    /// target.
    pub fn grant_slot(
        &mut self,
        now: Instant,
        borrower: &PeerIdentity,
        target: &TargetName,
        in_use: u32,
        actions: &mut Vec<ClusterAction>,
    ) -> Option<SlotGrant> {
        let member = self.members.get(&borrower.vm)?;
        let known = member.incarnation == Some(borrower.incarnation)
            && member.data_centre == self.settings.data_centre
            && member.status(now) != MemberStatus::Down;
        if !known || !self.in_service {
            return None;
        }
        self.update_some_slots(now, vec![target.clone()], actions);
        let grant = self.slots.lend(borrower, target, in_use, now)?;
        self.update_some_slots(now, vec![target.clone()], actions);
        Some(grant)
    }

    /// Handles the return of a lent slot. A repeated return changes nothing.
    pub fn accept_return(&mut self, now: Instant, grant: u64, actions: &mut Vec<ClusterAction>) {
        let target = self.slots.reclaim(grant);
        self.update_some_slots(now, target.into_iter().collect(), actions);
    }

    pub(super) fn request_slot(
        &mut self,
        now: Instant,
        target: TargetName,
        actions: &mut Vec<ClusterAction>,
    ) {
        let asked = &mut self.borrows.asked;
        asked.retain(|_, (_, at)| now.saturating_duration_since(*at) < BORROW_TIMEOUT);
        let settled = self.slots.is_settled(now);
        if !settled || asked.contains_key(&target) || asked.len() >= MAX_PENDING_BORROWS {
            return;
        }
        let capacity = self.loads.capacity(&target, now).capacity;
        let holders: Vec<&Member> = self
            .slots
            .holders(&target, capacity)
            .iter()
            .filter_map(|vm| self.members.get(vm))
            .filter(|member| member.status(now) == MemberStatus::Up && member.is_reachable(now))
            .collect();
        if let Some(holder) = holders.choose(&mut self.random) {
            let peer = holder.peer_address();
            self.borrows.asked.insert(target.clone(), (peer.clone(), now));
            actions.push(ClusterAction::BorrowSlot(peer, target));
        }
    }

    pub(super) fn handle_borrow_answer(
        &mut self,
        now: Instant,
        peer: PeerAddress,
        target: TargetName,
        grant: Option<SlotGrant>,
        actions: &mut Vec<ClusterAction>,
    ) {
        let expected = self.borrows.asked.get(&target).is_some_and(|(lender, _)| *lender == peer);
        let Some(grant) = grant else {
            if expected {
                let wait = BORROW_TIMEOUT - BORROW_RETRY_INTERVAL;
                let asked = now.checked_sub(wait).unwrap_or(now);
                self.borrows.asked.insert(target, (peer, asked));
            }
            return;
        };
        if expected {
            self.borrows.asked.swap_remove(&target);
        }
        let usable = expected && grant.target == target;
        if usable && self.slots.add_borrowed(peer.clone(), grant.clone()) {
            self.update_some_slots(now, vec![target], actions);
        } else {
            actions.push(ClusterAction::ReturnSlot(peer, grant));
        }
    }

    pub(super) fn return_slot(
        &mut self,
        now: Instant,
        target: &TargetName,
        actions: &mut Vec<ClusterAction>,
    ) {
        if let Some((lender, grant)) = self.slots.remove_borrowed(target) {
            actions.push(ClusterAction::ReturnSlot(lender, grant));
            self.update_some_slots(now, vec![target.clone()], actions);
        }
    }

    pub(super) fn handle_poll(
        &mut self,
        now: Instant,
        target: &TargetName,
        report: Option<LoadReport>,
        actions: &mut Vec<ClusterAction>,
    ) {
        let (outcome, entry) = self.loads.record_poll(target, report.as_ref(), now);
        if let Some(entry) = entry {
            if outcome == ReportOutcome::TurnedCold {
                self.announce(now, PeerAnnouncement::Load(entry.clone()), actions);
            }
            actions.push(ClusterAction::LoadUpdated(entry));
            self.update_some_slots(now, vec![target.clone()], actions);
        }
        if let Some(report) = report {
            self.send_order(now, target, &report, actions);
        }
    }

    fn send_order(
        &mut self,
        now: Instant,
        target: &TargetName,
        report: &LoadReport,
        actions: &mut Vec<ClusterAction>,
    ) {
        let own = self.vm_list.get(&self.settings.identity.vm);
        let Some(generation) = own.map(|vm| vm.generation) else { return };
        let fencing = fencing_number(self.publication.version(), generation);
        let published = self.loads.published(target).cloned();
        if self.owners.is_owner(target, now)
            && let Some(order) = self.orders.order_after_read(target, report, fencing, now)
        {
            let send = |published| ClusterAction::SendOrder(published, order);
            actions.extend(published.map(send));
        }
    }

    pub(super) fn suspect_target(
        &mut self,
        now: Instant,
        target: &TargetName,
        actions: &mut Vec<ClusterAction>,
    ) {
        let poll = self.loads.poll_now(target, now);
        actions.extend(poll.map(ClusterAction::PollTarget));
        if let Some(entry) = self.loads.suspect_cold(target, now) {
            self.announce(now, PeerAnnouncement::Load(entry), actions);
            self.update_some_slots(now, vec![target.clone()], actions);
        }
    }
}

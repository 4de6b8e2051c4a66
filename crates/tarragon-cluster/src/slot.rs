//! Slots: how many requests this process may have in flight at each target, so that all processes of the
//! data centre together stay within the target's capacity.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::Serialize;

use crate::{
    invariant::{Invariant, check_invariant},
    prelude::*,
    rendezvous,
};

/// Time after a change of the view (the VMs that share the slots) before newly gained slots are used.
/// Other processes see the change earlier or later by less than this.
pub const SETTLING_TIME: Duration = Duration::from_secs(5);

/// Lifetime of a grant: the longest deadline (600 s) and a minute. No request runs longer, so a slot that
/// has not been returned by then is free: its return was lost.
const GRANT_LIFETIME: Duration = Duration::from_secs(660);

/// Greatest time that a grant, or a digest sent before the grant arrived, is in transit.
const GRANT_TRANSIT_TIME: Duration = Duration::from_secs(10);

/// Time within which the borrower must use a slot.
const USE_WITHIN: Duration = Duration::from_secs(2);

/// What the slots of a target depend on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetCapacity {
    /// Number of concurrent requests that the target can run, from all processes together.
    pub capacity: u32,
    /// Whether it counts as cold.
    pub cold: bool,
}

/// A slot lent to a peer.
#[derive(Debug, Clone)]
struct LentSlot {
    borrower: PeerIdentity,
    target: TargetName,
    since: Instant,
}

/// A slot lent by a peer.
#[derive(Debug, Clone)]
struct BorrowedSlot {
    lender: PeerAddress,
    grant: SlotGrant,
}

/// This process's position among the VMs of one view, which determines its share of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ViewPosition {
    /// VMs that share the slots.
    vms: u32,
    /// Number of VMs that rank above this one.
    rank: u32,
}

impl ViewPosition {
    fn share(self, capacity: u32) -> u32 {
        capacity / self.vms + u32::from(self.rank < capacity % self.vms)
    }
}

/// Greatest number of different positions that are kept since the last settled view. If there are more,
/// the target gets no slots until the view has settled.
const MAX_POSITIONS: usize = 8;

/// Slots at one target.
#[derive(Debug, Clone)]
struct TargetSlots {
    /// Position in the present view.
    position: ViewPosition,
    /// Positions in the last settled view and all views since. No other process can use the slots of the
    /// smallest of the resulting shares. Empty if no view has settled.
    positions: Vec<ViewPosition>,
    /// Number of slots that this process and its borrowers may use.
    usable: u32,
    /// Value of `usable` when the restriction began.
    before_restriction: u32,
    lent: u32,
    borrowed: Vec<BorrowedSlot>,
    reported: Option<SlotShare>,
}

/// State of the slots in the admin dump.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SlotDump {
    /// VMs that share the slots.
    pub view: Vec<VmName>,
    /// Whether slots gained by the last change of the view may not be used yet.
    pub settling: bool,
    /// Slots lent to peers.
    pub lent: usize,
    /// Slots borrowed from peers.
    pub borrowed: usize,
}

/// Slots of this process at all targets of the data centre.
#[derive(Debug)]
pub struct SlotTable {
    own: VmName,
    settling: Duration,
    view: Vec<VmName>,
    settled_at: Instant,
    restricted: bool,
    targets: IndexMap<TargetName, TargetSlots>,
    lent: IndexMap<u64, LentSlot>,
    next_grant: u64,
}

impl SlotTable {
    /// Creates the table of a new process, whose view has not settled. The settling time is
    /// [`SETTLING_TIME`] in production.
    ///
    /// `first_grant` differs from process to process, so that a late return of a slot that an earlier
    /// process on this VM lent does not free a slot of this one.
    pub fn new(own: VmName, settling: Duration, first_grant: u32, now: Instant) -> SlotTable {
        SlotTable {
            view: Vec::new(),
            own,
            settling,
            settled_at: now + settling,
            restricted: false,
            targets: IndexMap::new(),
            lent: IndexMap::new(),
            next_grant: first_grant.into(),
        }
    }

    /// Replaces the list of targets.
    pub fn set_targets<'a, Names>(&mut self, names: Names)
    where
        Names: IntoIterator<Item = &'a TargetName>,
    {
        let mut before = std::mem::take(&mut self.targets);
        for name in names {
            let position = position_in(&self.view, &self.own, name);
            let slots = before.swap_remove(name).unwrap_or_else(|| TargetSlots::new(position));
            self.targets.insert(name.clone(), slots);
        }
        self.lent.retain(|_, lent| self.targets.contains_key(&lent.target));
    }

    /// Replaces the sorted list of VMs that share the slots. A change starts the settling time. Returns
    /// whether the list has changed.
    pub fn set_view(&mut self, view: Vec<VmName>, now: Instant) -> bool {
        if view == self.view {
            return false;
        }
        let settled = self.is_settled(now);
        for (name, slots) in &mut self.targets {
            if settled {
                slots.positions = vec![slots.position];
            }
            slots.position = position_in(&view, &self.own, name);
            slots.record_position();
        }
        self.view = view;
        self.settled_at = now + self.settling;
        true
    }

    /// Restarts the settling time, after a pause.
    pub fn restart_settling(&mut self, now: Instant) {
        self.settled_at = now + self.settling;
    }

    /// Sets whether this process is restricted to slots that it held before, and to none at cold targets:
    /// while it is isolated, or has just been paused.
    pub fn set_restricted(&mut self, restricted: bool, now: Instant) {
        if restricted && !self.restricted {
            for slots in self.targets.values_mut() {
                slots.before_restriction = slots.usable;
            }
        }
        if self.restricted && !restricted {
            self.restart_settling(now);
        }
        self.restricted = restricted;
    }

    /// Whether all slots of the present view may be used.
    pub fn is_settled(&self, now: Instant) -> bool {
        !self.restricted && now >= self.settled_at
    }

    /// Recomputes the slots of a target. Returns them if they have changed.
    pub fn update(
        &mut self,
        target: &TargetName,
        target_capacity: TargetCapacity,
        now: Instant,
    ) -> Option<SlotShare> {
        let settled = self.is_settled(now);
        let restricted = self.restricted;
        let slots = self.targets.get_mut(target)?;
        if settled && slots.positions != [slots.position] {
            slots.positions = vec![slots.position];
        }
        let TargetCapacity { capacity, cold } = target_capacity;
        slots.usable =
            slots.positions.iter().map(|position| position.share(capacity)).min().unwrap_or(0);
        if restricted {
            let limit = if cold { 0 } else { slots.before_restriction };
            slots.usable = slots.usable.min(limit);
        }
        slots.report(target, target_capacity)
    }

    /// Lends a slot if one is idle. `in_use` is the number of requests of this process at the target.
    pub fn lend(
        &mut self,
        borrower: &PeerIdentity,
        target: &TargetName,
        in_use: u32,
        now: Instant,
    ) -> Option<SlotGrant> {
        let slots = self.targets.get_mut(target)?;
        // When a target turns cold, fewer slots remain than were lent, so a borrower could not rely on a
        // slot lent there.
        let cold = slots.reported.as_ref().is_some_and(|share| share.cold);
        if cold || self.restricted || slots.usable <= slots.lent + in_use {
            return None;
        }
        slots.lent += 1;
        self.next_grant += 1;
        let grant = self.next_grant;
        let lent = LentSlot { borrower: borrower.clone(), target: target.clone(), since: now };
        self.lent.insert(grant, lent);
        let use_within_ms = USE_WITHIN.as_millis() as u64;
        Some(SlotGrant { grant, target: target.clone(), use_within_ms })
    }

    /// Frees a lent slot and returns its target. Does nothing if the slot has been freed before.
    pub fn reclaim(&mut self, grant: u64) -> Option<TargetName> {
        let lent = self.lent.swap_remove(&grant)?;
        if let Some(slots) = self.targets.get_mut(&lent.target) {
            slots.lent = slots.lent.saturating_sub(1);
        }
        Some(lent.target)
    }

    /// Reclaims the slots lent to a process that is gone.
    pub fn reclaim_from(&mut self, borrower: &PeerIdentity) -> Vec<TargetName> {
        self.reclaim_if(|lent| lent.borrower == *borrower)
    }

    /// Reclaims the slots that are missing in the borrower's list `held`, since the grant or its return
    /// was lost. Keeps recent grants, which may still be in transit.
    pub fn reclaim_unheld(
        &mut self,
        borrower: &PeerIdentity,
        held: &[u64],
        now: Instant,
    ) -> Vec<TargetName> {
        let unheld = |grant: u64, lent: &LentSlot| {
            lent.borrower == *borrower
                && !held.contains(&grant)
                && now.saturating_duration_since(lent.since) >= GRANT_TRANSIT_TIME
        };
        let lent = self.lent.iter().filter(|(grant, lent)| unheld(**grant, lent));
        let grants: Vec<u64> = lent.map(|(grant, _)| *grant).collect();
        grants.into_iter().filter_map(|grant| self.reclaim(grant)).collect()
    }

    /// Numbers of the grants that this process has from a lender.
    pub fn borrowed_from(&self, lender: &PeerAddress) -> Vec<u64> {
        let borrowed = self.targets.values().flat_map(|slots| &slots.borrowed);
        let from = borrowed.filter(|borrowed| borrowed.lender.address == lender.address);
        from.map(|borrowed| borrowed.grant.grant).collect()
    }

    /// Reclaims the slots whose grants have reached [`GRANT_LIFETIME`]: their return was lost.
    pub fn reclaim_expired(&mut self, now: Instant) -> Vec<TargetName> {
        self.reclaim_if(|lent| now.saturating_duration_since(lent.since) >= GRANT_LIFETIME)
    }

    fn reclaim_if<Condition>(&mut self, condition: Condition) -> Vec<TargetName>
    where
        Condition: Fn(&LentSlot) -> bool,
    {
        let matching = self.lent.iter().filter(|(_, lent)| condition(lent));
        let grants: Vec<u64> = matching.map(|(grant, _)| *grant).collect();
        grants.into_iter().filter_map(|grant| self.reclaim(grant)).collect()
    }

    /// Adds a borrowed slot. Returns false if the target is not listed; the grant must then be returned.
    pub fn add_borrowed(&mut self, lender: PeerAddress, grant: SlotGrant) -> bool {
        let Some(slots) = self.targets.get_mut(&grant.target) else { return false };
        slots.borrowed.push(BorrowedSlot { lender, grant });
        true
    }

    /// Removes a borrowed slot, to be returned to its lender.
    pub fn remove_borrowed(&mut self, target: &TargetName) -> Option<(PeerAddress, SlotGrant)> {
        let borrowed = self.targets.get_mut(target)?.borrowed.pop()?;
        Some((borrowed.lender, borrowed.grant))
    }

    /// Removes the borrowed slots whose lenders match, to be returned to them.
    pub fn remove_borrowed_from<Condition>(
        &mut self,
        condition: Condition,
    ) -> Vec<(PeerAddress, SlotGrant)>
    where
        Condition: Fn(&PeerAddress) -> bool,
    {
        let mut removed = Vec::new();
        for slots in self.targets.values_mut() {
            let matching = slots.borrowed.extract_if(.., |borrowed| condition(&borrowed.lender));
            removed.extend(matching.map(|borrowed| (borrowed.lender, borrowed.grant)));
        }
        removed
    }

    /// Number of VMs that share the slots.
    pub fn vms(&self) -> usize {
        self.view.len()
    }

    /// Names of all targets.
    pub fn targets(&self) -> Vec<TargetName> {
        self.targets.keys().cloned().collect()
    }

    /// Other VMs that have a share in a target, the one with the most slots first.
    pub fn holders(&self, target: &TargetName, capacity: u32) -> Vec<VmName> {
        let ranked = rendezvous::ranked(target, &self.view, |vm| vm);
        let holders = ranked.into_iter().take(capacity as usize);
        holders.filter(|vm| **vm != self.own).cloned().collect()
    }

    /// State of the slots in the admin dump.
    pub fn dump(&self, now: Instant) -> SlotDump {
        SlotDump {
            view: self.view.clone(),
            settling: !self.is_settled(now),
            lent: self.lent.len(),
            borrowed: self.targets.values().map(|slots| slots.borrowed.len()).sum(),
        }
    }
}

impl TargetSlots {
    fn new(position: ViewPosition) -> TargetSlots {
        TargetSlots {
            position,
            positions: Vec::new(),
            usable: 0,
            before_restriction: 0,
            lent: 0,
            borrowed: Vec::new(),
            reported: None,
        }
    }

    /// Adds the position in a new view.
    fn record_position(&mut self) {
        if self.positions.is_empty() || self.positions.contains(&self.position) {
            return;
        }
        if self.positions.len() == MAX_POSITIONS {
            self.positions.clear();
            return;
        }
        self.positions.push(self.position);
    }

    /// Returns the slots that the scheduler may use, if they differ from the last reported ones. If the
    /// share has shrunk below the lent slots, these stay with their borrowers and this process has none
    /// of its own.
    fn report(
        &mut self,
        target: &TargetName,
        target_capacity: TargetCapacity,
    ) -> Option<SlotShare> {
        let share = self.position.share(target_capacity.capacity);
        let own = self.usable.saturating_sub(self.lent);
        check_invariant(Invariant::SlotsWithinShare, own == 0 || own + self.lent <= share, || {
            format!("{own} own and {} lent of {share} slots at {target}", self.lent)
        });
        let TargetCapacity { capacity, cold } = target_capacity;
        // The lender's share of a target that has turned cold may not cover what it has lent.
        let borrowed = if cold { 0 } else { self.borrowed.len() as u32 };
        let slots = own + borrowed;
        let share = SlotShare { target: target.clone(), slots, capacity, cold };
        if self.reported.as_ref() == Some(&share) {
            return None;
        }
        self.reported = Some(share.clone());
        Some(share)
    }
}

fn position_in(view: &[VmName], own: &VmName, target: &TargetName) -> ViewPosition {
    let rank = rendezvous::rank(target, own, view.iter().map(|vm| &**vm)) as u32;
    ViewPosition { vms: view.len().max(1) as u32, rank }
}

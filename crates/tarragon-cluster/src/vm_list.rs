//! The platform's VM list: its highest version seen, and the changes since recent versions for peers.

use std::collections::VecDeque;

use indexmap::IndexMap;
use tarragon_protocol::peer::VmListTransfer;

use crate::prelude::*;

/// Number of earlier versions whose changes are kept. Peers with an older version get the whole list.
const MAX_RECENT_VERSIONS: usize = 32;

/// Changes of one version.
#[derive(Debug, Clone)]
struct ListChange {
    base: u64,
    changed: Vec<VmName>,
    removed: Vec<VmName>,
}

/// Result of offering a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListOutcome {
    /// It is in use now.
    Applied,
    /// It has the version in use.
    Known,
    /// It is older than the one in use. Counted.
    Older,
    /// It builds on a version that is not the one in use; the whole list is needed.
    WrongBase,
}

/// The VM list in use.
#[derive(Debug, Default)]
pub struct VmListState {
    version: u64,
    vms: IndexMap<VmName, ListedVm>,
    recent: VecDeque<ListChange>,
    older_refused: u64,
}

impl VmListState {
    /// Version in use; 0 before the first list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Lists refused because they were older.
    pub fn older_refused(&self) -> u64 {
        self.older_refused
    }

    /// All VMs.
    pub fn vms(&self) -> impl Iterator<Item = &ListedVm> {
        self.vms.values()
    }

    /// One VM.
    pub fn get(&self, vm: &str) -> Option<&ListedVm> {
        self.vms.get(vm)
    }

    /// Applies a whole list if its version is higher.
    pub fn offer(&mut self, list: VmList) -> ListOutcome {
        if list.version <= self.version {
            return self.reject_not_newer(list.version);
        }
        let vms: IndexMap<VmName, ListedVm> =
            list.vms.into_iter().map(|vm| (vm.vm.clone(), vm)).collect();
        self.replace(list.version, vms);
        ListOutcome::Applied
    }

    /// Applies the changes that a peer sent.
    pub fn offer_transfer(&mut self, transfer: VmListTransfer) -> ListOutcome {
        if transfer.version <= self.version {
            return self.reject_not_newer(transfer.version);
        }
        if transfer.base != 0 && transfer.base != self.version {
            return ListOutcome::WrongBase;
        }
        let mut vms = if transfer.base == 0 { IndexMap::new() } else { self.vms.clone() };
        for vm in transfer.removed {
            vms.swap_remove(&vm);
        }
        vms.extend(transfer.changed.into_iter().map(|vm| (vm.vm.clone(), vm)));
        self.replace(transfer.version, vms);
        ListOutcome::Applied
    }

    /// The changes for a peer that has version `have`, or the whole list. `None` if the peer is not
    /// behind.
    pub fn transfer_for(&self, have: u64) -> Option<VmListTransfer> {
        if have >= self.version {
            return None;
        }
        let known = self.recent.iter().position(|change| change.base == have);
        let Some(first) = known else {
            let changed = self.vms.values().cloned().collect();
            let version = self.version;
            return Some(VmListTransfer { base: 0, version, changed, removed: Vec::new() });
        };
        let mut changed_names: IndexMap<&VmName, ()> = IndexMap::new();
        for change in self.recent.iter().skip(first) {
            changed_names.extend(change.changed.iter().chain(&change.removed).map(|vm| (vm, ())));
        }
        let (present, gone): (Vec<&VmName>, Vec<&VmName>) =
            changed_names.keys().partition(|vm| self.vms.contains_key(**vm));
        Some(VmListTransfer {
            base: have,
            version: self.version,
            changed: present.iter().filter_map(|vm| self.vms.get(*vm).cloned()).collect(),
            removed: gone.into_iter().cloned().collect(),
        })
    }

    fn reject_not_newer(&mut self, version: u64) -> ListOutcome {
        if version == self.version {
            return ListOutcome::Known;
        }
        self.older_refused += 1;
        ListOutcome::Older
    }

    fn replace(&mut self, version: u64, vms: IndexMap<VmName, ListedVm>) {
        let changed = vms
            .iter()
            .filter(|(name, vm)| self.vms.get(*name) != Some(vm))
            .map(|(name, _)| name.clone())
            .collect();
        let removed = self.vms.keys().filter(|name| !vms.contains_key(*name)).cloned().collect();
        if self.recent.len() == MAX_RECENT_VERSIONS {
            self.recent.pop_front();
        }
        if self.version > 0 {
            self.recent.push_back(ListChange { base: self.version, changed, removed });
        }
        self.version = version;
        self.vms = vms;
    }
}

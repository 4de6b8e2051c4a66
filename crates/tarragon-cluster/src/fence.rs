//! Ownership of targets (which VM may send orders to a target) and the fencing numbers of orders.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::{prelude::*, rendezvous};

/// Time for which a VM must have ranked highest for a target before it may send orders.
pub const OWNERSHIP_DELAY: Duration = Duration::from_secs(10);

/// Bits of a fencing number that hold the generation of the VM.
const GENERATION_BITS: u32 = 20;

/// Fencing number of an order: the configuration version, then the VM's generation. It rises with each
/// configuration, so no counter has to be stored.
pub fn fencing_number(version: ConfigurationVersion, generation: u64) -> FencingNumber {
    (version << GENERATION_BITS) | (generation & ((1 << GENERATION_BITS) - 1))
}

/// The targets for which this VM ranks highest, with the time since when it does.
#[derive(Debug, Default)]
pub struct OwnerTable {
    since: IndexMap<TargetName, Instant>,
}

impl OwnerTable {
    /// Recomputes the table from all targets and the VMs that are up.
    pub fn update<'a, Names>(&mut self, own: &str, targets: Names, up: &[VmName], now: Instant)
    where
        Names: IntoIterator<Item = &'a TargetName>,
    {
        let mut before = std::mem::take(&mut self.since);
        for target in targets {
            if rendezvous::rank(target, own, up.iter().map(|vm| &**vm)) == 0 {
                let since = before.swap_remove(target).unwrap_or(now);
                self.since.insert(target.clone(), since);
            }
        }
    }

    /// Restarts the delay of every target, after a pause in which another VM may have become the owner.
    pub fn restart(&mut self, now: Instant) {
        for since in self.since.values_mut() {
            *since = now;
        }
    }

    /// Whether this VM may send orders to a target.
    pub fn is_owner(&self, target: &TargetName, now: Instant) -> bool {
        let since = self.since.get(target);
        since.is_some_and(|since| now.saturating_duration_since(*since) >= OWNERSHIP_DELAY)
    }

    /// Number of targets to which this VM may send orders.
    pub fn owned(&self, now: Instant) -> usize {
        self.since.keys().filter(|target| self.is_owner(target, now)).count()
    }
}

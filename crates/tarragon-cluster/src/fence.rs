//! Who gives orders to a target, and the fencing number of an order.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::{prelude::*, rendezvous};

/// Time for which a VM must have ranked highest before it gives orders.
pub const OWNERSHIP_DELAY: Duration = Duration::from_secs(10);

/// Bits of a fencing number that hold the generation of the VM.
const GENERATION_BITS: u32 = 20;

/// Fencing number of an order. It rises with each configuration, without anything being written.
pub fn fencing_number(version: ConfigurationVersion, generation: u64) -> FencingNumber {
    (version << GENERATION_BITS) | (generation & ((1 << GENERATION_BITS) - 1))
}

/// Since when this VM ranks highest for which targets.
#[derive(Debug, Default)]
pub struct OwnerTable {
    since: IndexMap<TargetName, Instant>,
}

impl OwnerTable {
    /// Takes the targets and the VMs that are up.
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

    /// Starts every holding time again: after a pause, another VM may have become the owner meanwhile.
    pub fn restart(&mut self, now: Instant) {
        for since in self.since.values_mut() {
            *since = now;
        }
    }

    /// Whether this VM may give orders to a target.
    pub fn is_owner(&self, target: &TargetName, now: Instant) -> bool {
        let since = self.since.get(target);
        since.is_some_and(|since| now.saturating_duration_since(*since) >= OWNERSHIP_DELAY)
    }

    /// Number of targets for which this VM may give orders.
    pub fn owned(&self, now: Instant) -> usize {
        self.since.keys().filter(|target| self.is_owner(target, now)).count()
    }
}

//! The network between VMs, callers, targets and the platform: delay, loss, duplicates, reordering and
//! partitions.

use std::{collections::BTreeSet, time::Duration};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// One-way latency inside a data centre.
const LOCAL_LATENCY: Duration = Duration::from_micros(200);
/// One-way latency between data centres.
const REMOTE_LATENCY: Duration = Duration::from_micros(1_500);
/// One-way latency to callers.
const CALLER_LATENCY: Duration = Duration::from_millis(3);

/// An end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Endpoint {
    /// An entry VM: its index and its data centre.
    Vm(usize, usize),
    /// A target of a data centre.
    Target(usize),
    /// A caller.
    Caller,
    /// The configuration service and the VM list.
    Platform,
}

/// State of the network.
#[derive(Debug, Clone, Default)]
pub(crate) struct Network {
    /// Part of the messages that are lost.
    pub(crate) loss: f64,
    /// Part of the messages that arrive twice.
    pub(crate) duplicates: f64,
    /// Greatest additional delay; causes reordering.
    pub(crate) jitter: Duration,
    /// Pairs of data centres (the smaller index first) that don't reach each other.
    pub(crate) cut_pairs: BTreeSet<(usize, usize)>,
    /// VMs that reach no other VM.
    pub(crate) isolated: BTreeSet<usize>,
    /// VMs that don't reach the platform.
    pub(crate) platform_cut: BTreeSet<usize>,
}

impl Network {
    /// Whether the two ends reach each other.
    pub(crate) fn reaches(&self, from: Endpoint, to: Endpoint) -> bool {
        match (from, to) {
            (Endpoint::Vm(one, _), Endpoint::Vm(other, _)) if one == other => true,
            (Endpoint::Vm(one, near), Endpoint::Vm(other, far)) => {
                !self.isolated.contains(&one)
                    && !self.isolated.contains(&other)
                    && !self.cut_pairs.contains(&(near.min(far), near.max(far)))
            }
            (Endpoint::Vm(vm, _), Endpoint::Platform)
            | (Endpoint::Platform, Endpoint::Vm(vm, _)) => !self.platform_cut.contains(&vm),
            _ => true,
        }
    }

    /// Whether a VM of a data centre is cut off from a part of the others or from the platform.
    pub(crate) fn hinders(&self, vm: usize, home: usize) -> bool {
        self.loss > 0.0
            || self.isolated.contains(&vm)
            || self.platform_cut.contains(&vm)
            || self.cut_pairs.iter().any(|(near, far)| *near == home || *far == home)
    }

    /// Delays after which copies of a message arrive; none if it is lost.
    pub(crate) fn deliveries(
        &self,
        random: &mut ChaCha8Rng,
        from: Endpoint,
        to: Endpoint,
    ) -> Vec<Duration> {
        if !self.reaches(from, to) || random.random_bool(self.loss) {
            return Vec::new();
        }
        let copies = if random.random_bool(self.duplicates) { 2 } else { 1 };
        (0..copies).map(|_| self.delay(random, from, to)).collect()
    }

    /// Delay of a message on a reliable connection.
    pub(crate) fn delay(&self, random: &mut ChaCha8Rng, from: Endpoint, to: Endpoint) -> Duration {
        let latency = match (from, to) {
            (Endpoint::Caller, _) | (_, Endpoint::Caller) => CALLER_LATENCY,
            (Endpoint::Vm(_, near), Endpoint::Vm(_, far))
            | (Endpoint::Vm(_, near), Endpoint::Target(far))
            | (Endpoint::Target(near), Endpoint::Vm(_, far))
                if near == far =>
            {
                LOCAL_LATENCY
            }
            _ => REMOTE_LATENCY,
        };
        latency + self.jitter.mul_f64(random.random::<f64>())
    }
}

//! Sums over what the processes of a data centre have told. They are kept up to date with each digest, so that
//! neither a request nor a tick goes over all peers.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{digest::NameKey, prelude::*};

/// What the processes of a data centre use together, for peers of other data centres. In large fleets each of
/// them hears from each single process once in many seconds, but from some process of it several times a second.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CentreSum {
    /// Processes whose use is included.
    pub processes: u32,
    /// Requests in flight by target.
    pub uses: Vec<(NameKey, u32)>,
    /// Use of quotas.
    pub usage: Vec<UsageSum>,
    /// For each process that doesn't know its use before its start: the part of the quotas' window before it, in
    /// milliseconds.
    pub unknown_ms: Vec<u32>,
    /// Processes whose use is included, with the number of the digest that told it.
    pub included: Vec<(SocketAddr, u64)>,
}

/// What this process has told of its own use in its last digests, to be taken off sums that include it.
#[derive(Debug, Default)]
pub struct SentHistory {
    told: VecDeque<(u64, Vec<TargetUse>, Vec<UsageSum>)>,
}

/// Digests of which a process remembers what it told. Sums include one of the last few.
const TOLD_DIGESTS: usize = 16;

impl SentHistory {
    /// Notes what a digest tells.
    pub fn note(&mut self, sequence: u64, uses: &[TargetUse], usage: &[UsageSum]) {
        self.told.push_back((sequence, uses.to_vec(), usage.to_vec()));
        if self.told.len() > TOLD_DIGESTS {
            self.told.pop_front();
        }
    }

    /// What a digest told; nothing if it is forgotten.
    fn get(&self, sequence: u64) -> Option<(&[TargetUse], &[UsageSum])> {
        let told = self.told.iter().find(|(number, ..)| *number == sequence);
        told.map(|(_, uses, usage)| (uses.as_slice(), usage.as_slice()))
    }
}

/// Sums over processes, by name.
#[derive(Debug, Clone, Default)]
pub struct UseSums {
    uses: IndexMap<NameKey, u32>,
    usage: IndexMap<NameKey, UsageSum>,
}

impl UseSums {
    /// Adds what a process has told.
    pub fn add(&mut self, uses: &[TargetUse], usage: &[UsageSum]) {
        for one in uses {
            *self.uses.entry(one.target).or_default() += u32::from(one.in_flight);
        }
        for one in usage {
            self.usage
                .entry(one.workspace)
                .or_insert_with(|| UsageSum::none(one.workspace))
                .add(one);
        }
    }

    /// Takes off what was added of a process.
    pub fn remove(&mut self, uses: &[TargetUse], usage: &[UsageSum]) {
        for one in uses {
            if let Some(sum) = self.uses.get_mut(&one.target) {
                *sum = sum.saturating_sub(one.in_flight.into());
            }
        }
        for one in usage {
            if let Some(sum) = self.usage.get_mut(&one.workspace) {
                sum.remove(one);
            }
        }
    }

    /// Drops entries of targets and workspaces that nobody uses.
    pub fn sweep(&mut self) {
        self.uses.retain(|_, sum| *sum > 0);
        self.usage.retain(|_, sum| sum.units > 0);
    }

    /// The entries, for a digest.
    pub fn into_centre_sum(mut self) -> CentreSum {
        self.uses.retain(|_, sum| *sum > 0);
        CentreSum {
            uses: self.uses.into_iter().collect(),
            usage: self.usage.into_values().collect(),
            ..CentreSum::default()
        }
    }
}

/// What is known of one data centre.
#[derive(Debug, Default)]
pub struct CentreView {
    /// Its processes that are known, present or not.
    pub known: usize,
    /// Those of them that are present.
    pub present: usize,
    /// Sums over the digests of those that are present.
    pub sums: UseSums,
    /// The sum that one of its processes told last.
    told: Option<(Instant, ReportedSum)>,
    /// That sum as it was told.
    raw: CentreSum,
}

/// A sum that was told, with its entries by name.
#[derive(Debug)]
struct ReportedSum {
    processes: usize,
    sums: UseSums,
    unknown_ms: Vec<u32>,
}

/// A sum that was told longer ago than this says nothing of the present. Several come each second, at irregular
/// times. That all seven of two seconds are missed by chance is rare, and costs callers less than an old sum.
const TOLD_LIFETIME: Duration = Duration::from_secs(2);
/// A newer sum that includes fewer processes than this part of the last one comes from a process that has met
/// few of its peers. It counts once the last one is older than [`PARTIAL_DELAY`].
const WHOLE_PART: f64 = 0.9;
/// Time for which the last sum goes before one that includes fewer processes.
const PARTIAL_DELAY: Duration = Duration::from_millis(800);

impl CentreView {
    /// Takes the sum that a process of this data centre has told.
    ///
    /// `own` is the address of this process, whose own use is taken off.
    pub fn take_told(
        &mut self,
        sum: &CentreSum,
        own: SocketAddr,
        history: &SentHistory,
        now: Instant,
    ) {
        if let Some((heard, known)) = &self.told {
            let partial = f64::from(sum.processes) < known.processes as f64 * WHOLE_PART;
            if partial && now.saturating_duration_since(*heard) < PARTIAL_DELAY {
                return;
            }
        }
        let mut told = ReportedSum {
            processes: sum.processes as usize,
            sums: UseSums {
                uses: sum.uses.iter().copied().collect(),
                usage: sum.usage.iter().map(|one| (one.workspace, *one)).collect(),
            },
            unknown_ms: sum.unknown_ms.clone(),
        };
        if let Some((_, sequence)) = sum.included.iter().find(|(address, _)| *address == own) {
            told.processes = told.processes.saturating_sub(1);
            if let Some((uses, usage)) = history.get(*sequence) {
                told.sums.remove(uses, usage);
            }
        }
        self.told = Some((now, told));
        self.raw.clone_from(sum);
    }

    /// The sum that was told last, as it was told, unless it is old.
    pub fn raw_told(&self, now: Instant) -> Option<&CentreSum> {
        self.told(now).map(|_| &self.raw)
    }

    /// Forgets the sum that was told.
    pub fn forget_told(&mut self) {
        self.told = None;
    }

    fn told(&self, now: Instant) -> Option<&ReportedSum> {
        let (heard, told) = self.told.as_ref()?;
        (now.saturating_duration_since(*heard) < TOLD_LIFETIME).then_some(told)
    }

    /// The sum that was told, if it is not old, else that over the digests of its processes.
    fn current(&self, now: Instant) -> &UseSums {
        self.told(now).map_or(&self.sums, |told| &told.sums)
    }

    /// Requests in flight at a target.
    pub fn in_flight(&self, target: NameKey, now: Instant) -> u32 {
        self.current(now).uses.get(&target).copied().unwrap_or(0)
    }

    /// Use of a workspace's quota.
    pub fn usage(&self, workspace: NameKey, now: Instant) -> UsageSum {
        let usage = &self.current(now).usage;
        usage.get(&workspace).copied().unwrap_or_else(|| UsageSum::none(workspace))
    }

    /// Processes whose use is known.
    pub fn counted(&self, now: Instant) -> usize {
        self.told(now).map_or(self.present, |told| told.processes)
    }

    /// Parts of the quotas' window of whose use processes know nothing, if a sum tells them.
    pub fn told_unknown(&self, now: Instant) -> Option<&[u32]> {
        self.told(now).map(|told| told.unknown_ms.as_slice())
    }
}

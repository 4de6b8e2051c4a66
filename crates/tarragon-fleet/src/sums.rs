//! Sums of the usage that the processes of each data centre report. They are updated with each digest, so
//! that neither a request nor a tick has to go over all peers.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{digest::NameKey, prelude::*};

/// Total usage of the processes of a data centre, for peers of other data centres. In large fleets each of
/// those peers gets a digest from a given process only once in many seconds, but from some process of the
/// data centre several times a second.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CentreSum {
    /// Number of processes whose usage is included.
    pub processes: u32,
    /// Requests in flight, by target.
    pub in_flight: Vec<(NameKey, u32)>,
    /// Quota usage, by workspace.
    pub quota_usage: Vec<UsageSum>,
    /// For each process that doesn't know its usage before its start: the span of the quota window before the
    /// start, in milliseconds.
    pub unknown_usage_ms: Vec<u32>,
    /// Processes whose usage is included, with the sequence number of the digest that reported it.
    pub included: Vec<(SocketAddr, u64)>,
}

/// Own usage that the last digests of this process reported, so that it can be subtracted from sums that
/// include it.
#[derive(Debug, Default)]
pub struct SentHistory {
    sent: VecDeque<(u64, Vec<TargetUse>, Vec<UsageSum>)>,
}

/// Number of own digests that are remembered. A sum from another process includes one of the last few.
const REMEMBERED_DIGESTS: usize = 16;

impl SentHistory {
    /// Records the usage that a digest reports.
    pub fn record(&mut self, sequence: u64, uses: &[TargetUse], usage: &[UsageSum]) {
        self.sent.push_back((sequence, uses.to_vec(), usage.to_vec()));
        if self.sent.len() > REMEMBERED_DIGESTS {
            self.sent.pop_front();
        }
    }

    /// The usage that a digest reported, if it is still remembered.
    fn get(&self, sequence: u64) -> Option<(&[TargetUse], &[UsageSum])> {
        let sent = self.sent.iter().find(|(number, ..)| *number == sequence);
        sent.map(|(_, uses, usage)| (uses.as_slice(), usage.as_slice()))
    }
}

/// Sums over processes, by target and by workspace.
#[derive(Debug, Clone, Default)]
pub struct UseSums {
    in_flight: IndexMap<NameKey, u32>,
    usage: IndexMap<NameKey, UsageSum>,
}

impl UseSums {
    /// Adds the usage that a process reported.
    pub fn add(&mut self, uses: &[TargetUse], usage: &[UsageSum]) {
        for one in uses {
            let sum = self.in_flight.entry(one.target).or_default();
            *sum = sum.saturating_add(one.in_flight.into());
        }
        for one in usage {
            self.usage
                .entry(one.workspace)
                .or_insert_with(|| UsageSum::none(one.workspace))
                .add(one);
        }
    }

    /// Subtracts the usage of a process that was added before.
    pub fn remove(&mut self, uses: &[TargetUse], usage: &[UsageSum]) {
        for one in uses {
            if let Some(sum) = self.in_flight.get_mut(&one.target) {
                *sum = sum.saturating_sub(one.in_flight.into());
            }
        }
        for one in usage {
            if let Some(sum) = self.usage.get_mut(&one.workspace) {
                sum.remove(one);
            }
        }
    }

    /// Removes entries of targets and workspaces without any usage.
    pub fn remove_unused(&mut self) {
        self.in_flight.retain(|_, sum| *sum > 0);
        self.usage.retain(|_, sum| sum.units > 0);
    }

    /// Converts the sums to the form for a digest.
    pub fn into_centre_sum(mut self) -> CentreSum {
        self.in_flight.retain(|_, sum| *sum > 0);
        CentreSum {
            in_flight: self.in_flight.into_iter().collect(),
            quota_usage: self.usage.into_values().collect(),
            ..CentreSum::default()
        }
    }
}

/// Known state of one data centre.
#[derive(Debug, Default)]
pub struct CentreView {
    /// Number of its known processes, present or silent.
    pub known: usize,
    /// Number of those that are present.
    pub present: usize,
    /// Sums over the digests of those that are present.
    pub sums: UseSums,
    /// The sum that one of its processes last reported.
    reported: Option<(Instant, ReportedSum)>,
    /// That sum as it was received.
    raw_reported: CentreSum,
}

/// A sum that another process reported, without this process's own usage.
#[derive(Debug)]
struct ReportedSum {
    processes: usize,
    sums: UseSums,
    unknown_usage_ms: Vec<u32>,
}

/// Age above which a reported sum is no longer used. Several sums arrive each second, at irregular times. It
/// is rare that all seven of two seconds are missed by chance, and that costs callers less than an outdated
/// sum.
const MAX_SUM_AGE: Duration = Duration::from_secs(2);
/// A sum that includes fewer processes than this fraction of the last one comes from a process that knows few
/// of its peers. It is used only once the last one is older than [`PARTIAL_DELAY`].
const MIN_WHOLE_RATIO: f64 = 0.9;
/// Time for which the last sum is preferred to one that includes fewer processes.
const PARTIAL_DELAY: Duration = Duration::from_millis(800);

impl CentreView {
    /// Applies a sum reported by a process of this data centre.
    ///
    /// `own` is the address of this process, whose own usage is subtracted from the sum.
    pub fn apply_reported_sum(
        &mut self,
        sum: &CentreSum,
        own: SocketAddr,
        history: &SentHistory,
        now: Instant,
    ) {
        if let Some((received, known)) = &self.reported {
            let partial = f64::from(sum.processes) < known.processes as f64 * MIN_WHOLE_RATIO;
            if partial && now.saturating_duration_since(*received) < PARTIAL_DELAY {
                return;
            }
        }
        let mut reported = ReportedSum {
            processes: sum.processes as usize,
            sums: UseSums {
                in_flight: sum.in_flight.iter().copied().collect(),
                usage: sum.quota_usage.iter().map(|one| (one.workspace, *one)).collect(),
            },
            unknown_usage_ms: sum.unknown_usage_ms.clone(),
        };
        if let Some((_, sequence)) = sum.included.iter().find(|(address, _)| *address == own) {
            reported.processes = reported.processes.saturating_sub(1);
            if let Some((uses, usage)) = history.get(*sequence) {
                reported.sums.remove(uses, usage);
            }
        }
        self.reported = Some((now, reported));
        self.raw_reported.clone_from(sum);
    }

    /// The last reported sum as it was received, unless it is outdated.
    pub fn raw_reported_sum(&self, now: Instant) -> Option<&CentreSum> {
        self.reported(now).map(|_| &self.raw_reported)
    }

    /// Discards the reported sum.
    pub fn clear_reported_sum(&mut self) {
        self.reported = None;
    }

    /// The last reported sum, unless it is outdated.
    fn reported(&self, now: Instant) -> Option<&ReportedSum> {
        let (received, reported) = self.reported.as_ref()?;
        (now.saturating_duration_since(*received) < MAX_SUM_AGE).then_some(reported)
    }

    /// The last reported sum, or if it is outdated, the sum over the digests of the processes.
    fn current(&self, now: Instant) -> &UseSums {
        self.reported(now).map_or(&self.sums, |reported| &reported.sums)
    }

    /// Requests in flight at a target.
    pub fn in_flight(&self, target: NameKey, now: Instant) -> u32 {
        self.current(now).in_flight.get(&target).copied().unwrap_or(0)
    }

    /// Quota usage of a workspace.
    pub fn usage(&self, workspace: NameKey, now: Instant) -> UsageSum {
        let usage = &self.current(now).usage;
        usage.get(&workspace).copied().unwrap_or_else(|| UsageSum::none(workspace))
    }

    /// Number of processes whose usage is included.
    pub fn counted(&self, now: Instant) -> usize {
        self.reported(now).map_or(self.present, |reported| reported.processes)
    }

    /// Spans of the quota window, in milliseconds, for which processes don't know their usage, if a sum
    /// reports them.
    pub fn reported_unknown_spans(&self, now: Instant) -> Option<&[u32]> {
        self.reported(now).map(|reported| reported.unknown_usage_ms.as_slice())
    }
}

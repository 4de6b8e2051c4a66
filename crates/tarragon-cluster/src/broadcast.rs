//! Facts that digests spread to every process: suspects (requests that may crash targets) and the
//! successors that hold the ticket records of ended processes.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use tarragon_protocol::peer::{CrashSighting, SuspectCause};

use crate::prelude::*;

/// Time for which a finding about a request is kept.
const SUSPECT_LIFETIME: Duration = Duration::from_secs(10 * 60);

/// Time for which the successor of an ended process is kept: as long as its records.
const SUCCESSOR_LIFETIME: Duration = crate::ticket::RECORD_RETENTION;

/// Greatest length of each of the two lists; the oldest entry is evicted first.
const MAX_ENTRIES: usize = 1024;

/// Greatest number of entries of each list in one digest.
const DIGEST_ENTRIES: usize = 4;

/// An entry with the time of its event and the number of digests it was put into.
#[derive(Debug, Clone)]
struct BroadcastItem<Entry> {
    entry: Entry,
    at: Instant,
    times_sent: u32,
}

/// Known suspects and successors.
#[derive(Debug, Default)]
pub struct BroadcastTable {
    suspects: IndexMap<SuspectCause, BroadcastItem<SuspectEntry>>,
    successors: IndexMap<PeerIdentity, BroadcastItem<SuccessorEntry>>,
}

impl BroadcastTable {
    /// Merges a finding. Returns whether it says something new: a further crash or a conviction.
    pub fn merge_suspect(&mut self, entry: &SuspectEntry, now: Instant) -> bool {
        let at = event_time(now, entry.age_ms);
        let Some(at) = at.filter(|at| now - *at < SUSPECT_LIFETIME) else { return false };
        let Some(known) = self.suspects.get_mut(&entry.cause) else {
            evict_oldest_if_full(&mut self.suspects);
            let item = BroadcastItem { entry: entry.clone(), at, times_sent: 0 };
            self.suspects.insert(entry.cause, item);
            return true;
        };
        let is_known =
            |new: &CrashSighting| known.entry.crashes.iter().any(|known| known.is_same_crash(new));
        let new = entry.crashes.iter().filter(|crash| !is_known(crash));
        let new: Vec<CrashSighting> = new.cloned().collect();
        let convicted = entry.convicted && !known.entry.convicted;
        if new.is_empty() && !convicted {
            return false;
        }
        known.entry.crashes.extend(new);
        known.entry.convicted |= entry.convicted;
        known.at = known.at.max(at);
        known.times_sent = 0;
        true
    }

    /// Merges the successor of an ended process. Returns whether it is new.
    pub fn merge_successor(&mut self, entry: &SuccessorEntry, now: Instant) -> bool {
        let at = event_time(now, entry.age_ms);
        let Some(at) = at.filter(|at| now - *at < SUCCESSOR_LIFETIME) else { return false };
        let known = self.successors.get(&entry.owner);
        let newer = known.is_none_or(|known| {
            known.entry.successor != entry.successor && at > known.at + Duration::from_millis(200)
        });
        if newer {
            evict_oldest_if_full(&mut self.successors);
            let item = BroadcastItem { entry: entry.clone(), at, times_sent: 0 };
            self.successors.insert(entry.owner.clone(), item);
        }
        newer
    }

    /// The process that holds the records of an ended process.
    pub fn successor_of(&self, owner: &PeerIdentity) -> Option<&SuccessorEntry> {
        self.successors.get(owner).map(|item| &item.entry)
    }

    /// Suspects for the next digest, the least often sent first.
    pub fn digest_suspects(&mut self, now: Instant) -> Vec<SuspectEntry> {
        let entries = least_sent(&mut self.suspects, now);
        entries.into_iter().map(|(entry, age_ms)| SuspectEntry { age_ms, ..entry }).collect()
    }

    /// Successors for the next digest, the least often sent first.
    pub fn digest_successors(&mut self, now: Instant) -> Vec<SuccessorEntry> {
        let entries = least_sent(&mut self.successors, now);
        entries.into_iter().map(|(entry, age_ms)| SuccessorEntry { age_ms, ..entry }).collect()
    }

    /// Drops what no longer counts.
    pub fn purge(&mut self, now: Instant) {
        self.suspects.retain(|_, item| now.saturating_duration_since(item.at) < SUSPECT_LIFETIME);
        self.successors
            .retain(|_, item| now.saturating_duration_since(item.at) < SUCCESSOR_LIFETIME);
    }

    /// Numbers of suspects and of successors.
    pub fn counts(&self) -> (usize, usize) {
        (self.suspects.len(), self.successors.len())
    }
}

fn event_time(now: Instant, age_ms: u64) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(age_ms))
}

fn evict_oldest_if_full<Key, Entry>(items: &mut IndexMap<Key, BroadcastItem<Entry>>) {
    if items.len() < MAX_ENTRIES {
        return;
    }
    let oldest = items.values().enumerate().min_by_key(|(_, item)| item.at);
    if let Some((index, _)) = oldest {
        items.swap_remove_index(index);
    }
}

fn least_sent<Key, Entry>(
    items: &mut IndexMap<Key, BroadcastItem<Entry>>,
    now: Instant,
) -> Vec<(Entry, u64)>
where
    Entry: Clone,
{
    let mut order: Vec<usize> = (0..items.len()).collect();
    order.sort_by_key(|index| (items[*index].times_sent, std::cmp::Reverse(items[*index].at)));
    order.truncate(DIGEST_ENTRIES);
    let mut entries = Vec::with_capacity(order.len());
    for index in order {
        let item = &mut items[index];
        item.times_sent += 1;
        let age = now.saturating_duration_since(item.at).as_millis() as u64;
        entries.push((item.entry.clone(), age));
    }
    entries
}

//! Builds that were registered in the recent past, from the store's history of registrations.
//!
//! A target writes its registration again only if more than its sequence number changes, so neither the number
//! of changes nor the revisions tell how much time they cover. Start times and sequence numbers do.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::{
    prelude::*,
    published::{InstanceName, StoreRevision},
};

/// Shortest and longest interval between two heartbeats of a target, as a factor of the nominal one.
const HEARTBEAT_FACTORS: (f64, f64) = (0.8, 1.25);
/// Tolerance for the difference between the time of day here and at the targets, and for a delayed write. The
/// time of day may jump by seconds, and registrations lapse after three heartbeats of silence.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(5);

/// Builds that have been registered, as far back as the history reaches.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BuildHistory {
    /// Time back from now for which the sightings are complete; a lower bound.
    pub span: Duration,
    /// Builds registered at any time within the span, by ready or leaving targets.
    pub sightings: Vec<BuildSighting>,
}

/// A build that was registered for a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct BuildSighting {
    /// Service.
    pub service: ServiceName,
    /// Build.
    pub build: BuildName,
}

/// One change of a registration.
#[derive(Debug, Clone, PartialEq)]
pub struct RegistrationChange {
    /// Instance whose entry was changed.
    pub instance: InstanceName,
    /// Revision of the change.
    pub revision: StoreRevision,
    /// What the entry became.
    pub content: RegistrationContent,
}

/// Content of a registration after a change.
#[derive(Debug, Clone, PartialEq)]
pub enum RegistrationContent {
    /// A valid registration.
    Written {
        /// The registration.
        target: Box<ListedTarget>,
        /// Whether there was no entry before.
        created: bool,
    },
    /// Something that names no target.
    Unreadable {
        /// Whether there was no entry before.
        created: bool,
    },
    /// The entry was deleted.
    Deleted,
}

/// All changes of registrations after a revision, in order.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RegistrationLog {
    /// Revision after which no change is missing.
    pub after: StoreRevision,
    /// Changes in order.
    pub changes: Vec<RegistrationChange>,
}

/// What the age of a change is computed from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HistoryClock {
    /// Nominal interval between two heartbeats of a target.
    pub heartbeat: Duration,
    /// Time of day, in milliseconds since 1970.
    pub now_ms: u64,
}

impl BuildHistory {
    /// Combines a listing with the changes that led to it. The log must begin no later than the listing.
    ///
    /// What an entry held before its first known change is unknown, unless the same start of the target wrote
    /// it. The history counts only from the last change that replaced or deleted an unknown entry.
    pub fn assemble(
        listing: &[ListedTarget],
        log: &RegistrationLog,
        clock: HistoryClock,
    ) -> BuildHistory {
        let start = log.last_unexplained().unwrap_or(log.after);
        let mut sightings: IndexSet<BuildSighting> = listing.iter().map(sighting).collect();
        let mut open: IndexMap<&str, BuildSighting> = IndexMap::new();
        for change in &log.changes {
            let ended = open.swap_remove(&*change.instance);
            if change.revision > start {
                sightings.extend(ended);
            }
            if let RegistrationContent::Written { target, .. } = &change.content {
                open.insert(&change.instance, sighting(target));
            }
        }
        sightings.extend(open.into_values());
        if log.is_whole(listing) {
            return BuildHistory {
                span: Duration::MAX,
                sightings: sightings.into_iter().collect(),
            };
        }
        let writes = log.writes_with(listing);
        let span =
            span_by_sequence(&writes, start, clock).max(span_by_clock(&writes, start, clock));
        BuildHistory { span, sightings: sightings.into_iter().collect() }
    }

    /// Builds of a service.
    pub fn builds_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a BuildName> {
        let of_service =
            self.sightings.iter().filter(move |sighting| &*sighting.service == service);
        of_service.map(|sighting| &sighting.build)
    }
}

fn sighting(target: &ListedTarget) -> BuildSighting {
    BuildSighting { service: target.service.clone(), build: target.build.clone() }
}

impl RegistrationLog {
    /// Whether the log goes back to the store's first revision, and explains all entries of the listing: there
    /// have never been other registrations.
    fn is_whole(&self, listing: &[ListedTarget]) -> bool {
        let logged: IndexSet<&str> = self.changes.iter().map(|change| &*change.instance).collect();
        self.after == 0 && listing.iter().all(|target| logged.contains(&*target.instance))
    }

    /// Revision of the last change of an entry whose content before it is unknown.
    pub fn last_unexplained(&self) -> Option<StoreRevision> {
        let mut known: IndexSet<&str> = IndexSet::new();
        let unexplained = self.changes.iter().filter(|change| {
            let first = known.insert(&change.instance);
            first
                && match &change.content {
                    // Each start of a target writes number 1 first.
                    RegistrationContent::Written { target, created } => {
                        !created && target.sequence <= 1
                    }
                    RegistrationContent::Unreadable { created } => !created,
                    RegistrationContent::Deleted => true,
                }
        });
        unexplained.map(|change| change.revision).max()
    }

    /// All known writes, ordered by revision: those of the log and the last ones of listed targets.
    fn writes_with<'a>(&'a self, listing: &'a [ListedTarget]) -> Vec<&'a ListedTarget> {
        let logged = self.changes.iter().filter_map(|change| match &change.content {
            RegistrationContent::Written { target, .. } => Some(&**target),
            _ => None,
        });
        let mut writes: Vec<&ListedTarget> = logged.chain(listing).collect();
        writes.sort_by_key(|target| target.revision);
        writes
    }
}

/// Time between the first and the last write of one start of a target, the longest of all targets.
fn span_by_sequence(
    writes: &[&ListedTarget],
    start: StoreRevision,
    clock: HistoryClock,
) -> Duration {
    let mut first: IndexMap<(&str, u64), u64> = IndexMap::new();
    let mut beats = 0;
    for target in writes.iter().filter(|target| target.revision >= start) {
        let number =
            *first.entry((&*target.instance, target.started_ms)).or_insert(target.sequence);
        // A change of state may raise the number between two heartbeats.
        beats = beats.max(target.sequence.saturating_sub(number).saturating_sub(1));
    }
    beat_time(clock.heartbeat, beats, HEARTBEAT_FACTORS.0)
}

/// Time since a change right after `start` at the latest, by the time of day.
fn span_by_clock(writes: &[&ListedTarget], start: StoreRevision, clock: HistoryClock) -> Duration {
    let mut earliest = 0;
    let mut latest_start: Option<u64> = None;
    for target in writes.iter().filter(|target| target.started_ms > 0) {
        let times = WriteTimes::of(target, clock.heartbeat);
        earliest = earliest.max(times.earliest_ms);
        // The start time of an entry that contradicts earlier entries isn't used.
        if target.revision >= start && times.latest_ms >= earliest {
            latest_start = Some(latest_start.map_or(times.latest_ms, |ms| ms.min(times.latest_ms)));
        }
    }
    let elapsed = latest_start.map_or(0, |ms| clock.now_ms.saturating_sub(ms));
    Duration::from_millis(elapsed).saturating_sub(CLOCK_TOLERANCE)
}

/// Time of day at which a registration was written, in milliseconds since 1970.
struct WriteTimes {
    earliest_ms: u64,
    latest_ms: u64,
}

impl WriteTimes {
    fn of(target: &ListedTarget, heartbeat: Duration) -> WriteTimes {
        let beats = target.sequence.saturating_sub(1);
        let (shortest, longest) = HEARTBEAT_FACTORS;
        let after = |time: Duration| {
            let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
            target.started_ms.saturating_add(ms)
        };
        WriteTimes {
            // A change of state may raise the number between two heartbeats.
            earliest_ms: after(beat_time(heartbeat, beats.saturating_sub(1), shortest)),
            latest_ms: after(beat_time(heartbeat, target.sequence, longest)),
        }
    }
}

fn beat_time(heartbeat: Duration, beats: u64, factor: f64) -> Duration {
    // The number may be any u64 that another writer chose.
    Duration::try_from_secs_f64(heartbeat.as_secs_f64() * beats as f64 * factor)
        .unwrap_or(Duration::MAX)
}

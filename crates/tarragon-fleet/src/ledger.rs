//! Which builds of each service have been registered, and since when that is known completely. While one build
//! was the only one for long enough, it has begun all streams of its service, and nothing else has to be known
//! of them.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::{
    build::{build_key, history::BuildHistory},
    digest::{NameKey, name_key},
    prelude::*,
};

/// Time for which a build is remembered after it was last registered: longer than any stream lasts.
const SIGHTING_LIFETIME: Duration = Duration::from_secs(120);
/// Time between two listings above which builds may have come and gone unseen.
const MAX_LISTING_GAP: Duration = Duration::from_secs(30);

/// A build that was registered, as told to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SightingNotice {
    /// Key of the service's name.
    pub service: NameKey,
    /// Build.
    pub build: BuildKey,
    /// Milliseconds since it was last registered.
    pub age_ms: u32,
}

/// What a process knows of the builds that were registered, as told to peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerNotice {
    /// Milliseconds for which the sightings are complete.
    pub span_ms: u32,
    /// Sightings.
    pub sightings: Vec<SightingNotice>,
}

/// Builds by service, with the time at which each was last registered.
#[derive(Debug, Default)]
pub struct BuildLedger {
    sightings: IndexMap<(NameKey, BuildKey), Instant>,
    /// Since when no build can be missing.
    complete_since: Option<Instant>,
    /// When the last listing was read.
    listed: Option<Instant>,
    /// What others told before the first listing: since when their sightings are complete, and when they told.
    told: Option<(Instant, Instant)>,
}

impl BuildLedger {
    /// The ledger of a process that starts with a new fleet: there were no streams before.
    pub fn of_new_fleet(now: Instant) -> BuildLedger {
        let since = now.checked_sub(SIGHTING_LIFETIME).unwrap_or(now);
        BuildLedger { told: Some((since, now)), ..BuildLedger::default() }
    }

    /// Records a listing that was read at `read_at`.
    pub fn record_listing<'a, T>(&mut self, targets: T, read_at: Instant)
    where
        T: Iterator<Item = &'a ListedTarget>,
    {
        let is_recent = |at: Instant| read_at.saturating_duration_since(at) <= MAX_LISTING_GAP;
        if !self.listed.is_some_and(is_recent) {
            let told = self.told.take().filter(|(_, told)| is_recent(*told));
            self.complete_since = Some(told.map_or(read_at, |(since, _)| since.min(read_at)));
        }
        self.listed = self.listed.max(Some(read_at));
        for listed in targets {
            let build = build_key(&listed.service, &listed.build);
            self.record(name_key(&listed.service), build, read_at);
        }
        self.sightings
            .retain(|_, last| read_at.saturating_duration_since(*last) < SIGHTING_LIFETIME);
    }

    fn record(&mut self, service: NameKey, build: BuildKey, at: Instant) {
        let last = self.sightings.entry((service, build)).or_insert(at);
        *last = at.max(*last);
    }

    /// Adds what is known from elsewhere: sightings that are complete for a span of time before `now`.
    pub fn merge(&mut self, notice: &LedgerNotice, now: Instant) {
        let before = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into()));
        for sighting in &notice.sightings {
            if let Some(at) = before(sighting.age_ms) {
                self.record(sighting.service, sighting.build, at);
            }
        }
        let Some(since) = before(notice.span_ms) else { return };
        match &mut self.complete_since {
            Some(known) => *known = since.min(*known),
            // Only listings show the builds that come after the notice.
            None => {
                let earliest = self.told.map_or(since, |(told, _)| told.min(since));
                self.told = Some((earliest, now));
            }
        }
    }

    /// Adds the builds that the store's history shows. When each was last registered isn't known.
    pub fn merge_history(&mut self, history: &BuildHistory, now: Instant) {
        let sightings = history.sightings.iter().map(|sighting| SightingNotice {
            service: name_key(&sighting.service),
            build: build_key(&sighting.service, &sighting.build),
            age_ms: 0,
        });
        let span_ms = u32::try_from(history.span.as_millis()).unwrap_or(u32::MAX);
        self.merge(&LedgerNotice { span_ms, sightings: sightings.collect() }, now);
    }

    /// Whether the sightings are complete for a span of time before `now`.
    pub fn covers(&self, span: Duration, now: Instant) -> bool {
        self.complete_since.is_some_and(|since| now.saturating_duration_since(since) >= span)
    }

    /// What is known, for a peer. `None` before the first listing.
    pub fn notice(&self, now: Instant) -> Option<LedgerNotice> {
        let age = |at: Instant| {
            u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX)
        };
        let sightings = self.sightings.iter().map(|((service, build), at)| SightingNotice {
            service: *service,
            build: *build,
            age_ms: age(*at),
        });
        Some(LedgerNotice { span_ms: age(self.complete_since?), sightings: sightings.collect() })
    }

    /// The build that was the only one of a service for the whole span before `now`.
    pub fn sole_build(&self, service: NameKey, span: Duration, now: Instant) -> Option<BuildKey> {
        if !self.covers(span, now) {
            return None;
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= span;
        let mut builds =
            self.sightings.iter().filter(|((name, _), at)| *name == service && is_recent(**at));
        let ((_, build), _) = builds.next()?;
        builds.next().is_none().then_some(*build)
    }

    /// Services with only one build for the whole span before `now`.
    pub fn services_with_sole_build(&self, span: Duration, now: Instant) -> IndexSet<NameKey> {
        let services: IndexSet<NameKey> =
            self.sightings.keys().map(|(service, _)| *service).collect();
        let is_sole = |service: &NameKey| self.sole_build(*service, span, now).is_some();
        services.into_iter().filter(is_sole).collect()
    }
}

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
const MAX_LISTING_GAP: Duration = Duration::from_secs(20);
/// Age of a peer's listing above which its notices say nothing about the present.
const MAX_NOTICE_AGE_MS: u32 = 3_000;

/// A build of a service.
type ServiceBuild = (NameKey, BuildKey);

/// A build that was registered, as reported to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SightingNotice {
    /// Key of the service's name.
    pub service: NameKey,
    /// Build.
    pub build: BuildKey,
    /// Milliseconds since it may last have been registered.
    pub age_ms: u32,
}

/// What a process knows of the builds that were registered, as reported to peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerNotice {
    /// Milliseconds for which the sightings are complete.
    pub span_ms: u32,
    /// Milliseconds since the sender's last listing was read.
    pub listing_age_ms: u32,
    /// Sightings.
    pub sightings: Vec<SightingNotice>,
}

/// Builds by service, and until when each may have been registered.
#[derive(Debug, Default)]
pub struct BuildLedger {
    /// Builds of the last listing.
    current: IndexSet<ServiceBuild>,
    /// Other builds, with the time at which a listing first lacked them.
    past: IndexMap<ServiceBuild, Instant>,
    /// Since when no build can be missing.
    complete_since: Option<Instant>,
    /// When the last listing was read.
    listed: Option<Instant>,
    /// The same, without what peers have confirmed: their messages may have waited in a queue.
    read: Option<Instant>,
    /// What others reported before the first listing: since when their sightings are complete, and when they
    /// reported it.
    reported: Option<(Instant, Instant)>,
}

impl BuildLedger {
    /// The ledger of a process that starts with a new fleet: there were no streams before.
    pub fn of_new_fleet(now: Instant) -> BuildLedger {
        let since = now.checked_sub(SIGHTING_LIFETIME).unwrap_or(now);
        BuildLedger { reported: Some((since, now)), ..BuildLedger::default() }
    }

    /// Records a listing that was read at `read_at`. Builds that it lacks may have been registered until then.
    pub fn record_listing<'a, T>(&mut self, targets: T, read_at: Instant)
    where
        T: Iterator<Item = &'a ListedTarget>,
    {
        let is_recent = |at: Instant| read_at.saturating_duration_since(at) <= MAX_LISTING_GAP;
        if !self.listed.is_some_and(is_recent) {
            let reported = self.reported.take().filter(|(_, reported)| is_recent(*reported));
            self.complete_since = Some(reported.map_or(read_at, |(since, _)| since.min(read_at)));
        }
        self.listed = self.listed.max(Some(read_at));
        self.read = self.read.max(Some(read_at));
        let builds = targets
            .map(|listed| (name_key(&listed.service), build_key(&listed.service, &listed.build)));
        let before = std::mem::replace(&mut self.current, builds.collect());
        self.past.extend(before.into_iter().map(|one| (one, read_at)));
        let current = &self.current;
        self.past.retain(|one, until| {
            !current.contains(one) && read_at.saturating_duration_since(*until) < SIGHTING_LIFETIME
        });
    }

    /// Records that the last listing was still the same at `read_at`.
    pub fn confirm(&mut self, read_at: Instant) {
        self.listed = self.listed.map(|listed| listed.max(read_at));
    }

    /// Adds what is known from elsewhere: sightings that are complete for a span of time before `now`.
    pub fn merge(&mut self, notice: &LedgerNotice, now: Instant) {
        let before = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into()));
        for SightingNotice { service, build, age_ms } in &notice.sightings {
            let (Some(until), one) = (before(*age_ms), (*service, *build)) else { continue };
            if !self.current.contains(&one) {
                let last = self.past.entry(one).or_insert(until);
                *last = until.max(*last);
            }
        }
        if notice.listing_age_ms > MAX_NOTICE_AGE_MS {
            return;
        }
        let Some(since) = before(notice.span_ms) else { return };
        match &mut self.complete_since {
            Some(known) => *known = since.min(*known),
            // Only listings show the builds that come after the notice.
            None => {
                let earliest = self.reported.map_or(since, |(reported, _)| reported.min(since));
                self.reported = Some((earliest, now));
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
        let notice = LedgerNotice { span_ms, listing_age_ms: 0, sightings: sightings.collect() };
        self.merge(&notice, now);
    }

    /// Whether the sightings are complete for a span of time before `now`.
    pub fn covers(&self, span: Duration, now: Instant) -> bool {
        span < SIGHTING_LIFETIME
            && self.complete_since.is_some_and(|since| now.saturating_duration_since(since) >= span)
    }

    /// What is known, for a peer. `None` before the first listing.
    pub fn notice(&self, now: Instant) -> Option<LedgerNotice> {
        let age = |at: Instant| {
            u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX)
        };
        let current = self.current.iter().map(|one| (one, 0));
        let past = self.past.iter().map(|(one, until)| (one, age(*until)));
        let sightings = current.chain(past).map(|((service, build), age_ms)| SightingNotice {
            service: *service,
            build: *build,
            age_ms,
        });
        Some(LedgerNotice {
            span_ms: age(self.complete_since?),
            listing_age_ms: age(self.listed?),
            sightings: sightings.collect(),
        })
    }

    /// Whether a listing has been read since a point of time.
    pub fn is_read_since(&self, time: Instant) -> bool {
        self.read.is_some_and(|read| read >= time)
    }

    /// Builds of a service that were registered within the span before `now`, as far as known.
    fn recent_builds(
        &self,
        service: NameKey,
        span: Duration,
        now: Instant,
    ) -> impl Iterator<Item = BuildKey> {
        let is_recent = move |until: &Instant| now.saturating_duration_since(*until) <= span;
        let past = self.past.iter().filter(move |(_, until)| is_recent(until)).map(|(one, _)| one);
        let builds = self.current.iter().chain(past).filter(move |(name, _)| *name == service);
        builds.map(|(_, build)| *build)
    }

    /// One of a service's builds, if it has had several within the span before `now`.
    pub fn one_of_several(
        &self,
        service: NameKey,
        span: Duration,
        now: Instant,
    ) -> Option<BuildKey> {
        self.recent_builds(service, span, now).nth(1)
    }

    /// The build that was the only one of a service for the whole span before `now`.
    pub fn sole_build(&self, service: NameKey, span: Duration, now: Instant) -> Option<BuildKey> {
        if !self.covers(span, now) {
            return None;
        }
        let mut builds = self.recent_builds(service, span, now);
        let build = builds.next()?;
        builds.next().is_none().then_some(build)
    }

    /// Services with only one build for the whole span before `now`.
    pub fn services_with_sole_build(&self, span: Duration, now: Instant) -> IndexSet<NameKey> {
        let services: IndexSet<NameKey> =
            self.current.iter().map(|(service, _)| *service).collect();
        let is_sole = |service: &NameKey| self.sole_build(*service, span, now).is_some();
        services.into_iter().filter(is_sole).collect()
    }
}

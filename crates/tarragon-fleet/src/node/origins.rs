//! Which build began a stream: records of this process and of its peers, and the builds that were registered.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{
    build::history::BuildHistory,
    digest::{NameKey, name_key},
    ledger::BuildLedger,
    node::FleetNode,
    origin::{OriginAnswer, OriginMessage, OriginQuery, OriginSource, StreamKey},
    prelude::*,
};

/// Peers that keep the record of a stream, besides the process that passes it on.
const RECORD_OWNERS: usize = 3;
/// Peers that are asked for a stream's build: more than its owners, since not all processes know the same peers.
const QUERIED_PEERS: usize = 8;
/// Shortest time for which a stream may be taken up, whatever the route says now: its timeout may have been
/// shortened since the stream began.
const MIN_STREAM_TIME: Duration = Duration::from_secs(12);
/// Time by which the end of a build's registrations may be later than its last stream began: processes hear late
/// of it.
const SIGHTING_MARGIN: Duration = Duration::from_secs(3);
/// Time before now for which a process should know which builds were registered.
const HISTORY_SPAN: Duration = Duration::from_secs(18);
/// Time after its start in which a process tells its peers which builds it knows to have been registered.
const LEDGER_REPORT_TIME: Duration = Duration::from_secs(10);
/// Number of ticks between two such reports.
const LEDGER_REPORT_TICKS: u32 = 5;

/// Time before now in which only one build may have been registered if it is to be the one that began a stream.
pub fn stream_span(route: &CallRoute) -> Duration {
    route.timeout.max(MIN_STREAM_TIME) + SIGHTING_MARGIN
}

impl FleetNode {
    /// Records that targets of a build began a stream, and announces it to a few peers unless the build is the only
    /// one. Returns whether messages are queued.
    pub fn record_origin(
        &mut self,
        now: Instant,
        call: &RoutedCall,
        stream: StreamKey,
        build: BuildKey,
    ) -> bool {
        self.origins.record(stream, build, true, now);
        let span = stream_span(&call.route);
        if self.sole_build(name_key(&call.service), span, now).is_some() {
            return false;
        }
        self.announce_origin(stream, build);
        true
    }

    fn announce_origin(&mut self, stream: StreamKey, build: BuildKey) {
        for owner in self.members.ranked(stream, RECORD_OWNERS) {
            self.origins.announce(owner, stream, build);
        }
    }

    /// What this process knows of the build that began a stream. A sole build is a claim: others may have joined
    /// since the last listing was read.
    pub fn find_origin(
        &self,
        now: Instant,
        service: NameKey,
        stream: Option<StreamKey>,
        span: Duration,
    ) -> Option<(BuildKey, OriginSource)> {
        let record = stream.and_then(|stream| self.origins.get(stream));
        let record = record.map(|build| (build, OriginSource::Record));
        let several = || {
            let build = self.builds.one_of_several(service, span, now)?;
            Some((build, OriginSource::SeveralBuilds))
        };
        let sole = || Some((self.sole_build(service, span, now)?, OriginSource::SoleBuild));
        record.or_else(several).or_else(sole)
    }

    /// Whether a listing has been read from the store since a point of time.
    pub fn has_listed_since(&self, time: Instant) -> bool {
        self.builds.is_read_since(time)
    }

    /// The only build of a service within a span of time. A process that hears neither from the store nor from
    /// most of its peers can't tell.
    fn sole_build(&self, service: NameKey, span: Duration, now: Instant) -> Option<BuildKey> {
        let age = self.directory.age(now)?;
        let in_touch = age <= SIGHTING_MARGIN || self.members.hears_most();
        self.builds.sole_build(service, span, now).filter(|_| in_touch)
    }

    /// Whether this process has a listing, but may not know all builds that were registered while the oldest
    /// streams began.
    pub fn lacks_builds(&self, now: Instant) -> bool {
        self.directory.age(now).is_some() && !self.builds.covers(HISTORY_SPAN, now)
    }

    /// Adds the builds that the store's history shows.
    pub fn merge_build_history(&mut self, now: Instant, history: &BuildHistory) {
        self.update_builds(now, |builds| builds.merge_history(history, now));
    }

    /// Whether this process started so recently that streams from before its start may still be taken up.
    pub fn may_lack_records(&self, span: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.started) < span
    }

    /// Records what a peer's record of a stream says.
    pub fn learn_origin(&mut self, now: Instant, stream: StreamKey, build: BuildKey) {
        self.origins.record(stream, build, false, now);
    }

    /// Announces the streams that began while this process had yet to meet its peers.
    pub(super) fn announce_early_origins(&mut self, now: Instant) {
        if !self.is_settled && !self.is_settling(now) {
            self.is_settled = true;
            self.announce_own();
        }
    }

    /// Peers that may know which build began a stream, the most likely first.
    pub fn origin_peers(&self, stream: StreamKey) -> Vec<SocketAddr> {
        self.members.ranked(stream, QUERIED_PEERS)
    }

    /// Removes and returns the messages that are queued for peers.
    pub fn take_origin_messages(&mut self) -> Vec<(SocketAddr, OriginMessage)> {
        self.origins.take_messages()
    }

    /// Handles a message from a peer. Returns the answer to a query.
    pub fn receive_origin(
        &mut self,
        now: Instant,
        message: OriginMessage,
    ) -> Option<OriginMessage> {
        match message {
            OriginMessage::Began(begun) => {
                for stream in begun.streams {
                    self.origins.record(stream, begun.build, false, now);
                }
                None
            }
            OriginMessage::Query(query) => {
                let OriginQuery { id, stream, service, span_ms } = query;
                let span = Duration::from_millis(span_ms.into());
                let found = self.find_origin(now, service, stream, span);
                Some(OriginMessage::Answer(OriginAnswer { id, stream, found }))
            }
            // Answers go to the query that waits for them.
            OriginMessage::Answer(_) => None,
            OriginMessage::Builds(notice) => {
                self.update_builds(now, |builds| builds.merge(&notice, now));
                None
            }
        }
    }

    /// Which builds this process knows to have been registered, for a peer that has just started.
    pub fn ledger_message(&self, now: Instant) -> Option<OriginMessage> {
        self.builds.notice(now).map(OriginMessage::Builds)
    }

    /// Which builds were registered before this process started, for peers that have started with it and may not
    /// read the store.
    pub fn next_ledger_report(&mut self, now: Instant) -> Option<OriginMessage> {
        if now.saturating_duration_since(self.started) > LEDGER_REPORT_TIME {
            return None;
        }
        self.ledger_ticks = self.ledger_ticks.wrapping_add(1);
        let is_due = self.ledger_ticks.is_multiple_of(LEDGER_REPORT_TICKS);
        is_due.then(|| self.ledger_message(now)).flatten()
    }

    /// Records the builds of a new listing.
    pub(super) fn record_builds(&mut self, listing: &TargetListing, read_at: Instant) {
        self.update_builds(read_at, |builds| {
            builds.record_listing(listing.targets.iter(), read_at);
        });
    }

    /// Changes what is known of the registered builds. If a service has a second build now, peers are told of the
    /// streams that the first one began.
    fn update_builds<W>(&mut self, now: Instant, work: W)
    where
        W: FnOnce(&mut BuildLedger),
    {
        let span = MIN_STREAM_TIME + SIGHTING_MARGIN;
        let before = self.builds.services_with_sole_build(span, now);
        work(&mut self.builds);
        let after = self.builds.services_with_sole_build(span, now);
        if before.is_subset(&after) {
            return;
        }
        tracing::info!("a service has a second build; announcing which build began the streams");
        self.announce_own();
    }

    fn announce_own(&mut self) {
        let own: Vec<(StreamKey, BuildKey)> = self.origins.own().collect();
        for (stream, build) in own {
            self.announce_origin(stream, build);
        }
    }
}

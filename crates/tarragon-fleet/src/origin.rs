//! Records of which build began each stream. The process that passes on the first event tells a few peers, chosen
//! by the stream's key, so that any process can find out when the caller takes the stream up elsewhere.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::{digest::NameKey, hash::hash_texts, ledger::LedgerNotice, prelude::*};

/// Time for which a record is kept: longer than a caller waits for one answer.
const RECORD_LIFETIME: Duration = Duration::from_secs(60);
/// Most records.
const MAX_RECORDS: usize = 1 << 16;
/// Most streams in one datagram.
const MAX_ANNOUNCED_STREAMS: usize = 800;

/// Identifies a stream by its caller's workspace, its service and the tag of the transmission that brought its
/// first event. Callers of other workspaces can't name it.
pub type StreamKey = u64;

/// Computes the key of a stream.
pub fn stream_key(workspace: Option<&str>, service: &str, tag: &str) -> StreamKey {
    hash_texts(&[workspace.unwrap_or(""), service, tag])
}

/// Streams that one build began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BuildStreams {
    /// Build.
    pub build: BuildKey,
    /// Streams.
    pub streams: Vec<StreamKey>,
}

/// Asks a peer which build began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuery {
    /// Number of the query at its sender.
    pub id: u64,
    /// Stream; `None` if the caller doesn't name it.
    pub stream: Option<StreamKey>,
    /// Key of the service's name.
    pub service: NameKey,
    /// Milliseconds for which one build must have been the only one, if the peer has no record.
    pub span_ms: u32,
}

/// Answers a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// Number of the query.
    pub id: u64,
    /// Stream of the query.
    pub stream: Option<StreamKey>,
    /// Build that began it, and how the peer knows.
    pub found: Option<(BuildKey, OriginSource)>,
}

/// How a process knows which build began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginSource {
    /// It has a record.
    Record,
    /// No other build was registered for long enough.
    SoleBuild,
    /// It doesn't know; several builds were registered, and the one named is any of them.
    SeveralBuilds,
}

impl OriginSource {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            OriginSource::Record => "record",
            OriginSource::SoleBuild => "sole_build",
            OriginSource::SeveralBuilds => "several_builds",
        }
    }
}

/// Least share of the asked peers, as its divisor, that must have answered before a build without a record counts as
/// the only one: a few processes may be cut off together.
const ANSWERED_DIVISOR: usize = 3;

/// What a process and the peers that it asks know of the build that began a stream.
#[derive(Debug)]
pub struct OriginPoll {
    asked: usize,
    answered: usize,
    record: Option<BuildKey>,
    sole_builds: IndexSet<BuildKey>,
    is_confirmed: bool,
    knows_several: bool,
}

impl OriginPoll {
    /// A poll of some peers by a process that has this knowledge itself.
    pub fn new(own: Option<(BuildKey, OriginSource)>, asked: usize) -> OriginPoll {
        let mut poll = OriginPoll {
            asked,
            answered: 0,
            record: None,
            sole_builds: IndexSet::new(),
            is_confirmed: false,
            knows_several: false,
        };
        poll.take(own);
        poll
    }

    /// Adds the answer of a peer.
    pub fn add(&mut self, found: Option<(BuildKey, OriginSource)>) {
        self.answered += 1;
        self.is_confirmed |= matches!(found, Some((_, OriginSource::SoleBuild)));
        self.take(found);
    }

    fn take(&mut self, found: Option<(BuildKey, OriginSource)>) {
        match found {
            Some((build, OriginSource::Record)) => self.record = self.record.or(Some(build)),
            Some((build, OriginSource::SoleBuild)) => {
                self.sole_builds.insert(build);
            }
            Some((_, OriginSource::SeveralBuilds)) => self.knows_several = true,
            None => {}
        }
    }

    /// Whether answers are still to come.
    pub fn is_open(&self) -> bool {
        self.record.is_none() && self.answered < self.asked
    }

    /// The build, if somebody has a record of the stream.
    pub fn recorded(&self) -> Option<BuildKey> {
        self.record
    }

    /// The build that some take for the only one and nobody contradicts.
    pub fn claimed_build(&self) -> Option<BuildKey> {
        let build = self.sole_builds.first().copied();
        build.filter(|_| self.sole_builds.len() == 1 && !self.knows_several)
    }

    /// The build that was the only one. Since others may have joined after this process has read its listing, peers
    /// have to say so.
    pub fn sole_build(&self) -> Option<BuildKey> {
        let is_heard = self.is_confirmed && self.answered * ANSWERED_DIVISOR >= self.asked;
        self.claimed_build().filter(|_| is_heard)
    }
}

/// Messages about the builds of streams, each in one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginMessage {
    /// Streams that the sender has begun to pass on.
    Began(BuildStreams),
    /// A query.
    Query(OriginQuery),
    /// The answer to a query.
    Answer(OriginAnswer),
    /// Builds that the sender knows to have been registered.
    Builds(LedgerNotice),
}

impl OriginMessage {
    /// Encodes the message as a datagram.
    pub fn to_bytes(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes a datagram.
    pub fn from_bytes(bytes: &[u8]) -> Result<OriginMessage, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

#[derive(Debug, Clone, Copy)]
struct OriginRecord {
    build: BuildKey,
    /// Whether this process has passed the stream on.
    is_own: bool,
    recorded: Instant,
}

/// Records of streams, and those that are yet to be announced to peers.
#[derive(Debug, Default)]
pub struct OriginTable {
    records: IndexMap<StreamKey, OriginRecord>,
    /// Streams in the order in which they were recorded.
    order: VecDeque<(Instant, StreamKey)>,
    unannounced: IndexMap<SocketAddr, IndexMap<BuildKey, Vec<StreamKey>>>,
}

impl OriginTable {
    /// Build that began a stream.
    pub fn get(&self, stream: StreamKey) -> Option<BuildKey> {
        self.records.get(&stream).map(|record| record.build)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records a stream. The build of a known stream stays: only one can have begun it.
    pub fn record(&mut self, stream: StreamKey, build: BuildKey, is_own: bool, now: Instant) {
        self.expire(now);
        let record = OriginRecord { build, is_own, recorded: now };
        let known = self.records.entry(stream).or_insert(record);
        if known.build != build {
            tracing::warn!(
                stream,
                build,
                known = known.build,
                "conflicting builds are reported for a stream"
            );
            return;
        }
        known.is_own |= is_own;
        known.recorded = now;
        self.order.push_back((now, stream));
    }

    fn expire(&mut self, now: Instant) {
        while let Some((recorded, stream)) = self.order.front().copied() {
            let is_old = now.saturating_duration_since(recorded) > RECORD_LIFETIME;
            if !is_old && self.order.len() < MAX_RECORDS {
                return;
            }
            self.order.pop_front();
            // A stream that was taken up is in the order once more.
            if self.records.get(&stream).is_some_and(|record| record.recorded == recorded) {
                self.records.swap_remove(&stream);
            }
        }
    }

    /// Streams that this process has passed on, with their builds.
    pub fn own(&self) -> impl Iterator<Item = (StreamKey, BuildKey)> {
        let own = self.records.iter().filter(|(_, record)| record.is_own);
        own.map(|(stream, record)| (*stream, record.build))
    }

    /// Queues a stream to be announced to a peer.
    pub fn announce(&mut self, peer: SocketAddr, stream: StreamKey, build: BuildKey) {
        self.unannounced.entry(peer).or_default().entry(build).or_default().push(stream);
    }

    /// Removes and returns the messages that are queued.
    pub fn take_messages(&mut self) -> Vec<(SocketAddr, OriginMessage)> {
        let mut messages = Vec::new();
        for (peer, builds) in self.unannounced.drain(..) {
            for (build, streams) in builds {
                for part in streams.chunks(MAX_ANNOUNCED_STREAMS) {
                    let streams = BuildStreams { build, streams: part.to_vec() };
                    messages.push((peer, OriginMessage::Began(streams)));
                }
            }
        }
        messages
    }
}

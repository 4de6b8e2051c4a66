//! What peers tell of their load: shed floors and the division of deployment-wide limits.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tarragon_protocol::peer::PeerIdentity;

use crate::prelude::*;

/// A floor of a peer is held this long after it was last heard.
pub const FLOOR_HOLD: Duration = Duration::from_secs(3);

/// A tier above the lowest that waits here is shed only after its floor was announced for this long.
pub const FLOOR_NOTICE: Duration = Duration::from_millis(250);

/// Fill of the queue above which the floor is announced, and below which it is withdrawn.
const NEAR_BOUND: f64 = 0.75;
const RELAXED: f64 = 0.5;

/// A peer's demand counts for this long; after that the peer counts with the mean demand.
const DEMAND_LIFETIME: Duration = Duration::from_secs(10);

/// Part of each limit that is divided equally. The rest follows demand. With the equal part, a process
/// without recent demand can still start at once.
const EQUAL_PART: f64 = 0.5;

#[derive(Debug)]
struct PeerState {
    /// When each tier was last announced as floor.
    floors: [Option<Instant>; Tier::COUNT],
    waiting: u32,
    heard: Instant,
}

/// Floors held, the own floor and peers' demand.
#[derive(Debug)]
pub struct PressureTable {
    peers: IndexMap<PeerIdentity, PeerState>,
    own: Tier,
    /// When the own floor last changed.
    announced: Option<Instant>,
}

impl Default for PressureTable {
    /// Nothing is known and nothing is shed.
    fn default() -> PressureTable {
        PressureTable { peers: IndexMap::new(), own: Tier::Routine, announced: None }
    }
}

impl PressureTable {
    /// Takes a peer's digest. A lower floor doesn't replace a higher one that was heard within the hold
    /// time, since digests may overtake each other.
    pub fn take(&mut self, pressure: PeerPressure) {
        let state = self.peers.entry(pressure.peer).or_insert(PeerState {
            floors: [None; Tier::COUNT],
            waiting: 0,
            heard: pressure.heard,
        });
        let floor = &mut state.floors[pressure.shed_floor.index()];
        *floor = Some(floor.map_or(pressure.heard, |known| known.max(pressure.heard)));
        if pressure.heard >= state.heard {
            state.heard = pressure.heard;
            state.waiting =
                pressure.waiting.iter().fold(0, |sum, count| sum.saturating_add(*count));
        }
    }

    /// The peer no longer counts.
    pub fn forget(&mut self, peer: &PeerIdentity) {
        self.peers.swap_remove(peer);
    }

    /// Floor that this process announces.
    pub fn own_floor(&self) -> Tier {
        self.own
    }

    /// Number of peers.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Highest floor held, of peers and the own one.
    pub fn floor(&self, now: Instant) -> Tier {
        let held = |state: &PeerState| {
            Tier::DESCENDING.into_iter().find(|tier| {
                state.floors[tier.index()]
                    .is_some_and(|heard| now.saturating_duration_since(heard) < FLOOR_HOLD)
            })
        };
        let peers = self.peers.values().filter_map(held).max().unwrap_or(Tier::Routine);
        peers.max(self.own)
    }

    /// Adapts the own floor to the fill of the queue. Returns the floor if it must be announced.
    ///
    /// The floor is the lowest tier that waits: this is what would be shed next, so peers should start
    /// nothing below it.
    pub fn adapt(&mut self, fill: f64, lowest: Option<Tier>, now: Instant) -> Option<Tier> {
        let wanted = match lowest {
            Some(lowest) if fill >= NEAR_BOUND => lowest.max(self.own),
            _ if fill >= RELAXED => self.own,
            _ => Tier::Routine,
        };
        (wanted != self.own).then(|| {
            self.own = wanted;
            self.announced = Some(now);
            wanted
        })
    }

    /// Raises the own floor to a tier that is about to be shed. Returns the floor if it must be
    /// announced.
    pub fn raise(&mut self, tier: Tier, now: Instant) -> Option<Tier> {
        (tier > self.own).then(|| {
            self.own = tier;
            self.announced = Some(now);
            tier
        })
    }

    /// Whether requests of a tier may be shed though lower ones may still wait here.
    pub fn may_shed(&self, tier: Tier, now: Instant) -> bool {
        let noticed = |announced| now.saturating_duration_since(announced) >= FLOOR_NOTICE;
        self.own >= tier && self.announced.is_some_and(noticed)
    }

    /// This process's part of deployment-wide limits, given its own waiting requests.
    pub fn share(&self, own_waiting: u32, now: Instant) -> f64 {
        if self.peers.is_empty() {
            return 1.0;
        }
        let processes = (self.peers.len() + 1) as f64;
        let own = f64::from(own_waiting) + 1.0;
        let mut heard = own;
        let mut count = 1.0;
        for state in self.peers.values() {
            if now.saturating_duration_since(state.heard) <= DEMAND_LIFETIME {
                heard += f64::from(state.waiting) + 1.0;
                count += 1.0;
            }
        }
        let total = heard * processes / count;
        EQUAL_PART / processes + (1.0 - EQUAL_PART) * own / total
    }
}

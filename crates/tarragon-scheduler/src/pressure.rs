//! Load reported by peers: their shed floors, and their demand, by which deployment-wide limits are divided.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tarragon_protocol::peer::PeerIdentity;

use crate::prelude::*;

/// A peer's shed floor stays in effect for this long after it was last received.
pub const PEER_FLOOR_HOLD: Duration = Duration::from_secs(3);

/// This process keeps announcing a shed tier as its floor for this long: no process begins work of a lower
/// tier more than 2 s after another one shed a higher tier.
pub const OWN_FLOOR_HOLD: Duration = Duration::from_secs(2);

/// Fill level of the queue from which the floor is raised, and below which it is lowered again.
const FLOOR_RAISE_FILL: f64 = 0.75;
const FLOOR_DROP_FILL: f64 = 0.5;

/// A peer's reported demand counts for this long; after that the mean demand is assumed for the peer.
const DEMAND_LIFETIME: Duration = Duration::from_secs(10);

/// Fraction of each limit that is divided equally; the rest is divided by demand. The equal part lets a process
/// without recent demand start at once.
const EQUAL_FRACTION: f64 = 0.5;

#[derive(Debug)]
struct PeerState {
    /// When each tier was last announced as floor.
    floors: [Option<Instant>; Tier::COUNT],
    waiting: u32,
    received: Instant,
}

/// Shed floors of peers and of this process, and the peers' demand.
#[derive(Debug)]
pub struct PressureTable {
    peers: IndexMap<PeerIdentity, PeerState>,
    own_floor: Tier,
    /// When each tier was last shed here.
    shed: [Option<Instant>; Tier::COUNT],
}

impl Default for PressureTable {
    /// No peers are known and nothing is shed.
    fn default() -> PressureTable {
        PressureTable {
            peers: IndexMap::new(),
            own_floor: Tier::Routine,
            shed: [None; Tier::COUNT],
        }
    }
}

impl PressureTable {
    /// Records a peer's digest. A lower floor doesn't replace a higher one received within the hold time,
    /// since digests may overtake each other.
    pub fn record(&mut self, pressure: PeerPressure) {
        let state = self.peers.entry(pressure.peer).or_insert(PeerState {
            floors: [None; Tier::COUNT],
            waiting: 0,
            received: pressure.received,
        });
        let floor = &mut state.floors[pressure.shed_floor.index()];
        *floor = Some(floor.map_or(pressure.received, |known| known.max(pressure.received)));
        if pressure.received >= state.received {
            state.received = pressure.received;
            state.waiting =
                pressure.waiting.iter().fold(0, |sum, count| sum.saturating_add(*count));
        }
    }

    /// Removes a peer.
    pub fn forget(&mut self, peer: &PeerIdentity) {
        self.peers.swap_remove(peer);
    }

    /// Shed floor that this process announces.
    pub fn own_floor(&self) -> Tier {
        self.own_floor
    }

    /// Number of peers.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Highest floor in effect, of the peers and of this process.
    pub fn floor(&self, now: Instant) -> Tier {
        let held = |state: &PeerState| highest_within(&state.floors, PEER_FLOOR_HOLD, now);
        let peers = self.peers.values().map(held).max().unwrap_or(Tier::Routine);
        peers.max(self.own_floor)
    }

    /// Updates this process's floor from the fill level of the queue. Returns the floor if it must be
    /// announced.
    ///
    /// The floor is the lowest tier that waits: this is what would be shed next, so peers should start
    /// nothing below it. It is announced while a quarter of the queue is still free, so that peers hold
    /// it before the first request is shed. It is never below a tier that was shed a short time ago.
    pub fn update_own_floor(
        &mut self,
        fill: f64,
        lowest: Option<Tier>,
        now: Instant,
    ) -> Option<Tier> {
        let by_fill = match lowest {
            Some(lowest) if fill >= FLOOR_RAISE_FILL => lowest.max(self.own_floor),
            _ if fill >= FLOOR_DROP_FILL => self.own_floor,
            _ => Tier::Routine,
        };
        let shed = highest_within(&self.shed, OWN_FLOOR_HOLD, now);
        self.set_own_floor(by_fill.max(shed))
    }

    /// Records that a request of a tier is being shed. Returns the floor if it must be announced.
    pub fn record_shed(&mut self, tier: Tier, now: Instant) -> Option<Tier> {
        self.shed[tier.index()] = Some(now);
        self.set_own_floor(tier.max(self.own_floor))
    }

    fn set_own_floor(&mut self, floor: Tier) -> Option<Tier> {
        (floor != self.own_floor).then(|| {
            self.own_floor = floor;
            floor
        })
    }

    /// Fraction of the deployment-wide limits that this process may grant, given its own waiting requests.
    pub fn share(&self, own_waiting: u32, now: Instant) -> f64 {
        if self.peers.is_empty() {
            return 1.0;
        }
        let processes = (self.peers.len() + 1) as f64;
        let own = f64::from(own_waiting) + 1.0;
        let mut demand = own;
        let mut count = 1.0;
        for state in self.peers.values() {
            if now.saturating_duration_since(state.received) <= DEMAND_LIFETIME {
                demand += f64::from(state.waiting) + 1.0;
                count += 1.0;
            }
        }
        let total = demand * processes / count;
        EQUAL_FRACTION / processes + (1.0 - EQUAL_FRACTION) * own / total
    }
}

/// Highest tier whose time is within `hold`; the lowest tier if there is none.
fn highest_within(times: &[Option<Instant>; Tier::COUNT], hold: Duration, now: Instant) -> Tier {
    let within = |time: Instant| now.saturating_duration_since(time) < hold;
    Tier::DESCENDING
        .into_iter()
        .find(|tier| times[tier.index()].is_some_and(within))
        .unwrap_or(Tier::Routine)
}

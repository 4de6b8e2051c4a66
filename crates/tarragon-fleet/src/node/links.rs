//! Links of this process to targets, and the peers that carry attempts over their own.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{
    digest::name_key,
    link::{ConnectFault, LinkTable, LossCause, PeerFinding},
    node::FleetNode,
    prelude::*,
};

/// What a process tells its peers about carrying attempts for them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayOffer {
    /// Whether it takes attempts.
    pub is_open: bool,
    /// Attempts of peers that it carries.
    pub carried: u16,
    /// Links to targets that it has lost.
    pub lost_links: u16,
}

/// A peer that may carry an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayCandidate {
    /// Address at which it receives digests.
    pub peer: SocketAddr,
    /// Attempts of peers that it carried at its last digest.
    pub carried: u16,
}

impl FleetNode {
    /// The links to targets.
    pub fn links(&self) -> &LinkTable {
        &self.links
    }

    /// Sets whether this process takes attempts of peers.
    pub fn open_relay(&mut self) {
        self.relay_offer.is_open = true;
    }

    /// Sets how many attempts of peers this process carries.
    pub fn set_carried(&mut self, carried: usize) {
        self.relay_offer.carried = u16::try_from(carried).unwrap_or(u16::MAX);
    }

    /// Whether this process takes attempts of peers now.
    pub fn takes_relays(&self, now: Instant) -> bool {
        self.relay_offer.is_open && !self.draining && !self.is_settling(now)
    }

    /// What the next digest tells of carrying attempts.
    pub(super) fn next_relay_offer(&self, now: Instant) -> RelayOffer {
        RelayOffer {
            is_open: self.takes_relays(now),
            carried: self.relay_offer.carried,
            lost_links: u16::try_from(self.links.lost_count()).unwrap_or(u16::MAX),
        }
    }

    /// Whether an attempt at a target has to go over a peer, because the link is lost or probably is.
    pub fn avoids_link(&mut self, target: &TargetName, now: Instant) -> bool {
        if self.links.is_doubtful(target) {
            self.record_link_loss(target, LossCause::Presumed, now);
        }
        self.links.is_lost(target)
    }

    /// Records that a target has answered over a connection of this process.
    pub fn record_link_contact(&mut self, target: &TargetName, now: Instant) {
        if self.directory.get(target).is_some() {
            self.links.record_contact(target, now);
        }
    }

    /// Records that a connection to a target has been made.
    pub fn record_link_connection(&mut self, target: &TargetName, now: Instant) {
        if self.directory.get(target).is_none() {
            return;
        }
        if let Some(lost) = self.links.record_connection(target, now) {
            tracing::info!(
                target_address = &**target,
                lost_ms = lost.as_millis() as u64,
                still_lost = self.links.lost_count(),
                "link to the target is back"
            );
        }
    }

    /// Records that a connection to a target could not be made.
    pub fn record_link_failure(&mut self, target: &TargetName, now: Instant) {
        if self.directory.get(target).is_some() {
            self.links.record_failure(target, now);
        }
    }

    /// Records what peers told of a process of a target to which this process could not connect.
    pub fn record_peer_finding(
        &mut self,
        target: &TargetName,
        restart: RestartId,
        finding: PeerFinding,
        now: Instant,
    ) {
        if self.directory.get(target).is_some() {
            self.links.record_finding(target, restart, finding, now);
        }
    }

    /// What peers told of a target, with its age, if they need not be asked again after a connection has failed.
    pub fn peer_finding(
        &self,
        target: &TargetName,
        fault: ConnectFault,
        now: Instant,
    ) -> Option<(PeerFinding, Duration)> {
        let restart = self.directory.get(target)?.restart_id;
        self.links.known_finding(target, restart, fault, now)
    }

    /// Records that a peer reaches a target that this process doesn't. Returns whether the link was not known to
    /// be lost.
    pub fn record_link_loss(
        &mut self,
        target: &TargetName,
        cause: LossCause,
        now: Instant,
    ) -> bool {
        // Peers may tell of a target that has been removed meanwhile.
        if self.directory.get(target).is_none() {
            return false;
        }
        let is_new = self.links.record_loss(target, now);
        if is_new {
            tracing::warn!(
                target_address = &**target,
                cause = cause.name(),
                lost = self.links.lost_count(),
                "link to the target is lost"
            );
        }
        is_new
    }

    /// The lost links to probe now.
    pub fn take_link_probes(&mut self, now: Instant) -> Vec<TargetName> {
        self.links.take_due_probes(now)
    }

    /// The peers that fit best to carry an attempt: with all links, with the same configuration, and near. With
    /// `prefers_far`, those of other data centres come first: near ones may share the loss of links.
    pub fn relay_candidates<S>(&self, prefers_far: bool, is_skipped: S) -> Vec<RelayCandidate>
    where
        S: Fn(&SocketAddr) -> bool,
    {
        let own_centre = name_key(&self.settings.data_centre);
        let evacuated: Vec<_> =
            self.operator_state.evacuated.iter().map(|name| name_key(name)).collect();
        let version = self.operator_state.version();
        let open = self.members.present().filter(|(address, member)| {
            let digest = &member.digest;
            digest.relay.is_open && !evacuated.contains(&digest.data_centre) && !is_skipped(address)
        });
        let ranked = open.map(|(address, member)| {
            let digest = &member.digest;
            let rank = (
                digest.relay.lost_links > 0,
                digest.operator_version != version,
                (digest.data_centre != own_centre) != prefers_far,
            );
            (rank, RelayCandidate { peer: *address, carried: digest.relay.carried })
        });
        let ranked = Vec::from_iter(ranked);
        let best = ranked.iter().map(|(rank, _)| *rank).min();
        let fitting = ranked.into_iter().filter(|(rank, _)| Some(*rank) == best);
        fitting.map(|(_, candidate)| candidate).collect()
    }
}

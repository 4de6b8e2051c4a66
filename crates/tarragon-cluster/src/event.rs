//! Events and actions of the cluster state machine.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tarragon_config::publication::Configuration;
use tarragon_protocol::{
    engine::EngineOrder,
    peer::{LoadEntry, PlannedOrder, VmListTransfer},
    platform::{ConfigurationManifest, PublishedTarget},
};

use crate::prelude::*;

/// Name and peer address of a process.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerAddress {
    /// Name of the VM.
    pub vm: VmName,
    /// IP address and port of its peer interface.
    pub address: String,
}

/// A call to the platform. Each is answered by exactly one [`ClusterEvent::PlatformAnswered`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformRead {
    /// Read the manifest now.
    Manifest,
    /// Wait for a manifest with a version above this one.
    WatchManifest(ConfigurationVersion),
    /// Read parts of a configuration, by name.
    Parts(Vec<String>),
    /// Read the VM list now.
    VmList,
    /// Wait for a VM list with a version above this one.
    WatchVmList(u64),
}

/// Result of a platform call.
#[derive(Debug, Clone, PartialEq)]
pub enum PlatformAnswer {
    /// The manifest.
    Manifest(ConfigurationManifest),
    /// Parts, by name, with their text.
    Parts(Vec<(String, Arc<str>)>),
    /// The VM list.
    VmList(VmList),
    /// A watch ended without a change.
    Unchanged,
    /// No usable answer.
    Failed(PlatformFault),
}

/// Why the platform gave no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformFault {
    /// No connection, or the connection broke.
    Unreachable,
    /// No answer in time.
    TimedOut,
    /// The call was refused because there are too many.
    Throttled,
    /// The answer could not be parsed.
    Malformed,
}

/// Something that happened outside the cluster state machine.
#[derive(Debug, Clone)]
pub enum ClusterEvent {
    /// Time has passed. `boot` is the boot clock, which counts suspended time. Expected every 100 ms; a
    /// longer gap of the boot clock shows that the process was paused.
    Tick {
        /// Boot clock.
        boot: Duration,
    },
    /// A digest with a valid signature arrived.
    GossipReceived(GossipDigest),
    /// An announcement with a valid signature arrived.
    AnnouncementReceived(PeerIdentity, PeerAnnouncement),
    /// A call to the platform has ended.
    PlatformAnswered(PlatformRead, PlatformAnswer),
    /// A peer answered a pull of its configuration.
    ConfigurationReceived(PeerAddress, ConfigurationTransfer),
    /// A peer answered a pull of its VM list.
    VmListReceived(PeerAddress, VmListTransfer),
    /// All orders that would bring the targets to the configured state, a pure function of the
    /// configuration of this version and of the targets' reports. Replaces earlier plans.
    OrdersPlanned(ConfigurationVersion, Vec<PlannedOrder>),
    /// A call to a peer failed.
    PeerUnreachable(PeerAddress),
    /// A poll of a target has ended, with its report or without an answer.
    TargetPolled(TargetName, Option<LoadReport>),
    /// The scheduler saw signs that a target has turned cold.
    TargetSuspectedCold(TargetName),
    /// The scheduler's pressure has changed; sent with the next digest.
    PressureChanged {
        /// Lowest tier admitted.
        shed_floor: Tier,
        /// Waiting requests by tier.
        waiting: [u32; Tier::COUNT],
    },
    /// The scheduler has a new finding about a request that may crash targets.
    SuspectFound(SuspectEntry),
    /// The lender granted or refused a slot.
    BorrowAnswered(PeerAddress, TargetName, Option<SlotGrant>),
    /// A request on a borrowed slot has ended.
    BorrowedSlotReleased(TargetName),
    /// The scheduler has a request for a target but no slot there.
    SlotNeeded(TargetName),
    /// An engine accepted (`true`) or refused an order.
    OrderAnswered(TargetName, bool),
    /// The process starts to shut down.
    DrainStarted,
    /// The successor in this entry now holds the ticket records of its owner.
    HandoverCompleted(SuccessorEntry),
}

/// This process's share of a target's capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotShare {
    /// Target.
    pub target: TargetName,
    /// Number of requests that this process may have in flight there.
    pub slots: u32,
    /// Number of concurrent requests that the target can run, from all processes together.
    pub capacity: u32,
    /// Whether the target counts as cold.
    pub cold: bool,
}

/// Something that the caller of the cluster state machine has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum ClusterAction {
    /// Send a digest.
    SendGossip(PeerAddress, Box<GossipDigest>),
    /// Send an announcement to each of these peers.
    SendAnnouncement(Vec<PeerAddress>, PeerAnnouncement),
    /// Call the platform.
    ReadPlatform(PlatformRead),
    /// Ask a peer for its configuration, naming the version that is known here.
    PullConfiguration(PeerAddress, ConfigurationVersion),
    /// Ask a peer for the changes of the VM list since this version.
    PullVmList(PeerAddress, u64),
    /// Ask a target for its load report.
    PollTarget(PublishedTarget),
    /// Ask a peer for a slot.
    BorrowSlot(PeerAddress, TargetName),
    /// Return a borrowed slot to its lender.
    ReturnSlot(PeerAddress, SlotGrant),
    /// Send an order to an engine.
    SendOrder(PublishedTarget, EngineOrder),
    /// A configuration became active.
    ConfigurationApplied(Arc<Configuration>),
    /// An invalid configuration was refused; the last valid one stays active.
    ConfigurationRefused(ConfigurationVersion, FindingList),
    /// All targets of this data centre, each with whether it may get new requests. Others are gone.
    TargetsChanged(Vec<(PublishedTarget, bool)>),
    /// The slots of this process at a target have changed.
    SlotsChanged(SlotShare),
    /// A newer load entry of a target, from an own poll or from a peer.
    LoadUpdated(LoadEntry),
    /// A peer sent its scheduler's pressure.
    PressureReceived {
        /// Peer.
        peer: PeerIdentity,
        /// Lowest tier that it admits.
        shed_floor: Tier,
        /// Its waiting requests by tier.
        waiting: [u32; Tier::COUNT],
    },
    /// A peer has gone down, was replaced, or may have changed during a pause: drop what is known of it.
    PeerForgotten(PeerIdentity),
    /// A peer sent a new finding about a request that may crash targets.
    SuspectReceived(SuspectEntry),
    /// Whether the load balancer should send requests to this process has changed.
    ReadyChanged(bool),
    /// Where new requests must be relayed because this data centre or this VM is out of service; `None`
    /// if they are served here.
    RelayChanged(Option<RelayTarget>),
}

/// Where to relay requests that can't be served here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayTarget {
    /// VMs to choose from, the preferred first.
    pub peers: Vec<PeerAddress>,
}

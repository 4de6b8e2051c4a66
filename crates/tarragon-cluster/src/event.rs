//! What the cluster state machine takes and returns.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tarragon_config::publication::Configuration;
use tarragon_protocol::{
    engine::EngineOrder,
    peer::{LoadEntry, PlannedOrder, VmListTransfer},
    platform::{ConfigurationManifest, PublishedTarget},
};

use crate::prelude::*;

/// A process that can be called.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerAddress {
    /// Name of the VM.
    pub vm: VmName,
    /// IP address and port of its peer interface.
    pub address: String,
}

/// A call of the platform. Each is answered by [`ClusterEvent::PlatformAnswered`], once.
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
    /// The answer can't be read.
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
    /// A digest arrived and its seal was valid.
    GossipReceived(GossipDigest),
    /// An announcement arrived and its seal was valid.
    AnnouncementReceived(PeerIdentity, PeerAnnouncement),
    /// A platform call has ended.
    PlatformAnswered(PlatformRead, PlatformAnswer),
    /// A peer sent a configuration on request.
    ConfigurationReceived(PeerAddress, ConfigurationTransfer),
    /// A peer sent changes of the VM list on request.
    VmListReceived(PeerAddress, VmListTransfer),
    /// Orders that would bring the targets to the wanted state, as a pure function of the configuration of
    /// this version and of the targets' reports. Complete: it replaces earlier plans.
    OrdersPlanned(ConfigurationVersion, Vec<PlannedOrder>),
    /// A call of a peer failed.
    PeerUnreachable(PeerAddress),
    /// A target that was to be polled answered, or did not.
    TargetPolled(TargetName, Option<LoadReport>),
    /// The scheduler saw signs of a new cold spell at a target.
    TargetSuspectedCold(TargetName),
    /// The scheduler's state, for the next digest.
    PressureChanged {
        /// Lowest tier admitted.
        shed_floor: Tier,
        /// Waiting requests by tier.
        waiting: [u32; Tier::COUNT],
    },
    /// The scheduler learned something about a request that may crash targets.
    SuspectFound(SuspectEntry),
    /// A borrowed slot arrived, or the lender refused.
    BorrowAnswered(PeerAddress, TargetName, Option<SlotGrant>),
    /// A request on a borrowed slot has ended.
    BorrowedSlotReleased(TargetName),
    /// The scheduler has work for a target but no slot.
    SlotNeeded(TargetName),
    /// An engine took or refused an order.
    OrderAnswered(TargetName, bool),
    /// The process starts to shut down.
    DrainStarted,
    /// The records of this process are now held by a successor.
    HandoverCompleted(SuccessorEntry),
}

/// This process's part of what a target bears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotShare {
    /// Target.
    pub target: TargetName,
    /// Requests that this process may have in flight there.
    pub slots: u32,
    /// What the target bears in all.
    pub bears: u32,
    /// Whether the target counts as cold.
    pub cold: bool,
}

/// Something that the cluster state machine wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum ClusterAction {
    /// Send a digest.
    SendGossip(PeerAddress, Box<GossipDigest>),
    /// Send an announcement to each of these.
    SendAnnouncement(Vec<PeerAddress>, PeerAnnouncement),
    /// Call the platform.
    ReadPlatform(PlatformRead),
    /// Ask a peer for its configuration, naming the version in force here.
    PullConfiguration(PeerAddress, ConfigurationVersion),
    /// Ask a peer for the changes of the VM list since this version.
    PullVmList(PeerAddress, u64),
    /// Ask a target for its load.
    PollTarget(PublishedTarget),
    /// Ask a peer for a slot.
    BorrowSlot(PeerAddress, TargetName),
    /// Give a borrowed slot back.
    ReturnSlot(PeerAddress, SlotGrant),
    /// Send an order to an engine.
    SendOrder(PublishedTarget, EngineOrder),
    /// A configuration is now in force.
    ConfigurationApplied(Arc<Configuration>),
    /// A configuration was refused; the last good one stays in force.
    ConfigurationRefused(ConfigurationVersion, FindingList),
    /// Targets of this data centre with whether they may get new work. Complete: others are gone.
    TargetsChanged(Vec<(PublishedTarget, bool)>),
    /// The slots of this process at a target have changed.
    SlotsChanged(SlotShare),
    /// A load figure, own or from a peer.
    LoadUpdated(LoadEntry),
    /// A peer's pressure.
    PressureReceived {
        /// Peer.
        peer: PeerIdentity,
        /// Lowest tier that it admits.
        shed_floor: Tier,
        /// Its waiting requests by tier.
        waiting: [u32; Tier::COUNT],
    },
    /// A peer no longer counts.
    PeerForgotten(PeerIdentity),
    /// A peer's finding about a request that may crash targets.
    SuspectReceived(SuspectEntry),
    /// Whether the load balancer shall send work here.
    ReadyChanged(bool),
    /// Whether new work must go to another data centre, since this one or this VM is out of service.
    RelayChanged(Option<RelayTarget>),
}

/// Where requests go that can't be served here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayTarget {
    /// VMs to choose from, the best first.
    pub peers: Vec<PeerAddress>,
}

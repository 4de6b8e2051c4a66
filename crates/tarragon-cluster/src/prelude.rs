//! Types that most modules of this crate and its callers use.

pub use tarragon_protocol::{
    peer::{
        ConfigurationTransfer, GossipDigest, HandoverMessage, PeerAnnouncement, PeerIdentity,
        SlotGrant, SuccessorEntry, SuspectEntry, TicketAnswer,
    },
    platform::{ListedVm, VmList, VmState},
    prelude::*,
};

pub use crate::event::{
    ClusterAction, ClusterEvent, PeerAddress, PlatformAnswer, PlatformFault, PlatformRead,
    SlotShare,
};

//! Types that the crate's modules and its users need.

pub use tarragon_protocol::prelude::*;

pub use crate::{
    event::{
        AttemptEnd, AttemptProgress, ListedProcess, PeerPressure, SchedulerAction, SchedulerEvent,
        TargetEntry, TargetLoad, TargetSlots,
    },
    scheduler::{Scheduler, SchedulerLimits},
    statistics::SchedulerStatistics,
};

//! Types commonly used by this crate's modules and its users.

pub use tarragon_protocol::prelude::*;

pub use crate::{
    event::{
        AttemptEnd, AttemptProgress, ListedProcess, PeerPressure, SchedulerAction, SchedulerEvent,
        TargetEntry, TargetLoad, TargetSlots, WorkEnd,
    },
    scheduler::{Scheduler, SchedulerLimits},
    statistics::SchedulerStatistics,
    targets::starts::StartForecast,
};

//! Types commonly used by this crate's modules and its users.

pub use tarragon_protocol::prelude::*;

pub use crate::{
    event::{
        AttemptEnd, AttemptProgress, ListedProcess, PeerPressure, RETRY_AFTER_END, SchedulerAction,
        SchedulerEvent, TargetEntry, TargetLoad, TargetSlots, WorkEnd, start_reserve,
    },
    scheduler::{Scheduler, SchedulerLimits},
    statistics::SchedulerStatistics,
    targets::starts::StartForecast,
};

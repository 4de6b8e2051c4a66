//! Types commonly used together with this crate.

pub use tarragon_cluster::prelude::*;
pub use tarragon_scheduler::prelude::*;

pub use crate::{
    event::{NodeAction, NodeEvent, TicketCall, TicketStart},
    node::{Node, NodeDump, NodeSettings, WriteCheck, call_binding},
};

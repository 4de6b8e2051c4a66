//! The task that owns the node, and the link by which other tasks reach it.

mod execute;
mod link;
mod run;
mod ticket;
mod work;

pub use link::{IssuedTicket, NodeLink, TicketEntry, TicketWait};
pub use run::{NodeTask, NodeTaskParts};
pub use work::TicketReport;

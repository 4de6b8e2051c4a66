//! How entry VMs act together: membership, configuration, shared load news, slots, tickets and orders.
//! State machines without I/O: they take events and the time and return actions.

pub mod event;
pub mod prelude;

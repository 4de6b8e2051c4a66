//! Coordination between entry VMs: membership, configuration, target loads, slots, tickets and orders to
//! engines. All of it is state machines without I/O: they take events and the time and return actions.

pub mod broadcast;
pub mod cluster;
pub mod codec;
pub mod digest;
pub mod event;
pub mod fence;
pub mod invariant;
pub mod key;
pub mod member;

pub mod order;
pub mod pause;
pub mod prelude;
pub mod publication;
pub mod reader;
pub mod rendezvous;
pub mod signing;
pub mod slot;
pub mod ticket;
pub mod vm_list;

//! Tests of a whole process over real sockets on loopback addresses.

mod administration;
mod answer;
mod broken_answers;
mod caller;
mod chat;
mod drain;
mod fake;
mod plain;
mod relay;
mod support;
mod ticket;

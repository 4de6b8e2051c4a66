//! Stand-ins for what the platform provides: model engines, plain services, the configuration service and
//! the VM list. Each runs as a task on a loopback port, is controlled through its handle and counts what it
//! does, so that tests and measurements can compare it with what callers were told.

pub mod configuration_service;
pub mod engine;
mod listener;
pub mod loopback;
mod respond;
pub mod scripted_target;
pub mod service;
pub mod shared_store;
pub mod vm_list;

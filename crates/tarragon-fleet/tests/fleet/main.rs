//! Tests of single components and of small simulated fleets, without I/O. Each test names the failure that it
//! guards against.

mod brittle;
mod brittle_world;
mod build_history;
mod crash_world;
mod crashing;
mod crashing_parts;
mod directory;
mod fleet_network;
mod freshness;
mod lending;
mod limit_world;
mod limits;
mod links;
mod member;
mod node;
mod odd_values;
mod origins;
mod quota;
mod route;
mod sums;
mod support;

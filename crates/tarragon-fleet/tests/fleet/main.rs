//! Tables and small fleets without I/O: each rule of the fleet under the failure that it guards against.

mod crash_world;
mod crashing;
mod directory;
mod member;
mod node;
mod quota;
mod route;
mod sums;
mod support;

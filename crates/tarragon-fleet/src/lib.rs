//! Decision logic of an entry VM in a fleet without a VM list. It discovers its peers from seed addresses,
//! gets routes and targets from a store that it can only read, and shares limits with its peers by exchanging
//! digests. `tarragon_scheduler` provides the request queue, the choice of targets and the retries. Nothing
//! here does I/O.

pub mod build;
pub mod call;
pub mod clock;
pub mod digest;
pub mod directory;
pub mod freshness;
pub mod hash;
pub mod health;
pub mod ledger;
pub mod lending;
pub mod link;
pub mod member;
pub mod node;
pub mod origin;
pub mod prelude;
pub mod published;
pub mod quota;
pub mod rate;
pub mod route;
pub mod sums;

pub use node::FleetNode;

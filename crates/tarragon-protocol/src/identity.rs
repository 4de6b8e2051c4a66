//! Ids and names. All are type aliases, so that they print and serialise like the underlying type.

use std::sync::Arc;

/// Identifies one request in the deployment. The upper 32 bits are random per process and the lower 32
/// bits are a counter, so that two processes practically never assign the same id.
pub type RequestId = u64;

/// Number of an attempt to run a request at a target, starting at 1 for each request.
pub type AttemptNumber = u32;

/// Name of an entry VM, unique in the VM list.
pub type VmName = Arc<str>;

/// Distinguishes successive processes under the same VM name. Chosen at random at start, so that nothing
/// has to be stored.
pub type Incarnation = u64;

/// Name of a data centre.
pub type DataCentreName = Arc<str>;

/// Name of a workspace, the customer on whose behalf a request runs.
pub type WorkspaceName = Arc<str>;

/// Name of a service: a pool of targets that answer the same calls.
pub type ServiceName = Arc<str>;

/// Name of a target, unique in the deployment.
pub type TargetName = Arc<str>;

/// Name of a model.
pub type ModelName = Arc<str>;

/// Version of the published configuration. It never decreases.
pub type ConfigurationVersion = u64;

/// Number in an order that an engine compares with that of the last order it accepted, to refuse outdated
/// orders.
pub type FencingNumber = u64;

/// Hash of workspace, service, model and prompt; the same each time one request is sent.
pub type Fingerprint = u64;

/// Id of a part of a prompt. Equal ids stand for equal content.
pub type PartId = u64;

/// Identifies one run of a target's process; it changes at each restart.
pub type RestartId = u64;

/// Name of a build of a target's software. Builds have no order, and one may come back.
pub type BuildName = Arc<str>;

/// Hash of a [`BuildName`].
pub type BuildKey = u64;

/// Hash of a prompt prefix that ends at a block boundary, chained from the hash of the previous block.
pub type BlockHash = u64;

/// Number of a ticket among those that one process has issued, starting at 1.
pub type TicketSequence = u64;

/// Number of prompt tokens that one [`BlockHash`] covers.
pub const TOKENS_PER_BLOCK: usize = 64;

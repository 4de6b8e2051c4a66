//! Ids and names. All are aliases, so that they print and serialise as what they are.

use std::sync::Arc;

/// Identifies one request inside the deployment. The upper 32 bits are random per process, the lower
/// ones count, so that two processes do not give the same id in practice.
pub type RequestId = u64;

/// Counts the attempts to run one request at a target, starting at 1.
pub type AttemptNumber = u32;

/// Name of an entry VM, unique in the VM list.
pub type VmName = Arc<str>;

/// Distinguishes two processes that ran one after another under the same VM name. Drawn at random at
/// start, so that it needs no storage.
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

/// Version of the published configuration. It only rises.
pub type ConfigurationVersion = u64;

/// Number that an engine compares with the one of the last order it took.
pub type FencingNumber = u64;

/// Hash of workspace, service, model and prompt; the same for each sending of one request.
pub type Fingerprint = u64;

/// Identifies one start of a target's process.
pub type RestartId = u64;

/// Chained hash of a prompt prefix, one per block of tokens.
pub type BlockHash = u64;

/// Number of the tickets that one process has issued, starting at 1.
pub type TicketSequence = u64;

/// Number of prompt tokens that one [`BlockHash`] covers.
pub const TOKENS_PER_BLOCK: usize = 64;

//! Commonly used types.

pub use crate::finding::{Finding, FindingList, SourceLocation};
pub use crate::identity::{
    AttemptNumber, BlockHash, BuildKey, BuildName, ConfigurationVersion, DataCentreName,
    FencingNumber, Fingerprint, Incarnation, ModelName, PartId, RequestId, RestartId, ServiceName,
    TargetName, VmName, WorkspaceName,
};
pub use crate::load::{LoadReport, TargetState};
pub use crate::outcome::{CallOutcome, Refusal, RefusalCode};
pub use crate::request::{AnswerProgress, CallKind, CallOptions, ModelCall, RequestProfile};
pub use crate::tier::Tier;

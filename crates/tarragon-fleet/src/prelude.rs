//! The types that users of the crate usually need.

pub use tarragon_scheduler::prelude::*;

pub use crate::{
    call::{AnswerLoad, CallFault, CallHead, GenerationHead, RoutedCall},
    digest::{PeerDigest, TargetUse, UsageSum},
    freshness::{FreshnessBounds, ReadTimes},
    node::{FleetBounds, FleetNode, FleetSettings, SendGrant},
    published::{
        CallRoute, CallerLimits, FleetConfiguration, ListedTarget, OperatorState, RepeatRule,
        ServiceConfiguration, TargetListing, WorkspaceConfiguration,
    },
    quota::QuotaBounds,
    rate::{
        LimitAnswer, LimitBelief, LimitNotice, LimitStatement, RateAnswer, RateNotice,
        RateStatement, RejectionAnswer, RejectionLimit, RejectionNotice, RejectionStatement,
        RequestRate,
    },
};

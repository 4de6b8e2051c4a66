//! Rules: what operators ask for, one a line, each with who asked for it.

use indexmap::IndexMap;
use serde::Serialize;
use tarragon_protocol::prelude::*;

mod field;
mod kind;
mod line;
mod parser;
mod value;

pub(crate) use value::{NAME_HELP, is_name};

/// All rules in force.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RuleSet {
    /// Services by name.
    pub services: IndexMap<ServiceName, ServiceRule>,
    /// Workspaces by name.
    pub workspaces: IndexMap<WorkspaceName, WorkspaceRule>,
    /// Models by name.
    pub models: IndexMap<ModelName, ModelRule>,
    /// Data centres by name.
    pub data_centres: IndexMap<DataCentreName, DataCentreRule>,
    /// Policies by service, and `default`.
    pub policies: IndexMap<ServiceName, PolicyRule>,
}

/// Who asked for a rule and where it stands.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RuleOrigin {
    /// Name of the person or team.
    pub asked_by: String,
    /// Reason, if one was given.
    pub reason: Option<String>,
    /// File or published part.
    pub source: String,
    /// Line, starting at 1.
    pub line: u32,
}

/// Kind of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// A pool of model engines.
    Model,
    /// A plain service.
    Plain,
}

/// `service NAME kind=… idempotent=… [path=…] [answer_limit=…]`
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServiceRule {
    /// Model engines or plain targets.
    pub kind: ServiceKind,
    /// Whether each call may be run twice.
    pub idempotent: bool,
    /// Calls outside this path prefix are refused.
    pub path: Option<String>,
    /// Largest answer in bytes that is kept for a repeat.
    pub answer_limit: u64,
    /// Who asked for it.
    pub origin: RuleOrigin,
}

/// `workspace NAME [tier=…] [rate=…/s] [concurrency=…] [queued_tokens=…] [weight=…]`
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct WorkspaceRule {
    /// Highest tier that the workspace may ask for.
    pub tier: Option<Tier>,
    /// Requests a second, over the whole deployment.
    pub rate: Option<f64>,
    /// Requests in flight, over the whole deployment.
    pub concurrency: Option<u32>,
    /// Predicted tokens that may wait, over the whole deployment.
    pub queued_tokens: Option<u64>,
    /// Share relative to other workspaces of the same tier; 1 if absent.
    pub weight: Option<u32>,
    /// Who asked for it.
    pub origin: RuleOrigin,
}

/// `model NAME service=… [replicas=…] [adapter=…] [version=…] [role=…]`
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ModelRule {
    /// Service whose targets hold the model.
    pub service: ServiceName,
    /// Targets per data centre that shall hold it; all if absent.
    pub replicas: Option<u32>,
    /// Adapter on top of the model.
    pub adapter: Option<String>,
    /// Version of the weights; 1 if absent.
    pub version: u32,
    /// Role of the targets that hold it.
    pub role: tarragon_protocol::engine::EngineRole,
    /// Who asked for it.
    pub origin: RuleOrigin,
}

/// `data-centre NAME state=in|out`
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DataCentreRule {
    /// Whether the data centre may get new work.
    pub in_service: bool,
    /// Who asked for it.
    pub origin: RuleOrigin,
}

/// `policy NAME choose=PLUGIN [admission=PLUGIN]`
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct PolicyRule {
    /// Plug-in that chooses a target.
    pub choose: Option<String>,
    /// Plug-in that admits or sheds.
    pub admission: Option<String>,
    /// Who asked for it.
    pub origin: RuleOrigin,
}

/// Default of [`ServiceRule::answer_limit`], in bytes.
pub const DEFAULT_ANSWER_LIMIT: u64 = 256 * 1024;

/// Reads the rules of several sources, given as name and text, as one set. Every fault is a finding; the
/// rules that are valid are returned in any case. The result depends on the arguments alone.
pub fn parse_rules(sources: &[(&str, &str)]) -> (RuleSet, FindingList) {
    let mut parser = parser::RuleParser::default();
    for (source, text) in sources {
        parser.read_source(source, text);
    }
    let (rules, mut findings) = parser.finish();
    let order = |source: &str| sources.iter().position(|(name, _)| *name == source);
    findings.findings.sort_by_cached_key(|finding| {
        (order(&finding.location.source), finding.location.line, finding.location.column)
    });
    (rules, findings)
}

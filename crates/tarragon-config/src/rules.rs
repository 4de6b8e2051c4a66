//! Rules that operators write, one per line, each with the name of the person or team that asked for it.

use indexmap::IndexMap;
use serde::Serialize;
use tarragon_protocol::prelude::*;

mod field;
mod kind;
mod line;
mod parser;
mod value;

pub(crate) use value::{NAME_HELP, is_name};

/// All valid rules, by kind and name.
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
    /// Policies by service name. `default` applies to services without one of their own.
    pub policies: IndexMap<ServiceName, PolicyRule>,
}

/// Who asked for a rule, and its location.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RuleOrigin {
    /// Name of the person or team.
    pub asked_by: String,
    /// Reason, if one was given.
    pub reason: Option<String>,
    /// Name of the file or published part.
    pub source: String,
    /// Line number, starting at 1.
    pub line: u32,
}

/// Kind of service.
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
    /// Kind of service.
    pub kind: ServiceKind,
    /// Whether calls are idempotent, so that they may safely run more than once.
    pub idempotent: bool,
    /// Path prefix. Calls to other paths are refused.
    pub path: Option<String>,
    /// Maximum size in bytes of an answer that is stored for a repeat of the request.
    pub answer_limit: u64,
    /// Who asked for it.
    pub origin: RuleOrigin,
}

/// `workspace NAME [tier=…] [rate=…/s] [concurrency=…] [queued_tokens=…] [weight=…]`
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct WorkspaceRule {
    /// Highest tier that the workspace may use.
    pub tier: Option<Tier>,
    /// Maximum number of requests per second in the whole deployment.
    pub rate: Option<f64>,
    /// Maximum number of concurrent requests in the whole deployment.
    pub concurrency: Option<u32>,
    /// Maximum number of predicted tokens of waiting requests in the whole deployment.
    pub queued_tokens: Option<u64>,
    /// Weight of the workspace's share relative to other workspaces of the same tier; 1 if absent.
    pub weight: Option<u32>,
    /// Who asked for it.
    pub origin: RuleOrigin,
}

/// `model NAME service=… [replicas=…] [adapter=…] [version=…] [role=…]`
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ModelRule {
    /// Service whose targets serve the model.
    pub service: ServiceName,
    /// Number of targets per data centre that should have the model loaded; all if absent.
    pub replicas: Option<u32>,
    /// Adapter to apply to the model.
    pub adapter: Option<String>,
    /// Version of the weights; 1 if absent.
    pub version: u32,
    /// Role of the targets that have the model loaded.
    pub role: tarragon_protocol::engine::EngineRole,
    /// Who asked for it.
    pub origin: RuleOrigin,
}

/// `data-centre NAME state=in|out`
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DataCentreRule {
    /// Whether the data centre may receive new requests.
    pub in_service: bool,
    /// Who asked for it.
    pub origin: RuleOrigin,
}

/// `policy NAME choose=PLUGIN [admission=PLUGIN]`
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct PolicyRule {
    /// Name of the plug-in that chooses targets.
    pub choose: Option<String>,
    /// Name of the plug-in that admits or sheds requests.
    pub admission: Option<String>,
    /// Who asked for it.
    pub origin: RuleOrigin,
}

/// Default of [`ServiceRule::answer_limit`], in bytes.
pub const DEFAULT_ANSWER_LIMIT: u64 = 256 * 1024;

/// Parses the rules of several sources, given as name and text, into one set. Each error gives a finding; the
/// valid rules are returned in any case. The result depends only on the arguments.
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

//! `explain`: prints why a request would go where.

use std::process::ExitCode;

use bpaf::Bpaf;
use hyper::Method;
use tarragon_protocol::prelude::*;

use crate::{
    admin_client::{AdminTarget, admin_target},
    output::write_answer,
};

/// Print why a request would go where, without sending it
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("explain"))]
pub(crate) struct ExplainArguments {
    #[bpaf(external(admin_target))]
    target: AdminTarget,
    /// Workspace of the request
    #[bpaf(long, argument("NAME"))]
    workspace: String,
    /// Tier of the request: urgent, high, normal or routine
    #[bpaf(long, argument("TIER"), fallback(Tier::Normal), display_fallback)]
    tier: Tier,
    /// Service of the request; by default the one that has the model
    #[bpaf(long, argument("NAME"))]
    service: Option<String>,
    /// Model of a generation
    #[bpaf(long, argument("NAME"))]
    model: Option<String>,
    /// Prompt length in tokens
    #[bpaf(long, argument("N"))]
    prompt_tokens: Option<u32>,
    /// Bound of generated tokens
    #[bpaf(long, argument("N"))]
    max_tokens: Option<u32>,
    /// Milliseconds until the deadline
    #[bpaf(long, argument("MS"))]
    deadline_ms: Option<u64>,
}

impl ExplainArguments {
    /// The query of `/admin/explain`.
    fn query(&self) -> String {
        let mut pairs =
            vec![("workspace", self.workspace.clone()), ("tier", self.tier.to_string())];
        let optional = [
            ("service", self.service.clone()),
            ("model", self.model.clone()),
            ("prompt_tokens", self.prompt_tokens.map(|number| number.to_string())),
            ("max_tokens", self.max_tokens.map(|number| number.to_string())),
            ("deadline_ms", self.deadline_ms.map(|number| number.to_string())),
        ];
        pairs.extend(optional.into_iter().filter_map(|(name, value)| Some((name, value?))));
        let pairs = pairs.iter().map(|(name, value)| format!("{name}={}", escape(value)));
        pairs.collect::<Vec<_>>().join("&")
    }
}

/// Percent-escapes everything but the characters of names.
fn escape(text: &str) -> String {
    let escape = |byte: u8| match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' => {
            char::from(byte).to_string()
        }
        other => format!("%{other:02X}"),
    };
    text.bytes().map(escape).collect()
}

pub(crate) async fn execute(arguments: ExplainArguments) -> anyhow::Result<ExitCode> {
    let client = arguments.target.client()?;
    let path = format!("/admin/explain?{}", arguments.query());
    write_answer(&client.call(Method::GET, &path).await?)?;
    Ok(ExitCode::SUCCESS)
}

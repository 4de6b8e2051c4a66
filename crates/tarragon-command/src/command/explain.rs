//! `explain`: prints why a request would go where.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use anyhow::Context;
use bpaf::Bpaf;
use hyper::{HeaderMap, Method, header::HeaderName, http::HeaderValue};
use tarragon_protocol::prelude::*;

use crate::{
    admin_client::{AdminClient, AdminTarget, admin_target},
    output::write_answer,
};

/// Print why a request would go where, without sending it
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("explain"))]
pub(crate) struct ExplainArguments {
    #[bpaf(external(admin_target))]
    target: AdminTarget,
    /// Address of the metrics page of a process that reads a shared store; the request is given by --path or --head
    #[bpaf(long, argument("IP:PORT"))]
    metrics: Option<SocketAddr>,
    /// Host of the request, with --metrics
    #[bpaf(long, argument("NAME"))]
    host: Option<String>,
    /// Path of the request, with --metrics
    #[bpaf(long, argument("PATH"))]
    path: Option<String>,
    /// File with the request line and the headers of the request, with --metrics
    #[bpaf(long, argument("FILE"))]
    head: Option<PathBuf>,
    /// Workspace of the request
    #[bpaf(long, argument("NAME"))]
    workspace: Option<String>,
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
    fn query(&self) -> anyhow::Result<String> {
        let workspace = self.workspace.clone().context("name the workspace by --workspace NAME")?;
        let mut pairs = vec![("workspace", workspace), ("tier", self.tier.to_string())];
        let optional = [
            ("service", self.service.clone()),
            ("model", self.model.clone()),
            ("prompt_tokens", self.prompt_tokens.map(|number| number.to_string())),
            ("max_tokens", self.max_tokens.map(|number| number.to_string())),
            ("deadline_ms", self.deadline_ms.map(|number| number.to_string())),
        ];
        pairs.extend(optional.into_iter().filter_map(|(name, value)| Some((name, value?))));
        Ok(join(&pairs))
    }

    /// The query of the page `explain` beside the metrics, and the headers of the request.
    fn page_query(&self) -> anyhow::Result<(String, HeaderMap)> {
        let head = match &self.head {
            Some(file) => read_head(file)?,
            None => RequestHead::default(),
        };
        let path = self.path.clone().or(head.path);
        let path = path.context("name the request by --path PATH or --head FILE")?;
        let mut pairs = vec![("path", path)];
        let optional = [
            ("host", self.host.clone()),
            ("workspace", self.workspace.clone()),
            ("model", self.model.clone()),
            ("prompt_tokens", self.prompt_tokens.map(|number| number.to_string())),
            ("max_tokens", self.max_tokens.map(|number| number.to_string())),
        ];
        pairs.extend(optional.into_iter().filter_map(|(name, value)| Some((name, value?))));
        Ok((join(&pairs), head.headers))
    }
}

/// Request line and headers of a request.
#[derive(Default)]
struct RequestHead {
    path: Option<String>,
    headers: HeaderMap,
}

/// Reads a head up to its empty line. Headers of the body are left out, since none is sent.
fn read_head(file: &PathBuf) -> anyhow::Result<RequestHead> {
    let text = std::fs::read_to_string(file)
        .with_context(|| format!("{} can't be read", file.display()))?;
    let mut lines = text.lines().map(str::trim_end);
    let line = lines.next().unwrap_or("");
    let path = line.split(' ').nth(1).context("the head begins with no request line")?;
    let mut headers = HeaderMap::new();
    for line in lines.take_while(|line| !line.is_empty()) {
        let (name, value) = line.split_once(':').context("a header has no colon")?;
        let name: HeaderName = name.parse().context("a header's name is not valid")?;
        let is_of_body = name == "content-length" || name == "transfer-encoding";
        if !is_of_body && name != "connection" && name != "expect" {
            let value = HeaderValue::from_str(value.trim());
            headers.append(name, value.context("a header's value is not valid")?);
        }
    }
    Ok(RequestHead { path: Some(path.to_owned()), headers })
}

fn join(pairs: &[(&str, String)]) -> String {
    let pairs = pairs.iter().map(|(name, value)| format!("{name}={}", escape(value)));
    pairs.collect::<Vec<_>>().join("&")
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
    if let Some(address) = arguments.metrics {
        let (query, headers) = arguments.page_query()?;
        let path = format!("/explain?{query}");
        let client = AdminClient::new(address);
        write_answer(&client.call_with(Method::GET, &path, headers).await?)?;
        return Ok(ExitCode::SUCCESS);
    }
    let client = arguments.target.client()?;
    let path = format!("/admin/explain?{}", arguments.query()?);
    write_answer(&client.call(Method::GET, &path).await?)?;
    Ok(ExitCode::SUCCESS)
}

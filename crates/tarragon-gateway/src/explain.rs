//! The page that explains what would happen to a request. It stands beside the metrics page and changes nothing.

use std::sync::Arc;

use http::{Request, StatusCode, header};
use hyper::body::Incoming;
use indexmap::IndexMap;
use percent_encoding::percent_decode_str;
use tarragon_fleet::prelude::*;

use crate::{
    context::GatewayContext,
    listener::PageAnswer,
    platform::CallProtocol,
    serve::{METRICS_TYPE, page},
};

/// Path of the page.
pub const EXPLAIN_PATH: &str = "/explain";
/// Media type of the page.
const EXPLAIN_TYPE: &str = "application/json";
/// Generated tokens that are assumed if the request names no bound.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Fields of the query. Values are percent-encoded.
struct ExplainQuery(IndexMap<String, String>);

impl ExplainQuery {
    fn parse(query: &str) -> ExplainQuery {
        let decode = |text: &str| percent_decode_str(text).decode_utf8_lossy().into_owned();
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        ExplainQuery(pairs.map(|(name, value)| (decode(name), decode(value))).collect())
    }

    fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    fn number(&self, name: &str) -> Result<Option<u32>, String> {
        let number = self.get(name).map(str::parse).transpose();
        number.map_err(|_| format!("{name} must be a whole number"))
    }
}

/// Explains what would happen to the request that the query describes: `path`, and optionally `host`, `workspace`,
/// `model`, `prompt_tokens` and `max_tokens`. Headers of the message count as those of the request.
pub async fn explain_page<D>(
    context: Arc<GatewayContext<D>>,
    message: Request<Incoming>,
) -> PageAnswer
where
    D: CallProtocol,
{
    match explain(&context, message) {
        Ok(text) => page(StatusCode::OK, EXPLAIN_TYPE, text.into()),
        Err(fault) => page(StatusCode::BAD_REQUEST, METRICS_TYPE, (fault + "\n").into()),
    }
}

fn explain<D>(context: &GatewayContext<D>, message: Request<Incoming>) -> Result<String, String>
where
    D: CallProtocol,
{
    let (parts, _) = message.into_parts();
    let query = ExplainQuery::parse(parts.uri.query().unwrap_or(""));
    let path = query.get("path").ok_or("path is missing")?;
    let path = path.split('?').next().unwrap_or(path);
    let host = parts.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let host = query.get("host").or(host).unwrap_or("");
    // Without the headers of a request, the query alone describes it.
    let mut head = context.protocol.read_head(&parts).unwrap_or_default();
    if let Some(prompt_tokens) = query.number("prompt_tokens")? {
        let max_tokens = query.number("max_tokens")?.unwrap_or(DEFAULT_MAX_TOKENS);
        let given = head.generation.take();
        let model = query.get("model").map(ModelName::from);
        head.generation = Some(GenerationHead {
            model: model.or(given.map(|given| given.model)).unwrap_or_else(|| "".into()),
            prompt_tokens,
            max_tokens,
            expected_tokens: None,
            parts: Vec::new(),
        });
    }
    let workspace = query.get("workspace");
    let explained = context.node.run(|node, now, _| node.explain(host, path, head, workspace, now));
    let explained = explained.map_err(|fault| match fault {
        CallFault::NotConfigured => "no configuration is known yet".to_owned(),
        CallFault::UnknownRoute => format!("no route leads from {host}{path}"),
        CallFault::UnknownKey => "name a workspace, or send a key that belongs to one".to_owned(),
    })?;
    serde_json::to_string(&explained).map_err(|error| error.to_string())
}

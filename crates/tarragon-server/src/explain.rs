//! Reads the query of `GET /admin/explain` into the request that it describes.

use std::time::Duration;

use tarragon_config::rules::ServiceKind;
use tarragon_protocol::{
    header::{DEFAULT_DEADLINE_MS, MAX_DEADLINE_MS},
    prelude::*,
    prompt::{block_hashes, count_tokens},
};

use crate::{caller::chat::model_service, process::ProcessContext};

/// Generated tokens that are assumed if the query names no bound.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Fields of the query. Values are plain names and numbers and need no decoding but for `+` and `%20`
/// in the prompt.
struct ExplainQuery<'a> {
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> ExplainQuery<'a> {
    fn parse(query: &'a str) -> ExplainQuery<'a> {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        ExplainQuery { pairs }
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(other, _)| *other == name).map(|(_, value)| *value)
    }

    fn number<T>(&self, name: &str, default: T) -> Result<T, String>
    where
        T: std::str::FromStr,
    {
        match self.get(name) {
            None => Ok(default),
            Some(text) => text.parse().map_err(|_| format!("{name} must be a whole number")),
        }
    }
}

/// The request that a query describes: `workspace`, `tier`, and `model` or `service`; optionally
/// `prompt` or `prompt_tokens`, `max_tokens` and `deadline_ms`.
pub fn read_query(process: &ProcessContext, query: &str) -> Result<RequestProfile, String> {
    let query = ExplainQuery::parse(query);
    let workspace = query.get("workspace").ok_or("workspace is missing; name a workspace")?;
    let tier = query.get("tier").unwrap_or("normal");
    let tier: Tier = tier.parse().map_err(|error| format!("tier: {error}"))?;
    let deadline_ms = query.number("deadline_ms", DEFAULT_DEADLINE_MS)?.clamp(1, MAX_DEADLINE_MS);
    let (service, kind) = read_kind(process, &query)?;
    let rules = process.rules();
    let idempotent = rules.services.get(&service).is_some_and(|rule| rule.idempotent);
    Ok(RequestProfile {
        parts: Vec::new(),
        request: 0,
        workspace: workspace.into(),
        service,
        tier,
        deadline: crate::clock::now() + Duration::from_millis(deadline_ms),
        idempotent,
        fingerprint: 0,
        kind,
        options: CallOptions::default(),
    })
}

fn read_kind(
    process: &ProcessContext,
    query: &ExplainQuery<'_>,
) -> Result<(ServiceName, CallKind), String> {
    let rules = process.rules();
    let Some(model) = query.get("model") else {
        let service = query.get("service").ok_or("name a model or a service")?;
        let rule = rules.services.get(service);
        let rule = rule.ok_or_else(|| format!("the rules name no service {service}"))?;
        return match rule.kind {
            ServiceKind::Plain => Ok((service.into(), CallKind::Plain)),
            ServiceKind::Model => Err("name the model of the request".to_owned()),
        };
    };
    let service = match query.get("service") {
        Some(service) => service.into(),
        None => model_service(&rules, model)
            .ok_or_else(|| format!("no service has the model {model}"))?,
    };
    let prompt = query.get("prompt").unwrap_or("").replace("%20", " ").replace('+', " ");
    let call = ModelCall {
        model: model.into(),
        prompt_tokens: query.number("prompt_tokens", count_tokens(&prompt))?,
        max_tokens: query.number("max_tokens", DEFAULT_MAX_TOKENS)?,
        blocks: block_hashes(model, &prompt),
    };
    Ok((service, CallKind::Model(call)))
}

//! Parses the fields of each kind of rule.

use std::sync::Arc;

use tarragon_protocol::prelude::*;

use super::{
    DEFAULT_ANSWER_LIMIT, DataCentreRule, ModelRule, PolicyRule, RuleOrigin, ServiceRule,
    WorkspaceRule, field::FieldReader, value,
};

/// Maximum answer limit in bytes. The ticket records of one process store 8 MiB of answers in all.
const MAX_ANSWER_LIMIT: u64 = 8 * 1024 * 1024;
/// Maximum concurrency of a workspace and number of replicas; far more than any deployment needs.
const MAX_COUNT: u32 = 1_000_000;
/// Maximum weight of a workspace, so that a sum of weights stays far from overflow.
const MAX_WEIGHT: u32 = 10_000;
/// Maximum limit of predicted tokens of one workspace's waiting requests.
const MAX_QUEUED_TOKENS: u64 = 1_000_000_000_000;

pub(super) fn service(fields: &mut FieldReader<'_, '_>, origin: RuleOrigin) -> Option<ServiceRule> {
    let kind = fields.required("kind", "model or kind=plain", value::service_kind);
    let idempotent = fields.required("idempotent", "yes or idempotent=no", value::yes_or_no);
    let path = fields.optional("path", "/prefix", value::path);
    let answer_limit = fields.optional("answer_limit", "BYTES (1 to 16777216)", |text| {
        value::number(text, 1..=MAX_ANSWER_LIMIT)
    });
    Some(ServiceRule {
        kind: kind?,
        idempotent: idempotent?,
        path,
        answer_limit: answer_limit.unwrap_or(DEFAULT_ANSWER_LIMIT),
        origin,
    })
}

pub(super) fn workspace(
    fields: &mut FieldReader<'_, '_>,
    origin: RuleOrigin,
) -> Option<WorkspaceRule> {
    let count = |text: &str| value::number(text, 1..=MAX_COUNT);
    let tier = fields
        .optional("tier", "urgent, high, normal or routine", |text| text.parse::<Tier>().ok());
    let rate = fields.optional("rate", "N/s with N above 0", value::rate);
    let concurrency = fields.optional("concurrency", "N (1 to 1000000)", count);
    let queued_tokens = fields.optional("queued_tokens", "N (1 or more)", |text| {
        value::number(text, 1..=MAX_QUEUED_TOKENS)
    });
    let weight =
        fields.optional("weight", "N (1 to 10000)", |text| value::number(text, 1..=MAX_WEIGHT));
    Some(WorkspaceRule { tier, rate, concurrency, queued_tokens, weight, origin })
}

pub(super) fn model(fields: &mut FieldReader<'_, '_>, origin: RuleOrigin) -> Option<ModelRule> {
    let service = fields.required("service", "NAME of a model service", value::name);
    let replicas =
        fields.optional("replicas", "N (1 to 1000000)", |text| value::number(text, 1..=MAX_COUNT));
    let adapter = fields.optional("adapter", "NAME", value::name);
    let version =
        fields.optional("version", "N (1 or more)", |text| value::number(text, 1..=u32::MAX));
    let role = fields.optional("role", "both, prefill or decode", value::engine_role);
    Some(ModelRule {
        service: Arc::from(service?),
        replicas,
        adapter,
        version: version.unwrap_or(1),
        role: role.unwrap_or_default(),
        origin,
    })
}

pub(super) fn data_centre(
    fields: &mut FieldReader<'_, '_>,
    origin: RuleOrigin,
) -> Option<DataCentreRule> {
    let in_service = fields.required("state", "in or state=out", value::in_or_out)?;
    Some(DataCentreRule { in_service, origin })
}

pub(super) fn policy(fields: &mut FieldReader<'_, '_>, origin: RuleOrigin) -> Option<PolicyRule> {
    let choose = fields.required("choose", "PLUGIN, for example least-cost", value::name);
    let admission = fields.optional("admission", "PLUGIN", value::name);
    Some(PolicyRule { choose: Some(choose?), admission, origin })
}

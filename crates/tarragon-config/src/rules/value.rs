//! Parsers for values of rule fields. Each returns `None` for an invalid value.

use std::{ops::RangeInclusive, str::FromStr};

use tarragon_protocol::engine::EngineRole;

use super::ServiceKind;

/// Maximum length in bytes of the name of a service, workspace, model, data centre or plug-in.
pub(super) const MAX_NAME_BYTES: usize = 128;

/// Description of a valid name, for findings.
pub(crate) const NAME_HELP: &str =
    "letters, digits, `-`, `_` and `.`, at most 128 of them, starting with a letter or digit";

pub(crate) fn is_name(text: &str) -> bool {
    let allowed = |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
    text.len() <= MAX_NAME_BYTES
        && text.starts_with(|character: char| character.is_ascii_alphanumeric())
        && text.chars().all(allowed)
}

pub(super) fn name(text: &str) -> Option<String> {
    is_name(text).then(|| text.to_owned())
}

pub(super) fn number<T>(text: &str, range: RangeInclusive<T>) -> Option<T>
where
    T: FromStr + PartialOrd,
{
    // `from_str` would accept a leading `+`, which is not part of the rules' syntax.
    let digits = text.bytes().all(|byte| byte.is_ascii_digit());
    let value = text.parse().ok().filter(|_| digits)?;
    range.contains(&value).then_some(value)
}

pub(super) fn yes_or_no(text: &str) -> Option<bool> {
    match text {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    }
}

pub(super) fn in_or_out(text: &str) -> Option<bool> {
    match text {
        "in" => Some(true),
        "out" => Some(false),
        _ => None,
    }
}

pub(super) fn service_kind(text: &str) -> Option<ServiceKind> {
    match text {
        "model" => Some(ServiceKind::Model),
        "plain" => Some(ServiceKind::Plain),
        _ => None,
    }
}

pub(super) fn engine_role(text: &str) -> Option<EngineRole> {
    match text {
        "both" => Some(EngineRole::Both),
        "prefill" => Some(EngineRole::Prefill),
        "decode" => Some(EngineRole::Decode),
        _ => None,
    }
}

/// Parses a rate `N/s`, where N is a positive decimal number up to a million.
pub(super) fn rate(text: &str) -> Option<f64> {
    let number = text.strip_suffix("/s")?;
    let is_decimal = number.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let rate: f64 = number.parse().ok().filter(|_| is_decimal)?;
    (rate > 0.0 && rate <= 1e6).then_some(rate)
}

/// Parses a path prefix, which starts with `/` and contains only characters that need no escaping.
pub(super) fn path(text: &str) -> Option<String> {
    let allowed =
        |character: char| character.is_ascii_alphanumeric() || "/-_.~".contains(character);
    let valid = text.starts_with('/') && text.chars().all(allowed) && !text.contains("..");
    valid.then(|| text.to_owned())
}

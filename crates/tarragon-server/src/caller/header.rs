//! Reads the request headers of callers into typed values and reports every fault at once.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use tarragon_protocol::{
    header::{
        ATTEMPT, DEADLINE, DEFAULT_DEADLINE_MS, IDEMPOTENT, MAX_DEADLINE_MS, TICKET, TIER,
        WORKSPACE,
    },
    prelude::*,
};

/// Longest accepted workspace name, in bytes.
const MAX_WORKSPACE_LENGTH: usize = 128;
/// Longest accepted ticket, in bytes. A ticket holds a VM name, an address and a hash.
const MAX_TICKET_LENGTH: usize = 1_024;

/// The request headers of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerHeaders {
    /// Customer whose share the request uses.
    pub workspace: WorkspaceName,
    /// Urgency.
    pub tier: Tier,
    /// Time until the caller has no use for the answer.
    pub deadline: Duration,
    /// Whether running the request twice does no harm, if the caller told.
    pub idempotent: Option<bool>,
    /// Ticket of a non-idempotent call.
    pub ticket: Option<String>,
    /// How often the caller has sent the request. Information only.
    pub attempt: u32,
}

/// A header that is missing or malformed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderFault {
    /// Name of the header.
    pub header: &'static str,
    /// What is wrong and what to send instead.
    pub message: String,
}

impl CallerHeaders {
    /// Reads all headers. All faults are returned, so that a caller can repair them in one step.
    pub fn parse(headers: &HeaderMap) -> Result<CallerHeaders, Vec<HeaderFault>> {
        let mut faults = Vec::new();
        let workspace = collect(parse_workspace(headers), &mut faults);
        let tier = collect(parse_tier(headers), &mut faults);
        let deadline = collect(parse_deadline(headers), &mut faults);
        let idempotent = collect(parse_idempotent(headers), &mut faults);
        let ticket = collect(parse_ticket(headers), &mut faults);
        let attempt = collect(parse_attempt(headers), &mut faults);
        match (workspace, tier, deadline, idempotent, ticket, attempt) {
            (
                Some(workspace),
                Some(tier),
                Some(deadline),
                Some(idempotent),
                Some(ticket),
                Some(attempt),
            ) => Ok(CallerHeaders { workspace, tier, deadline, idempotent, ticket, attempt }),
            _ => Err(faults),
        }
    }
}

fn collect<T>(result: Result<T, HeaderFault>, faults: &mut Vec<HeaderFault>) -> Option<T> {
    result.map_err(|fault| faults.push(fault)).ok()
}

fn fault(header: &'static str, message: impl Into<String>) -> HeaderFault {
    HeaderFault { header, message: message.into() }
}

/// The header's text, if the header is there. A header that is given twice is a fault, since two
/// programs could read different values from it.
fn single<'a>(
    headers: &'a HeaderMap,
    header: &'static str,
) -> Result<Option<&'a str>, HeaderFault> {
    let mut values = headers.get_all(header).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(fault(header, format!("{header} is given more than once; send it once")));
    }
    let text = value.to_str().map(str::trim);
    text.map(Some).map_err(|_| fault(header, format!("{header} must be visible ASCII text")))
}

fn parse_workspace(headers: &HeaderMap) -> Result<WorkspaceName, HeaderFault> {
    let help = "send the workspace's name: letters, digits, '.', '_' and '-', up to 128 characters";
    let Some(text) = single(headers, WORKSPACE)? else {
        return Err(fault(WORKSPACE, format!("{WORKSPACE} is missing; {help}")));
    };
    let valid = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
    if text.is_empty() || text.len() > MAX_WORKSPACE_LENGTH || !text.bytes().all(valid) {
        return Err(fault(WORKSPACE, format!("{WORKSPACE} is not a workspace name; {help}")));
    }
    Ok(text.into())
}

fn parse_tier(headers: &HeaderMap) -> Result<Tier, HeaderFault> {
    let help = "send one of urgent, high, normal, routine";
    let Some(text) = single(headers, TIER)? else {
        return Err(fault(TIER, format!("{TIER} is missing; {help}")));
    };
    text.parse().map_err(|_| fault(TIER, format!("{TIER} names no tier; {help}")))
}

fn parse_deadline(headers: &HeaderMap) -> Result<Duration, HeaderFault> {
    let text = single(headers, DEADLINE)?;
    let milliseconds = match text {
        None => Some(DEFAULT_DEADLINE_MS),
        Some(text) => parse_digits(text).filter(|value| (1..=MAX_DEADLINE_MS).contains(value)),
    };
    let help = format!("send the milliseconds left, from 1 to {MAX_DEADLINE_MS}");
    milliseconds
        .map(Duration::from_millis)
        .ok_or_else(|| fault(DEADLINE, format!("{DEADLINE} is out of range; {help}")))
}

fn parse_idempotent(headers: &HeaderMap) -> Result<Option<bool>, HeaderFault> {
    match single(headers, IDEMPOTENT)? {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => Err(fault(IDEMPOTENT, format!("{IDEMPOTENT} must be true or false"))),
    }
}

fn parse_ticket(headers: &HeaderMap) -> Result<Option<String>, HeaderFault> {
    let Some(text) = single(headers, TICKET)? else { return Ok(None) };
    if text.is_empty() || text.len() > MAX_TICKET_LENGTH {
        let help = "send the ticket as POST /v1/tickets returned it";
        return Err(fault(TICKET, format!("{TICKET} is empty or too long; {help}")));
    }
    Ok(Some(text.to_owned()))
}

fn parse_attempt(headers: &HeaderMap) -> Result<u32, HeaderFault> {
    let attempt = match single(headers, ATTEMPT)? {
        None => Some(1),
        Some(text) => parse_digits(text).and_then(|value| u32::try_from(value).ok()),
    };
    let help = "send 1 for the first attempt, then increasing numbers";
    attempt
        .filter(|attempt| *attempt >= 1)
        .ok_or_else(|| fault(ATTEMPT, format!("{ATTEMPT} is not a number from 1 on; {help}")))
}

/// Digits only: `u64::from_str` would also accept a leading plus sign.
fn parse_digits(text: &str) -> Option<u64> {
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}

/// Prefix of the headers that concern only the way from a caller to its target.
const PRIVATE_PREFIX: &str = "x-tarragon-";

/// Headers that describe one connection and are never passed on, from RFC 9110 section 7.6.1.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The headers that don't concern one connection alone: neither framing nor named by `Connection`.
pub fn end_to_end_headers(
    headers: &HeaderMap,
) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    let named: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    headers.iter().filter(move |(name, _)| {
        is_end_to_end(name) && !named.iter().any(|other| other == name.as_str())
    })
}

/// The headers that are passed on from a caller to a target or back, as pairs of text. A value that is
/// not text is dropped.
pub fn forwarded_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    end_to_end_headers(headers)
        .filter(|(name, _)| is_forwarded(name))
        .filter_map(|(name, value)| {
            Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
        })
        .collect()
}

fn is_end_to_end(name: &HeaderName) -> bool {
    let name = name.as_str();
    let framing = matches!(name, "host" | "content-length" | "expect");
    !framing && !CONNECTION_HEADERS.contains(&name)
}

fn is_forwarded(name: &HeaderName) -> bool {
    is_end_to_end(name) && !name.as_str().starts_with(PRIVATE_PREFIX)
}

/// Adds forwarded headers to a message. Pairs that are not valid headers are dropped.
pub fn apply_headers(headers: &mut HeaderMap, pairs: &[(String, String)]) {
    for (name, value) in pairs {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value))
            && is_forwarded(&name)
        {
            headers.append(name, value);
        }
    }
}

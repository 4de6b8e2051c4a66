//! What the scheduler needs to know of a prompt: its length in tokens, the chained hashes of its
//! blocks and the fingerprint of the request.

use serde_json::{Map, Value};
use tarragon_protocol::{
    engine::ChatMessage,
    prelude::*,
    prompt::{block_hashes, count_tokens, render_prompt},
};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Generated tokens that are expected at most if the caller sets no bound.
const DEFAULT_MAX_TOKENS: u32 = 4_096;

/// The parts of a chat-completions body that decide where it runs. The body itself is passed on as it
/// came, so that fields that are unknown here reach the engine.
#[derive(Debug, Clone, PartialEq)]
pub struct ChatBody {
    /// Model that shall answer.
    pub model: ModelName,
    /// Whether the caller wants server-sent events.
    pub stream: bool,
    /// Upper bound of generated tokens.
    pub max_tokens: u32,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Chained hashes of the prompt's full blocks.
    pub blocks: Vec<BlockHash>,
    /// Hash of the prompt.
    pub prompt_hash: u64,
    /// The whole body.
    pub fields: Map<String, Value>,
}

impl ChatBody {
    /// Reads a body. The error says what to send instead.
    pub fn parse(bytes: &[u8]) -> Result<ChatBody, String> {
        let fields: Map<String, Value> = serde_json::from_slice(bytes)
            .map_err(|error| format!("the body is not a JSON object: {error}"))?;
        let model = match fields.get("model") {
            Some(Value::String(model)) if !model.is_empty() => model.as_str(),
            _ => return Err("model must be the name of a model".to_owned()),
        };
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err("stream must be true or false".to_owned()),
        };
        let max_tokens = parse_max_tokens(&fields)?;
        let prompt = render_prompt(&read_messages(&fields)?);
        Ok(ChatBody {
            prompt_tokens: count_tokens(&prompt),
            blocks: block_hashes(model, &prompt),
            prompt_hash: xxh3_64(prompt.as_bytes()),
            model: model.into(),
            stream,
            max_tokens,
            fields,
        })
    }

    /// What the scheduler needs to know of the call.
    pub fn model_call(&self) -> ModelCall {
        ModelCall {
            model: self.model.clone(),
            prompt_tokens: self.prompt_tokens,
            max_tokens: self.max_tokens,
            blocks: self.blocks.clone(),
        }
    }
}

fn parse_max_tokens(fields: &Map<String, Value>) -> Result<u32, String> {
    match fields.get("max_tokens") {
        None | Some(Value::Null) => Ok(DEFAULT_MAX_TOKENS),
        Some(value) => value
            .as_u64()
            .and_then(|tokens| u32::try_from(tokens).ok())
            .filter(|tokens| *tokens >= 1)
            .ok_or_else(|| "max_tokens must be a whole number from 1 on".to_owned()),
    }
}

/// The messages' texts. Other fields of a message stay in the body that is passed on.
fn read_messages(fields: &Map<String, Value>) -> Result<Vec<ChatMessage>, String> {
    let Some(Value::Array(messages)) = fields.get("messages") else {
        return Err("messages must be a list of messages".to_owned());
    };
    if messages.is_empty() {
        return Err("messages must contain at least one message".to_owned());
    }
    messages.iter().enumerate().map(|(index, message)| read_message(index, message)).collect()
}

fn read_message(index: usize, message: &Value) -> Result<ChatMessage, String> {
    let Some(role) = message.get("role").and_then(Value::as_str) else {
        return Err(format!("messages[{index}].role must be a text"));
    };
    let content = match message.get("content") {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(parts)) => {
            let texts = parts.iter().filter_map(|part| part.get("text").and_then(Value::as_str));
            texts.collect()
        }
        None | Some(Value::Null) => String::new(),
        Some(_) => return Err(format!("messages[{index}].content must be a text or a list")),
    };
    Ok(ChatMessage { role: role.to_owned(), content })
}

/// Hash of workspace, service, model and prompt; the same for each sending of one request.
pub fn chat_fingerprint(workspace: &str, service: &str, body: &ChatBody) -> Fingerprint {
    let prompt = body.prompt_hash.to_le_bytes();
    hash_fields(&[workspace.as_bytes(), service.as_bytes(), body.model.as_bytes(), &prompt])
}

/// Hash of workspace, service, method, path and body of a plain call.
pub fn plain_fingerprint(
    workspace: &str,
    service: &str,
    method: &str,
    path: &str,
    body: &[u8],
) -> Fingerprint {
    let fields = [workspace, service, method, path].map(str::as_bytes);
    hash_fields(&[fields[0], fields[1], fields[2], fields[3], body])
}

/// Each field is hashed with its length, so that moving a letter to the next field changes the hash.
fn hash_fields(fields: &[&[u8]]) -> u64 {
    let mut hasher = Xxh3::new();
    for field in fields {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    hasher.digest()
}

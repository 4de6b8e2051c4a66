//! Writes results to standard output.

use std::io::{self, ErrorKind, Write};

use anyhow::Context;

/// Writes a text. A reader that closed its end early, as `head` does, is no failure.
pub(crate) fn write_text(text: &str) -> anyhow::Result<()> {
    let mut output = io::stdout().lock();
    match output.write_all(text.as_bytes()).and_then(|()| output.flush()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => {
            Err(error).context("standard output can't be written")
        }
        _ => Ok(()),
    }
}

/// Writes JSON over several lines, and any other text as it is.
pub(crate) fn write_answer(text: &str) -> anyhow::Result<()> {
    let pretty = serde_json::from_str::<serde_json::Value>(text)
        .and_then(|value| serde_json::to_string_pretty(&value));
    write_text(&format!("{}\n", pretty.as_deref().unwrap_or(text).trim_end()))
}

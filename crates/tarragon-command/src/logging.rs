//! The log: one event a line, as text or JSON, on standard error.

use std::io;

use anyhow::anyhow;
use tarragon_config::settings::LogFormat;
use tracing_subscriber::EnvFilter;

/// Environment variable with the filter, in the form of `tracing-subscriber`, for example `debug`.
pub(crate) const FILTER_VARIABLE: &str = "TARRAGON_LOG";
const DEFAULT_FILTER: &str = "info";

/// Starts the log of this process.
pub(crate) fn start(format: LogFormat) -> anyhow::Result<()> {
    let filter =
        EnvFilter::try_from_env(FILTER_VARIABLE).or_else(|_| EnvFilter::try_new(DEFAULT_FILTER))?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr);
    let started = match format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    started.map_err(|error| anyhow!("the log can't be started: {error}"))
}

//! The log: one event a line, as text or JSON. The processes of the product's own deployments write it to
//! standard error; those on a platform that collects standard output write it there, within bounds.

mod budget;

use std::io;

use anyhow::anyhow;
use tarragon_config::settings::LogFormat;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{EnvFilter, Layer, layer::SubscriberExt, util::SubscriberInitExt};

use budget::LineBudget;

/// Environment variable with the filter, in the form of `tracing-subscriber`, for example `debug`.
pub(crate) const FILTER_VARIABLE: &str = "TARRAGON_LOG";
const DEFAULT_FILTER: &str = "info";
/// Lines that wait for a reader of standard output. Beyond them, lines are lost rather than waited for.
const WAITING_LINES: usize = 4_096;

/// Starts the log of this process.
pub(crate) fn start(format: LogFormat) -> anyhow::Result<()> {
    let builder = tracing_subscriber::fmt().with_env_filter(read_filter()?).with_writer(io::stderr);
    let started = match format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    started.map_err(|error| anyhow!("the log can't be started: {error}"))
}

/// Starts the log on standard output. It never blocks and writes no more lines a second than its budget. The
/// guard writes what is left when it is dropped.
pub(crate) fn start_bounded(format: LogFormat) -> anyhow::Result<WorkerGuard> {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(WAITING_LINES)
        .finish(io::stdout());
    let layer = tracing_subscriber::fmt::layer().with_writer(writer);
    let layer = match format {
        LogFormat::Text => layer.with_ansi(false).boxed(),
        LogFormat::Json => layer.json().flatten_event(true).with_target(false).boxed(),
    };
    let layer = layer.with_filter(LineBudget::default()).with_filter(read_filter()?);
    tracing_subscriber::registry()
        .with(layer)
        .try_init()
        .map_err(|error| anyhow!("the log can't be started: {error}"))?;
    Ok(guard)
}

fn read_filter() -> anyhow::Result<EnvFilter> {
    Ok(EnvFilter::try_from_env(FILTER_VARIABLE).or_else(|_| EnvFilter::try_new(DEFAULT_FILTER))?)
}

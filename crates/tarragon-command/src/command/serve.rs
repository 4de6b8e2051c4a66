//! `serve`: runs the process of one entry VM.

mod gateway;

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use tarragon_config::{check::resolve_relative, settings::ServeSettings};

use super::{
    block_on,
    check::{check_all, render_report},
};

/// Run the process of an entry VM until it is drained
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("serve"))]
pub(crate) struct ServeArguments {
    /// Settings file
    #[bpaf(positional("SETTINGS"))]
    settings: PathBuf,
}

pub(crate) fn execute(arguments: ServeArguments) -> anyhow::Result<ExitCode> {
    let report = check_all(&arguments.settings, None);
    if !report.findings.is_empty() {
        eprint!("{}", render_report(&report));
        return Ok(ExitCode::FAILURE);
    }
    if let Some(settings) = report.gateway {
        return gateway::execute(arguments.settings, settings);
    }
    let Some(mut settings) = report.settings else { return Ok(ExitCode::FAILURE) };
    // The settings name the rules file relative to themselves, whatever the working directory is.
    settings.rules_file =
        settings.rules_file.map(|path| resolve_relative(&arguments.settings, &path));
    block_on(run(settings))
}

async fn run(settings: ServeSettings) -> anyhow::Result<ExitCode> {
    crate::logging::start(settings.log_format)?;
    tarragon_server::serve::run(settings).await?;
    Ok(ExitCode::SUCCESS)
}

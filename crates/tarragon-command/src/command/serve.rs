//! `serve`: runs the process of one entry VM.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use tarragon_config::check::beside;

use super::check::{check_all, render_report};

/// Run the process of an entry VM until it is drained
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("serve"))]
pub(crate) struct ServeArguments {
    /// Settings file
    #[bpaf(positional("SETTINGS"))]
    settings: PathBuf,
}

pub(crate) async fn execute(arguments: ServeArguments) -> anyhow::Result<ExitCode> {
    let report = check_all(&arguments.settings, None);
    let settings = report.settings.clone().filter(|_| report.findings.is_empty());
    let Some(mut settings) = settings else {
        eprint!("{}", render_report(&report));
        return Ok(ExitCode::FAILURE);
    };
    // The settings name the rules file relative to themselves, whatever the working directory is.
    settings.rules_file = settings.rules_file.map(|path| beside(&arguments.settings, &path));
    crate::logging::start(settings.log_format)?;
    tarragon_server::serve::run(settings).await?;
    Ok(ExitCode::SUCCESS)
}

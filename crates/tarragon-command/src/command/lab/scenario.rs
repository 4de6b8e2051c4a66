//! `lab scenario`.

use std::{panic::catch_unwind, path::PathBuf, process::ExitCode};

use anyhow::ensure;
use bpaf::Bpaf;
use tarragon_lab::scenario;

/// Run the scenario files of a folder and compare their output
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("scenario"))]
pub(crate) struct ScenarioArguments {
    /// Folder with scenario files
    #[bpaf(positional("FOLDER"))]
    folder: PathBuf,
}

pub(crate) fn execute(arguments: &ScenarioArguments) -> anyhow::Result<ExitCode> {
    let folder = arguments.folder.clone();
    ensure!(folder.is_dir(), "{} is not a folder", folder.display());
    // The runner reports the first difference by a panic, whose message has been printed by then.
    match catch_unwind(move || scenario::run(&folder)) {
        Ok(()) => Ok(ExitCode::SUCCESS),
        Err(_) => Ok(ExitCode::FAILURE),
    }
}

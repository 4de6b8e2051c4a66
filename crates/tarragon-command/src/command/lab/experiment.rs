//! `lab experiment`.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use tarragon_lab::experiment::{self, ExperimentOptions};

use crate::output::write_text;

/// Measure goodput, wasted prefill and latency against the baselines and write tables and plots
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("experiment"))]
pub(crate) struct ExperimentArguments {
    /// Folder for CSV files and plots
    #[bpaf(long, argument("FOLDER"), fallback(ExperimentOptions::default().output))]
    output: PathBuf,
    /// Determines the requests and the random choices
    #[bpaf(long, argument("N"), fallback(ExperimentOptions::default().seed), display_fallback)]
    seed: u64,
    /// Virtual seconds over which requests arrive
    #[bpaf(long, argument("N"), fallback(ExperimentOptions::default().length.as_secs()), display_fallback)]
    seconds: u64,
    /// Number of entry VMs
    #[bpaf(long, argument("N"), fallback(ExperimentOptions::default().vms), display_fallback)]
    vms: usize,
}

pub(crate) fn execute(arguments: ExperimentArguments) -> anyhow::Result<ExitCode> {
    let ExperimentArguments { output, seed, seconds, vms } = arguments;
    let length = Duration::from_secs(seconds);
    let tables = experiment::run(&ExperimentOptions { output, seed, length, vms })?;
    write_text(&tables)?;
    Ok(ExitCode::SUCCESS)
}

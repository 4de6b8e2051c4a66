//! `lab soak`.

use std::process::ExitCode;

use bpaf::Bpaf;
use tarragon_lab::soak::{self, Mutation, SoakOptions};

use crate::output::write_text;

/// Run nodes with random faults in virtual time and check what must hold
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("soak"))]
pub(crate) struct SoakArguments {
    /// First seed
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// Number of consecutive seeds
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    seeds: u64,
    /// Steps of each run
    #[bpaf(long, argument("N"), fallback(100_000), display_fallback)]
    steps: u64,
    /// Rule to break on purpose, to see that the checks find it
    #[bpaf(long, argument("NAME"))]
    mutation: Option<Mutation>,
    /// Print each event
    #[bpaf(long)]
    echo: bool,
}

pub(crate) fn execute(arguments: SoakArguments) -> anyhow::Result<ExitCode> {
    let SoakArguments { seed, seeds, steps, mutation, echo } = arguments;
    let report = soak::run(SoakOptions { seed, seeds, steps, mutation, echo });
    write_text(&format!("{report}\n"))?;
    Ok(if report.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

//! `lab`: load, randomised runs, scenarios and experiments.

use std::process::ExitCode;

use bpaf::Bpaf;

mod experiment;
mod load;
mod scenario;
mod soak;

use experiment::{ExperimentArguments, experiment_arguments};
use load::{LoadArguments, load_arguments};
use scenario::{ScenarioArguments, scenario_arguments};
use soak::{SoakArguments, soak_arguments};

/// Run load, randomised runs, scenarios and experiments
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("lab"))]
pub(crate) struct LabArguments {
    #[bpaf(external(lab_kind))]
    kind: LabKind,
}

#[derive(Debug, Clone, Bpaf)]
enum LabKind {
    /// Load against running processes.
    Load(#[bpaf(external(load_arguments))] LoadArguments),
    /// Randomised runs in virtual time.
    Soak(#[bpaf(external(soak_arguments))] SoakArguments),
    /// Scripted scenarios.
    Scenario(#[bpaf(external(scenario_arguments))] ScenarioArguments),
    /// Measurements with tables and plots.
    Experiment(#[bpaf(external(experiment_arguments))] ExperimentArguments),
}

pub(crate) async fn execute(arguments: LabArguments) -> anyhow::Result<ExitCode> {
    match arguments.kind {
        LabKind::Load(arguments) => load::execute(arguments).await,
        LabKind::Soak(arguments) => soak::execute(arguments),
        LabKind::Scenario(arguments) => scenario::execute(&arguments),
        LabKind::Experiment(arguments) => experiment::execute(arguments),
    }
}

//! All commands.

use std::{future::Future, process::ExitCode};

use anyhow::Context;
use bpaf::Bpaf;

mod check;
mod demo;
mod drain;
mod dump;
mod explain;
mod lab;
mod rules;
mod serve;
mod standin;
mod trace;

use check::{CheckArguments, check_arguments};
use demo::{DemoArguments, demo_arguments};
use drain::{DrainArguments, drain_arguments};
use dump::{DumpArguments, dump_arguments};
use explain::{ExplainArguments, explain_arguments};
use lab::{LabArguments, lab_arguments};
use rules::{RulesArguments, rules_arguments};
use serve::{ServeArguments, serve_arguments};
use standin::{StandinArguments, standin_arguments};
use trace::{TraceArguments, trace_arguments};

/// Request scheduler for model engines and plain services
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub(crate) enum Command {
    /// Checks settings and rules.
    Check(#[bpaf(external(check_arguments))] CheckArguments),
    /// Runs an entry VM.
    Serve(#[bpaf(external(serve_arguments))] ServeArguments),
    /// Runs a whole fleet in one process.
    Demo(#[bpaf(external(demo_arguments))] DemoArguments),
    /// Runs a stand-in.
    Standin(#[bpaf(external(standin_arguments))] StandinArguments),
    /// Runs load, randomised runs, scenarios and experiments.
    Lab(#[bpaf(external(lab_arguments))] LabArguments),
    /// Prints the state of a process.
    Dump(#[bpaf(external(dump_arguments))] DumpArguments),
    /// Prints where a request would go.
    Explain(#[bpaf(external(explain_arguments))] ExplainArguments),
    /// Prints the rules in force.
    Rules(#[bpaf(external(rules_arguments))] RulesArguments),
    /// Tells a request's story from logs.
    Trace(#[bpaf(external(trace_arguments))] TraceArguments),
    /// Shuts a process down.
    Drain(#[bpaf(external(drain_arguments))] DrainArguments),
}

impl Command {
    /// Runs the command to its end.
    pub(crate) fn execute(self) -> anyhow::Result<ExitCode> {
        match self {
            Command::Check(arguments) => check::execute(&arguments),
            Command::Serve(arguments) => serve::execute(arguments),
            Command::Demo(arguments) => block_on(demo::execute(arguments)),
            Command::Standin(arguments) => block_on(standin::execute(arguments)),
            Command::Lab(arguments) => block_on(lab::execute(arguments)),
            Command::Dump(arguments) => block_on(dump::execute(arguments)),
            Command::Explain(arguments) => block_on(explain::execute(arguments)),
            Command::Rules(arguments) => block_on(rules::execute(arguments)),
            Command::Trace(arguments) => trace::execute(&arguments),
            Command::Drain(arguments) => block_on(drain::execute(arguments)),
        }
    }
}

fn block_on<F>(work: F) -> anyhow::Result<ExitCode>
where
    F: Future<Output = anyhow::Result<ExitCode>>,
{
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("the runtime can't be started")?;
    runtime.block_on(work)
}

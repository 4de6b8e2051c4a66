//! Command line: one command per file.

mod admin_client;
mod command;
mod excerpt;
mod logging;
mod output;

use std::process::ExitCode;

pub use excerpt::{ExcerptStyle, render_findings};

/// Parses the arguments, runs the command and returns the exit code of the process: 0 for success, 1 for
/// findings and failures.
pub fn run() -> ExitCode {
    let command = command::command().run();
    match command.execute() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

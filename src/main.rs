//! The `tarragonfront` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    tarragon_command::run()
}

//! `drain`: starts the graceful shutdown of a process.

use std::process::ExitCode;

use bpaf::Bpaf;
use hyper::Method;

use crate::{
    admin_client::{AdminTarget, admin_target},
    output::write_answer,
};

/// Start the graceful shutdown of a running process
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("drain"))]
pub(crate) struct DrainArguments {
    #[bpaf(external(admin_target))]
    target: AdminTarget,
}

pub(crate) async fn execute(arguments: DrainArguments) -> anyhow::Result<ExitCode> {
    let client = arguments.target.client()?;
    write_answer(&client.call(Method::POST, "/admin/drain").await?)?;
    Ok(ExitCode::SUCCESS)
}

//! `dump`: prints the state of a running process.

use std::process::ExitCode;

use bpaf::Bpaf;
use hyper::Method;

use crate::{
    admin_client::{AdminTarget, admin_target},
    output::write_answer,
};

/// Print the state of a running process
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("dump"))]
pub(crate) struct DumpArguments {
    #[bpaf(external(admin_target))]
    target: AdminTarget,
}

pub(crate) async fn execute(arguments: DumpArguments) -> anyhow::Result<ExitCode> {
    let client = arguments.target.client()?;
    write_answer(&client.call(Method::GET, "/admin/dump").await?)?;
    Ok(ExitCode::SUCCESS)
}

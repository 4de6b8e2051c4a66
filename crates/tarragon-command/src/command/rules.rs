//! `rules`: prints the rules in force with who asked for each.

use std::process::ExitCode;

use bpaf::Bpaf;
use hyper::Method;

use crate::{
    admin_client::{AdminTarget, admin_target},
    output::write_answer,
};

/// Print the rules in force and who asked for each
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("rules"))]
pub(crate) struct RulesArguments {
    #[bpaf(external(admin_target))]
    target: AdminTarget,
}

pub(crate) async fn execute(arguments: RulesArguments) -> anyhow::Result<ExitCode> {
    let client = arguments.target.client()?;
    write_answer(&client.call(Method::GET, "/admin/rules").await?)?;
    Ok(ExitCode::SUCCESS)
}

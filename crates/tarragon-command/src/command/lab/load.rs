//! `lab load`.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use tarragon_lab::load::{self, LoadOptions};

use crate::output::write_text;

/// Send a deployment's load to running processes on loopback
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("load"))]
pub(crate) struct LoadArguments {
    /// Address of an entry VM for callers; may be repeated
    #[bpaf(long, argument("IP:PORT"), some("name an entry VM by --address IP:PORT"))]
    address: Vec<SocketAddr>,
    /// Workload: oshana or onitsha
    #[bpaf(long, argument("NAME"), fallback("oshana".to_owned()))]
    workload: String,
    /// Mean number of requests per second
    #[bpaf(long, argument("N"), fallback(20.0))]
    rate: f64,
    /// Seconds over which requests start, 600 at most
    #[bpaf(long, argument("N"), fallback(30), display_fallback)]
    seconds: u64,
    /// Determines the requests
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// How often a request without an answer is sent again
    #[bpaf(long, argument("N"), fallback(0), display_fallback)]
    repeats: u32,
}

pub(crate) async fn execute(arguments: LoadArguments) -> anyhow::Result<ExitCode> {
    let options = LoadOptions {
        addresses: arguments.address,
        workload: arguments.workload,
        rate: arguments.rate,
        length: Duration::from_secs(arguments.seconds),
        seed: arguments.seed,
        repeats: arguments.repeats,
    };
    let table = load::run(options).await?;
    write_text(&format!("{table}\n"))?;
    let planned = u64::try_from(table.planned).unwrap_or(u64::MAX);
    Ok(if table.answered() == planned { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

//! `demo`: stand-ins and four entry VMs of two data centres in one process, with a mixed load, a data
//! centre that leaves and returns, and an engine that crashes and starts cold.

use std::{process::ExitCode, sync::Arc, time::Duration};

use anyhow::Context;
use bpaf::Bpaf;
use indicatif::{ProgressBar, ProgressStyle};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until, timeout, timeout_at},
};

mod account;
mod audit;
mod call;
mod fleet;
mod plan;

use account::DemoAccount;
use audit::FleetAudit;
use call::{DemoClient, DemoResult};
use fleet::DemoFleet;
use plan::DemoRequest;
use tarragon_config::settings::LogFormat;

use crate::{logging, output::write_text};

/// Time after the last arrival in which open requests must end.
const TAIL_TIME: Duration = Duration::from_secs(15);
/// Bound of the whole demo.
const DEMO_TIME: Duration = Duration::from_secs(58);

/// Run stand-ins and four entry VMs on loopback, send a mixed load and print the result
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("demo"))]
pub(crate) struct DemoArguments {
    /// Seconds over which requests start, 3 to 25
    #[bpaf(long, argument("N"), guard(is_length, "write 3 to 25"), fallback(24), display_fallback)]
    seconds: u64,
    /// Mean number of requests per second, 1 to 200
    #[bpaf(long, argument("N"), guard(is_rate, "write 1 to 200"), fallback(40), display_fallback)]
    rate: u64,
    /// Determines the requests
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    seed: u64,
}

fn is_length(seconds: &u64) -> bool {
    (3..=25).contains(seconds)
}

fn is_rate(rate: &u64) -> bool {
    (1..=200).contains(rate)
}

pub(crate) async fn execute(arguments: DemoArguments) -> anyhow::Result<ExitCode> {
    let whole = timeout(DEMO_TIME, run_demo(arguments)).await;
    whole.with_context(|| format!("the demo did not end within {DEMO_TIME:?}"))?
}

async fn run_demo(arguments: DemoArguments) -> anyhow::Result<ExitCode> {
    // The log would hide the progress bar; it is written only if a filter is set.
    if std::env::var_os(logging::FILTER_VARIABLE).is_some() {
        logging::start(LogFormat::Text)?;
    }
    let length = Duration::from_secs(arguments.seconds);
    write_text("starting stand-ins and 4 entry VMs of 2 data centres on loopback ports\n")?;
    let fleet = Arc::new(DemoFleet::start().await?);
    let requests = plan::plan_requests(arguments.seed, arguments.rate, length);
    let events = tokio::spawn(run_events(fleet.clone(), Instant::now(), length));
    let mut account = send_all(&fleet, requests).await;
    let audit = events.await?;
    audit.finish(&fleet, &mut account).await;
    fleet.shut_down(&mut account).await;
    write_text(&account.to_string())?;
    Ok(if account.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Takes a data centre out and in again, and crashes an engine while it is out. The engine's cold start shows
/// in reset connections and a new restart id, so that no admission above what it bears is excusable.
async fn run_events(fleet: Arc<DemoFleet>, begin: Instant, length: Duration) -> FleetAudit {
    let mut audit = FleetAudit::default();
    sleep_until(begin + length.mul_f64(0.3)).await;
    fleet.set_data_centre(1, false, &mut audit);
    sleep_until(begin + length.mul_f64(0.3) + audit::OUT_AFTER).await;
    audit.note_out(&fleet, 1);
    sleep_until(begin + length.mul_f64(0.5)).await;
    fleet.engines[0][0].crash().await;
    sleep_until(begin + length.mul_f64(0.65)).await;
    audit.check_out(&fleet, 1);
    fleet.set_data_centre(1, true, &mut audit);
    audit
}

/// Sends each request at its time to a VM that is ready, as a load balancer does.
async fn send_all(fleet: &Arc<DemoFleet>, requests: Vec<DemoRequest>) -> DemoAccount {
    let bar = progress_bar(requests.len());
    let client = DemoClient::new(fleet.callers());
    let mut account = DemoAccount::new(requests.len());
    let mut open: JoinSet<DemoResult> = JoinSet::new();
    let begin = Instant::now();
    let health = tokio::spawn(client.clone().follow_health());
    for request in requests {
        sleep_until(begin + request.start).await;
        let client = client.clone();
        open.spawn(async move { client.send(request).await });
        while let Some(Ok(result)) = open.try_join_next() {
            bar.inc(1);
            account.add(result);
        }
    }
    let end = Instant::now() + TAIL_TIME;
    while let Ok(Some(Ok(result))) = timeout_at(end, open.join_next()).await {
        bar.inc(1);
        account.add(result);
    }
    // A request that is still open has no answer: it does not appear in the account, which then fails.
    open.shutdown().await;
    health.abort();
    bar.finish_and_clear();
    account.elapsed = begin.elapsed();
    account
}

fn progress_bar(requests: usize) -> ProgressBar {
    let bar = ProgressBar::new(u64::try_from(requests).unwrap_or(u64::MAX));
    let style = ProgressStyle::with_template("{elapsed_precise} {wide_bar} {pos}/{len} answered");
    if let Ok(style) = style {
        bar.set_style(style);
    }
    bar
}

//! Open-loop load against running processes. Arrival times are fixed before the run and latency counts
//! from the intended start, so that a slow process can't hide its delay by slowing down the generator.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::{bail, ensure};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{sync::mpsc, task::JoinSet, time::Instant};

use crate::workload::{PlannedRequest, Workload};

mod client;
mod report;

pub use client::{LoadAnswer, LoadOutcome};
pub use report::{ClassReport, LoadReportTable};
pub(crate) use report::{latency_histogram, quantiles};

use client::LoadClient;

/// Greatest number of requests of one run.
pub const MAX_REQUESTS: usize = 200_000;
/// Greatest length of one run.
pub const MAX_LENGTH: Duration = Duration::from_secs(600);
/// Greatest number of requests that are open at once; a request beyond it counts as `not-sent`.
const MAX_OPEN: usize = 4_096;
/// Time after the longest deadline of the workload in which the last answers are awaited.
const ANSWER_GRACE: Duration = Duration::from_secs(5);

/// What to send where.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// Addresses of the entry VMs for callers. Each request goes to a random one.
    pub addresses: Vec<SocketAddr>,
    /// Workload by name.
    pub workload: String,
    /// Mean requests per second.
    pub rate: f64,
    /// Time over which requests start.
    pub length: Duration,
    /// Determines the plan and the choice of VMs.
    pub seed: u64,
    /// How often a request that was answered by a refusal or a broken connection is sent again.
    pub repeats: u32,
}

/// Sends the planned requests and reports what came back.
pub async fn run(options: LoadOptions) -> anyhow::Result<LoadReportTable> {
    ensure!(!options.addresses.is_empty(), "name at least one address of an entry VM");
    ensure!(options.rate > 0.0, "the rate must be above 0 requests per second");
    ensure!(
        options.addresses.iter().all(|address| address.ip().is_loopback()),
        "addresses must be loopback addresses"
    );
    let length = options.length.min(MAX_LENGTH);
    let workload = Arc::new(Workload::named(&options.workload)?);
    let plan = workload.plan(options.rate, length, options.seed);
    if plan.len() > MAX_REQUESTS {
        bail!("the plan has {} requests; the limit is {MAX_REQUESTS}", plan.len());
    }
    Ok(send_plan(&options, workload, plan).await)
}

async fn send_plan(
    options: &LoadOptions,
    workload: Arc<Workload>,
    plan: Vec<PlannedRequest>,
) -> LoadReportTable {
    let client = LoadClient::new(options.addresses.clone(), workload.clone(), options.repeats);
    let mut random = ChaCha8Rng::seed_from_u64(options.seed ^ 0x10ad);
    let (answers, mut received) = mpsc::unbounded_channel();
    let mut table = LoadReportTable::new(&workload);
    let mut open = JoinSet::new();
    let begin = Instant::now();
    let planned = plan.len();
    for request in plan {
        let intended = begin + request.start;
        tokio::time::sleep_until(intended).await;
        while open.try_join_next().is_some() {}
        while let Ok(answer) = received.try_recv() {
            table.add(&answer);
        }
        if open.len() >= MAX_OPEN {
            table.add(&LoadAnswer::not_sent(request.class));
            continue;
        }
        let (client, answers) = (client.clone(), answers.clone());
        let choice = random.random();
        open.spawn(async move {
            let answer = client.call(&request, intended, choice).await;
            // The receiver is dropped only after the run, when nobody counts late answers.
            let _ = answers.send(answer);
        });
    }
    drop(answers);
    let end = Instant::now() + workload.longest_deadline() + ANSWER_GRACE;
    while let Ok(Some(answer)) = tokio::time::timeout_at(end, received.recv()).await {
        table.add(&answer);
    }
    open.shutdown().await;
    table.finish(planned, begin.elapsed());
    table
}

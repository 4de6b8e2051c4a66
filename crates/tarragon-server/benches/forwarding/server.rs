//! The measured process.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, ChildStdout, Command, Stdio},
    time::Duration,
};

use anyhow::{Context, ensure};
use tarragon_protocol::platform::PublishedTarget;
use tarragon_server::{
    serve::{ServeOptions, ServerHandle, start_with},
    settings::{ProcessLimits, SecretText, ServeSettings},
};

use crate::target::ENGINES;

/// Seconds of each measurement.
const SECONDS: u64 = 3;
/// Rounds, each with the direct way and the way through the server.
const ROUNDS: usize = 3;
/// Connections of the throughput measurement.
const CONNECTIONS: usize = 32;
/// Numbers of open streams at which memory is measured.
const STREAMS: [usize; 3] = [500, 1_000, 2_000];
/// Bytes of a page in `/proc/self/statm`.
const PAGE_BYTES: usize = 4_096;

const RULES: &str = "\
service pool kind=model idempotent=yes # asked by: measurement
service lookup kind=plain idempotent=yes # asked by: measurement
model small service=pool # asked by: measurement
";

/// A process of this program with a role. It ends when it is dropped.
struct RoleProcess {
    child: Child,
    lines: BufReader<ChildStdout>,
}

impl RoleProcess {
    fn start(arguments: &[&str]) -> anyhow::Result<RoleProcess> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().context("no output")?;
        Ok(RoleProcess { child, lines: BufReader::new(output) })
    }

    fn line(&mut self) -> anyhow::Result<String> {
        let mut line = String::new();
        self.lines.read_line(&mut line)?;
        ensure!(!line.is_empty(), "a process of the measurement ended early");
        Ok(line.trim().to_owned())
    }
}

impl Drop for RoleProcess {
    fn drop(&mut self) {
        drop(self.child.stdin.take());
        let _ = self.child.wait();
    }
}

/// Result of one measurement of calls.
struct CallFigures {
    rate: f64,
    median: f64,
    high: f64,
}

async fn measure_calls(address: &str, connections: usize) -> anyhow::Result<CallFigures> {
    let arguments = [address.to_owned(), connections.to_string(), SECONDS.to_string()];
    tokio::task::spawn_blocking(move || {
        let mut client =
            RoleProcess::start(&["call", &arguments[0], &arguments[1], &arguments[2]])?;
        let line = client.line()?;
        let figures: Vec<f64> =
            line.split(' ').map(str::parse).collect::<Result<_, _>>().context("figures")?;
        let rate = figures[0] / SECONDS as f64;
        Ok(CallFigures { rate, median: figures[1], high: figures[2] })
    })
    .await?
}

/// Runs all measurements and prints their figures.
pub async fn run() -> anyhow::Result<()> {
    let mut targets = RoleProcess::start(&["target"])?;
    let service = targets.line()?;
    let mut published = vec![target("lookup-1", "lookup", &service)];
    for index in 0..ENGINES {
        published.push(target(&format!("runner-{index}"), "pool", &targets.line()?));
    }
    let handle = start(published).await?;
    let server = handle.caller_address.to_string();
    for connections in [1, CONNECTIONS] {
        for round in 1..=ROUNDS {
            let direct = measure_calls(&service, connections).await?;
            let through = measure_calls(&server, connections).await?;
            println!(
                "round {round}, {connections} connections: direct {:.0}/s p50 {:.0} us p99 {:.0} us; \
                 through {:.0}/s p50 {:.0} us p99 {:.0} us; added p50 {:.0} us p99 {:.0} us; rate ratio {:.2}",
                direct.rate,
                direct.median,
                direct.high,
                through.rate,
                through.median,
                through.high,
                through.median - direct.median,
                through.high - direct.high,
                through.rate / direct.rate,
            );
        }
    }
    measure_memory(&server).await?;
    handle.abort().await?;
    Ok(())
}

/// Resident memory of this process at three numbers of open streams, with the slopes between them.
async fn measure_memory(server: &str) -> anyhow::Result<()> {
    let mut previous = (0, resident_bytes()?);
    println!("memory without streams: {:.1} MB", megabytes(previous.1));
    for streams in STREAMS {
        let arguments = [server.to_owned(), streams.to_string()];
        let client = tokio::task::spawn_blocking(move || {
            let mut client = RoleProcess::start(&["hold", &arguments[0], &arguments[1]])?;
            client.line()?;
            anyhow::Ok(client)
        })
        .await??;
        tokio::time::sleep(Duration::from_secs(1)).await;
        let bytes = resident_bytes()?;
        let slope = bytes.saturating_sub(previous.1) as f64 / (streams - previous.0) as f64;
        println!(
            "memory at {streams} streams: {:.1} MB, {:.1} KB for each stream more",
            megabytes(bytes),
            slope / 1_000.0,
        );
        previous = (streams, bytes);
        tokio::task::spawn_blocking(move || drop(client)).await?;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    Ok(())
}

fn megabytes(bytes: usize) -> f64 {
    bytes as f64 / 1_000_000.0
}

fn resident_bytes() -> anyhow::Result<usize> {
    let pages = std::fs::read_to_string("/proc/self/statm")?;
    let resident: usize = pages.split(' ').nth(1).context("no resident size")?.parse()?;
    Ok(resident * PAGE_BYTES)
}

fn target(name: &str, service: &str, address: &str) -> PublishedTarget {
    PublishedTarget {
        target: name.into(),
        service: service.into(),
        address: address.to_owned(),
        hardware: None,
        checks_fencing: true,
    }
}

async fn start(targets: Vec<PublishedTarget>) -> anyhow::Result<ServerHandle> {
    let any: SocketAddr = "127.0.0.1:0".parse()?;
    let rules = std::env::temp_dir().join(format!("tarragon-{}.rules", std::process::id()));
    std::fs::write(&rules, RULES)?;
    let settings = ServeSettings {
        vm: "measured".into(),
        data_centre: "here".into(),
        caller_address: any,
        peer_address: any,
        admin_address: any,
        admin_key: None,
        peer_keys: vec![SecretText::new("a key of the measurement")],
        platform: None,
        seed_peers: Vec::new(),
        log_format: Default::default(),
        limits: ProcessLimits::default(),
        drain_timeout: Duration::from_secs(5),
        rules_file: Some(rules),
        targets,
    };
    let options = ServeOptions { settling: Duration::from_millis(100), ..ServeOptions::default() };
    let handle = start_with(settings, options).await?;
    handle.ready().await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    Ok(handle)
}

//! The targets' process: plain services and engines, until standard input closes.

use std::{io::Read, time::Duration};

use tarragon_standin::{
    engine::{self, EngineSettings, HardwareProfile},
    service::{self, ServiceSettings},
};

/// Engines over which open streams are spread.
pub const ENGINES: usize = 8;
/// Streams that one engine takes.
const STREAMS: u32 = 1_024;
/// Time between two tokens of a stream.
const TOKEN_TIME: Duration = Duration::from_millis(200);

/// Starts the targets and prints their addresses, the plain service first.
pub async fn run() -> anyhow::Result<()> {
    let mut settings = ServiceSettings::new("lookup-1");
    settings.delay = Duration::ZERO;
    settings.bears = STREAMS;
    let service = service::start(settings).await?;
    println!("{}", service.address());
    let hardware = HardwareProfile {
        name: "bench".to_owned(),
        prefill_rate: 1e9,
        prefill_chunk: 1 << 20,
        step_base: TOKEN_TIME,
        step_per_sequence: Duration::ZERO,
        max_batch: STREAMS,
    };
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let name = format!("runner-{index}");
        let engine = engine::start(EngineSettings::new(&name, hardware.clone(), "small")).await?;
        println!("{}", engine.address());
        engines.push(engine);
    }
    tokio::task::spawn_blocking(|| std::io::stdin().read_to_end(&mut Vec::new())).await??;
    Ok(())
}

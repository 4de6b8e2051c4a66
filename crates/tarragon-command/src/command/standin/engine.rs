//! `standin engine`.

use std::{net::SocketAddr, process::ExitCode, sync::Arc};

use bpaf::Bpaf;
use tarragon_standin::engine::{self, EngineSettings, HardwareProfile};

/// Run a model engine
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("engine"))]
pub(crate) struct EngineArguments {
    /// Address to listen on
    #[bpaf(long, argument("IP:PORT"))]
    listen: SocketAddr,
    /// Models that it holds; may be repeated
    #[bpaf(long, argument("NAME"), some("name a model by --model NAME"))]
    model: Vec<String>,
    /// Hardware generation, 1 or 2
    #[bpaf(long, argument("N"), fallback(2), display_fallback)]
    generation: u32,
    /// How many times as fast as that generation
    #[bpaf(
        long,
        argument("FACTOR"),
        guard(is_speed, "write a number from 0.01 to 1000"),
        fallback(1.0)
    )]
    speed: f64,
    /// Start cold
    #[bpaf(long)]
    cold: bool,
    /// Crash on prompts that contain this text
    #[bpaf(long, argument("TEXT"))]
    crash_text: Option<String>,
    /// Take orders with an old fencing number, too
    #[bpaf(long)]
    ignore_fencing: bool,
}

fn is_speed(speed: &f64) -> bool {
    (0.01..=1000.0).contains(speed)
}

pub(crate) async fn execute(arguments: EngineArguments) -> anyhow::Result<ExitCode> {
    let hardware = match arguments.generation {
        1 => HardwareProfile::first_generation(),
        2 => HardwareProfile::second_generation(),
        other => anyhow::bail!("there is no generation {other}; write 1 or 2"),
    };
    let settings = EngineSettings {
        bind: arguments.listen,
        start_cold: arguments.cold,
        crash_text: arguments.crash_text,
        checks_fencing: !arguments.ignore_fencing,
        models: arguments.model.iter().map(|model| Arc::from(model.as_str())).collect(),
        // The counts are never read in this command and would grow without bound.
        count_runs: false,
        ..EngineSettings::new("engine", hardware.scaled(arguments.speed), "")
    };
    let engine = engine::start(settings).await?;
    tracing::info!(address = %engine.address(), "engine stand-in listens");
    tokio::signal::ctrl_c().await?;
    Ok(ExitCode::SUCCESS)
}

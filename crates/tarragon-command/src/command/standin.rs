//! `standin`: runs one stand-in until it is interrupted.

use std::process::ExitCode;

use bpaf::Bpaf;
use tarragon_config::settings::LogFormat;

mod engine;
mod platform;
mod service;

use engine::{EngineArguments, engine_arguments};
use platform::{PlatformArguments, platform_arguments};
use service::{ServiceArguments, service_arguments};

/// Run a stand-in for a part of the platform, for trials
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("standin"))]
pub(crate) struct StandinArguments {
    #[bpaf(external(standin_kind))]
    kind: StandinKind,
}

#[derive(Debug, Clone, Bpaf)]
enum StandinKind {
    /// A model engine.
    Engine(#[bpaf(external(engine_arguments))] EngineArguments),
    /// A plain service.
    Service(#[bpaf(external(service_arguments))] ServiceArguments),
    /// Configuration service and VM list.
    Platform(#[bpaf(external(platform_arguments))] PlatformArguments),
}

pub(crate) async fn execute(arguments: StandinArguments) -> anyhow::Result<ExitCode> {
    crate::logging::start(LogFormat::Text)?;
    match arguments.kind {
        StandinKind::Engine(arguments) => engine::execute(arguments).await,
        StandinKind::Service(arguments) => service::execute(arguments).await,
        StandinKind::Platform(arguments) => platform::execute(arguments).await,
    }
}

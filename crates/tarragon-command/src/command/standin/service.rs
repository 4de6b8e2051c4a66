//! `standin service`.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use tarragon_standin::service::{self, ServiceSettings};

/// Run a plain service
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("service"))]
pub(crate) struct ServiceArguments {
    /// Address to listen on
    #[bpaf(long, argument("IP:PORT"))]
    listen: SocketAddr,
    /// Name that answers contain
    #[bpaf(long, argument("NAME"), fallback("service".to_owned()))]
    name: String,
    /// Milliseconds that a call takes
    #[bpaf(long, argument("MS"), fallback(20), display_fallback)]
    delay_ms: u64,
}

pub(crate) async fn execute(arguments: ServiceArguments) -> anyhow::Result<ExitCode> {
    let settings = ServiceSettings {
        bind: arguments.listen,
        delay: Duration::from_millis(arguments.delay_ms),
        ..ServiceSettings::new(&arguments.name)
    };
    let service = service::start(settings).await?;
    tracing::info!(address = %service.address(), "service stand-in listens");
    tokio::signal::ctrl_c().await?;
    Ok(ExitCode::SUCCESS)
}

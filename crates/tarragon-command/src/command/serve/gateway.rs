//! Runs a process that forwards calls between callers and targets of a shared store.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use anyhow::Context;
use tarragon_config::{check::check_files, settings::GatewaySettings};
use tarragon_gateway::{
    platform::CallProtocol,
    serve::{GatewayHandle, GatewayOptions, start},
};
use tarragon_platform::{PlatformProtocol, PlatformStore};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::interval,
};

/// Interval at which the settings file is looked at for changes that no signal announces.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

pub(super) fn execute(path: PathBuf, settings: GatewaySettings) -> anyhow::Result<ExitCode> {
    // A small VM has a part of one core: more threads would only take turns.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("the runtime can't be started")?;
    let _log = crate::logging::start_bounded(settings.log_format)?;
    runtime.block_on(run(path, settings))
}

async fn run(path: PathBuf, settings: GatewaySettings) -> anyhow::Result<ExitCode> {
    let store = PlatformStore::new(settings.store_address).with_heartbeat(settings.heartbeat);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    let mut current = settings.clone();
    let handle = start(settings, PlatformProtocol, store, GatewayOptions::default()).await?;
    let mut looks = interval(SETTINGS_INTERVAL);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => reload_settings(&path, &handle, &mut current, "signal"),
            _ = looks.tick() => reload_settings(&path, &handle, &mut current, "file"),
        }
    }
    let report = tokio::select! {
        report = handle.shutdown() => report,
        _ = interrupt.recv() => {
            tracing::error!("a second signal ends the process at once");
            return Ok(ExitCode::FAILURE);
        }
    };
    Ok(if report.interrupted.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Takes changed settings. Only seeds and the grace period can change while the process runs; addresses need a
/// new start. Settings with findings change nothing.
fn reload_settings<D>(
    path: &Path,
    handle: &GatewayHandle<D>,
    current: &mut GatewaySettings,
    trigger: &str,
) where
    D: CallProtocol,
{
    let report = check_files(path, None);
    let Some(settings) = report.gateway else {
        tracing::error!(trigger, findings = %report.findings, "settings are not taken");
        return;
    };
    if settings == *current {
        return;
    }
    tracing::info!(
        trigger,
        seeds = settings.seeds.len(),
        grace_ms = settings.grace.as_millis() as u64,
        "settings have changed"
    );
    handle.apply_settings(&settings);
    *current = settings;
}

//! Starts an engine stand-in and controls it.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

use super::{
    EngineBatch, EngineCounters, EngineSettings, http::EngineService, report::ReportHistory,
};
use crate::listener::{ListenerControl, start_listener};

/// Interval of the samples that load reports are made of.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// State that the batching task, the connections and the handle share.
#[derive(Debug)]
pub(super) struct EngineShared {
    batch: Mutex<EngineBatch>,
    reports: Mutex<ReportHistory>,
    work: Notify,
    pub(super) stop: CancellationToken,
}

impl EngineShared {
    pub(super) fn batch(&self) -> MutexGuard<'_, EngineBatch> {
        self.batch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn reports(&self) -> MutexGuard<'_, ReportHistory> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the batching task that there is something to do.
    pub(super) fn wake(&self) {
        self.work.notify_one();
    }

    fn sample(&self) {
        let now = Instant::now().into_std();
        let report = self.batch().load_report(now);
        self.reports().push(report, now);
    }
}

/// Controls a running engine stand-in. Dropping it stops the engine.
#[derive(Debug)]
pub struct EngineHandle {
    shared: Arc<EngineShared>,
    control: Arc<ListenerControl>,
}

/// Starts an engine.
pub async fn start(settings: EngineSettings) -> anyhow::Result<EngineHandle> {
    let (control, listener) = start_listener(settings.bind).await?;
    let now = Instant::now().into_std();
    let report_lag = settings.report_lag;
    // The port tells apart engines whose restart counts are equal.
    let first_restart = u64::from(control.address().port()) << 32;
    let shared = Arc::new(EngineShared {
        batch: Mutex::new(EngineBatch::new(settings, first_restart, now)),
        reports: Mutex::new(ReportHistory::new(report_lag)),
        work: Notify::new(),
        stop: control.stopped(),
    });
    shared.sample();
    listener.serve(Arc::new(EngineService { shared: shared.clone() }));
    let control = Arc::new(control);
    spawn_until_stopped(&shared, run_batches(shared.clone(), Arc::downgrade(&control)));
    spawn_until_stopped(&shared, run_samples(shared.clone()));
    Ok(EngineHandle { shared, control })
}

fn spawn_until_stopped<F>(shared: &EngineShared, task: F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let stop = shared.stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = task => {}
        }
    });
}

async fn run_batches(shared: Arc<EngineShared>, control: std::sync::Weak<ListenerControl>) {
    loop {
        let step = shared.batch().begin_step(Instant::now().into_std());
        let Some(duration) = step else {
            shared.work.notified().await;
            continue;
        };
        sleep(duration).await;
        let crashed = shared.batch().finish_step(Instant::now().into_std());
        if crashed {
            let Some(control) = control.upgrade() else { return };
            crash(&shared, &control).await;
        }
    }
}

/// Dies and restarts: connections are reset and refused for a while, and the state is new.
async fn crash(shared: &EngineShared, control: &ListenerControl) {
    control.refuse(true);
    control.reset_connections();
    shared.batch().crash(Instant::now().into_std());
    shared.reports().clear();
    let delay = shared.batch().settings().restart_delay;
    sleep(delay).await;
    shared.batch().turn_cold(Instant::now().into_std());
    shared.sample();
    control.refuse(false);
}

async fn run_samples(shared: Arc<EngineShared>) {
    loop {
        sleep(SAMPLE_INTERVAL).await;
        shared.sample();
    }
}

impl EngineHandle {
    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Counters since the start.
    pub fn counters(&self) -> EngineCounters {
        self.shared.batch().counters.clone()
    }

    /// Requests inside the engine now.
    pub fn occupied(&self) -> u32 {
        self.shared.batch().occupied()
    }

    /// Whether it is cold now.
    pub fn is_cold(&self) -> bool {
        self.shared.batch().is_cold(Instant::now().into_std())
    }

    /// Becomes cold without a restart and without notice.
    pub fn turn_cold(&self) {
        self.shared.batch().turn_cold(Instant::now().into_std());
    }

    /// Multiplies the time of each step; 1 is normal.
    pub fn slow_down(&self, factor: f64) {
        self.shared.batch().set_slowness(factor);
    }

    /// Reports itself as leaving, or no longer.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.batch().set_leaving(leaving);
    }

    /// Prompts that contain this text crash the engine.
    pub fn crash_on(&self, text: Option<&str>) {
        self.shared.batch().set_crash_text(text.map(str::to_owned));
    }

    /// Crashes now and returns when the engine accepts connections again.
    pub async fn crash(&self) {
        crash(&self.shared, &self.control).await;
    }

    /// Refuses new connections, or accepts them again. Open ones stay.
    pub fn refuse_connections(&self, refusing: bool) {
        self.control.refuse(refusing);
    }
}

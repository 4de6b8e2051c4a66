//! Stand-in for a plain service. It records each call that it executes by the caller's id in the
//! `x-call-id` header, so that a call that ran twice, or that ran though its caller was told "not run",
//! becomes visible.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use indexmap::IndexMap;
use tarragon_protocol::prelude::*;
use tokio::time::{Instant, sleep};

use crate::{
    engine::ReportHistory,
    listener::{CloseConnection, ListenerControl, StandinBody, StandinService, start_listener},
    respond::{any_port, error_response, json_response, read_body},
};

/// Header with the id under which an executed call is recorded.
pub const CALL_ID: &str = "x-call-id";
/// Interval of the samples that load reports are made of.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceSettings {
    /// Name, which each answer contains.
    pub name: TargetName,
    /// Address to listen on.
    pub bind: SocketAddr,
    /// Concurrent calls that it reports to bear.
    pub bears: u32,
    /// Time that a call takes.
    pub delay: Duration,
    /// Age of the figures in load reports.
    pub report_lag: Duration,
}

impl ServiceSettings {
    /// A service that answers within 20 ms.
    pub fn new(name: &str) -> ServiceSettings {
        ServiceSettings {
            name: Arc::from(name),
            bind: any_port(),
            bears: 16,
            delay: Duration::from_millis(20),
            report_lag: Duration::from_millis(500),
        }
    }
}

/// A fault that calls meet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceFault {
    /// The call is executed, but the connection closes before the answer.
    CloseAfterRun,
    /// The connection closes before the call is executed.
    CloseBeforeRun,
    /// The call is not executed and answered with status 500.
    Status500,
}

/// What a service counts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceCounters {
    /// How often each call id was executed.
    pub runs: IndexMap<String, u32>,
    /// Calls executed, with and without an id.
    pub executed: u64,
    /// Calls received, executed or not.
    pub received: u64,
    /// Most calls at once.
    pub peak: u32,
}

impl ServiceCounters {
    /// Call ids that were executed more than once.
    pub fn double_runs(&self) -> Vec<&str> {
        let doubled = self.runs.iter().filter(|(_, count)| **count > 1);
        doubled.map(|(id, _)| id.as_str()).collect()
    }
}

#[derive(Debug)]
struct ServiceState {
    counters: ServiceCounters,
    active: u32,
    delay: Duration,
    state: TargetState,
    bears: u32,
    restart: u64,
    fault: Option<(ServiceFault, u32)>,
    reports: ReportHistory,
}

impl ServiceState {
    fn sample(&mut self, now: std::time::Instant) {
        let report = LoadReport {
            restart_id: self.restart,
            state: self.state,
            capacity: self.bears,
            running: self.active,
            waiting: 0,
            free_cache_tokens: 0,
            models: Vec::new(),
            fencing: 0,
            last_order_age_ms: None,
            lag_ms: 0,
        };
        self.reports.push(report, now);
    }

    fn take_fault(&mut self) -> Option<ServiceFault> {
        let (fault, left) = self.fault.take()?;
        if left > 1 {
            self.fault = Some((fault, left - 1));
        }
        Some(fault)
    }

    fn note_run(&mut self, call_id: Option<&str>) {
        self.counters.executed += 1;
        if let Some(id) = call_id {
            *self.counters.runs.entry(id.to_owned()).or_default() += 1;
        }
    }
}

#[derive(Debug)]
struct PlainService {
    name: TargetName,
    state: Mutex<ServiceState>,
}

/// Counts a call as active until it is dropped, also when its connection is reset.
struct ActiveCall<'s>(&'s PlainService);

impl Drop for ActiveCall<'_> {
    fn drop(&mut self) {
        self.0.state().active -= 1;
    }
}

impl PlainService {
    fn state(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn begin(&self) -> (ActiveCall<'_>, Option<ServiceFault>, Duration) {
        let mut state = self.state();
        state.counters.received += 1;
        state.active += 1;
        state.counters.peak = state.counters.peak.max(state.active);
        let (fault, delay) = (state.take_fault(), state.delay);
        drop(state);
        (ActiveCall(self), fault, delay)
    }

    fn load(&self) -> Response<StandinBody> {
        match self.state().reports.lagging(Instant::now().into_std()) {
            Some(report) => json_response(StatusCode::OK, &report),
            None => error_response(StatusCode::SERVICE_UNAVAILABLE, "starting", "no report yet"),
        }
    }

    async fn call(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<StandinBody>, CloseConnection> {
        let (_active, fault, delay) = self.begin();
        let method = request.method().to_string();
        let path = request.uri().to_string();
        let call_id = request.headers().get(CALL_ID).and_then(|id| id.to_str().ok());
        let call_id = call_id.map(str::to_owned);
        let Some(body) = read_body(request).await else { return Err(CloseConnection) };
        match fault {
            Some(ServiceFault::CloseBeforeRun) => return Err(CloseConnection),
            Some(ServiceFault::Status500) => {
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                return Ok(error_response(status, "failed", "the call was not executed"));
            }
            _ => self.state().note_run(call_id.as_deref()),
        }
        sleep(delay).await;
        if fault == Some(ServiceFault::CloseAfterRun) {
            return Err(CloseConnection);
        }
        let answer = serde_json::json!({
            "service": &*self.name,
            "method": method,
            "path": path,
            "call_id": call_id,
            "body": String::from_utf8_lossy(&body),
        });
        Ok(json_response(StatusCode::OK, &answer))
    }
}

impl StandinService for PlainService {
    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<StandinBody>, CloseConnection> {
        if request.method() == http::Method::GET && request.uri().path() == "/load" {
            return Ok(self.load());
        }
        self.call(request).await
    }
}

/// Controls a running service stand-in. Dropping it stops the service.
#[derive(Debug)]
pub struct ServiceHandle {
    service: Arc<PlainService>,
    control: ListenerControl,
}

/// Starts a plain service.
pub async fn start(settings: ServiceSettings) -> anyhow::Result<ServiceHandle> {
    let (control, listener) = start_listener(settings.bind).await?;
    let mut state = ServiceState {
        counters: ServiceCounters::default(),
        active: 0,
        delay: settings.delay,
        state: TargetState::Warm,
        bears: settings.bears,
        restart: u64::from(control.address().port()) << 32,
        fault: None,
        reports: ReportHistory::new(settings.report_lag),
    };
    state.sample(Instant::now().into_std());
    let service = Arc::new(PlainService { name: settings.name, state: Mutex::new(state) });
    listener.serve(service.clone());
    let (sampled, stop) = (service.clone(), control.stopped());
    tokio::spawn(async move {
        while !stop.is_cancelled() {
            sleep(SAMPLE_INTERVAL).await;
            sampled.state().sample(Instant::now().into_std());
        }
    });
    Ok(ServiceHandle { service, control })
}

impl ServiceHandle {
    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Counters since the start.
    pub fn counters(&self) -> ServiceCounters {
        self.service.state().counters.clone()
    }

    /// How often a call id was executed.
    pub fn runs_of(&self, call_id: &str) -> u32 {
        self.service.state().counters.runs.get(call_id).copied().unwrap_or(0)
    }

    /// The next `count` calls meet a fault.
    pub fn fail_next(&self, fault: ServiceFault, count: u32) {
        self.service.state().fault = (count > 0).then_some((fault, count));
    }

    /// Changes the time that a call takes.
    pub fn set_delay(&self, delay: Duration) {
        self.service.state().delay = delay;
    }

    /// Changes what the load report says of the service's state and of what it bears.
    pub fn set_state(&self, state: TargetState, bears: u32) {
        let mut service = self.service.state();
        service.state = state;
        service.bears = bears;
    }

    /// Refuses new connections, or accepts them again. Open ones stay.
    pub fn refuse_connections(&self, refusing: bool) {
        self.control.refuse(refusing);
    }

    /// Dies and starts again at once: connections are reset and the restart id changes. Executed calls
    /// stay recorded.
    pub fn crash(&self) {
        self.control.reset_connections();
        let mut state = self.service.state();
        state.restart += 1;
        state.reports.clear();
        state.sample(Instant::now().into_std());
    }
}

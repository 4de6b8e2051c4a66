//! Stand-in for the configuration service: values with versions that can be read and watched within a
//! limited rate of calls, and that operators publish.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use indexmap::IndexMap;
use tarragon_protocol::platform::{ConfigurationManifest, MANIFEST_VALUE, PublishedValue};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};

use crate::{
    listener::{CloseConnection, ListenerControl, StandinBody, StandinService, start_listener},
    respond::{any_port, empty_response, error_response, json_response, query_number},
};

/// Time after which a watch without a change ends.
pub const WATCH_TIME: Duration = Duration::from_secs(30);
/// Window over which the rate of calls is measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Largest value in bytes.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Settings of the configuration service.
#[derive(Debug, Clone)]
pub struct ConfigurationSettings {
    /// Address to listen on.
    pub bind: SocketAddr,
    /// Calls in a second, together with the watches that wait. More are refused with status 429.
    pub call_limit: u32,
    /// Time that an answer takes.
    pub delay: Duration,
}

impl Default for ConfigurationSettings {
    fn default() -> ConfigurationSettings {
        ConfigurationSettings {
            bind: any_port(),
            call_limit: 2_000,
            delay: Duration::from_millis(2),
        }
    }
}

/// What the service counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigurationCounters {
    /// All calls, refused ones included.
    pub calls: u64,
    /// Calls refused because there were too many.
    pub throttled: u64,
    /// Watches that wait now.
    pub waiting: u32,
    /// Most watches that waited at once.
    pub peak_waiting: u32,
    /// Most calls counted in one second, waiting watches included.
    pub peak_rate: u32,
}

type ValueMap = IndexMap<String, PublishedValue>;

#[derive(Debug)]
struct ServiceState {
    published: Arc<ValueMap>,
    /// What is served instead, while the service is stale.
    stale: Option<Arc<ValueMap>>,
    /// Contents after each publication, the newest last.
    history: Vec<Arc<ValueMap>>,
    counters: ConfigurationCounters,
    recent_calls: VecDeque<Instant>,
}

impl ServiceState {
    fn visible(&self) -> &ValueMap {
        self.stale.as_ref().unwrap_or(&self.published)
    }

    /// Counts a call. Returns whether it is above the limit.
    fn count_call(&mut self, limit: u32, now: Instant) -> bool {
        self.counters.calls += 1;
        while self.recent_calls.front().is_some_and(|at| *at + RATE_WINDOW <= now) {
            self.recent_calls.pop_front();
        }
        let recent = u32::try_from(self.recent_calls.len()).unwrap_or(u32::MAX);
        let rate = recent.saturating_add(self.counters.waiting);
        if rate >= limit {
            self.counters.throttled += 1;
            return true;
        }
        self.recent_calls.push_back(now);
        self.counters.peak_rate = self.counters.peak_rate.max(rate + 1);
        false
    }
}

#[derive(Debug)]
struct ConfigurationService {
    settings: ConfigurationSettings,
    state: Mutex<ServiceState>,
    changes: watch::Sender<u64>,
}

/// Counts a waiting watch until it is dropped, also when its connection is closed.
struct WaitingWatch<'s>(&'s ConfigurationService);

impl<'s> WaitingWatch<'s> {
    fn new(service: &'s ConfigurationService) -> WaitingWatch<'s> {
        let mut state = service.state();
        state.counters.waiting += 1;
        state.counters.peak_waiting = state.counters.peak_waiting.max(state.counters.waiting);
        WaitingWatch(service)
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.0.state().counters.waiting -= 1;
    }
}

impl ConfigurationService {
    fn state(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn value(&self, name: &str) -> Option<PublishedValue> {
        self.state().visible().get(name).cloned()
    }

    fn changed(&self) {
        self.changes.send_modify(|changes| *changes += 1);
    }

    fn get(&self, name: &str) -> Response<StandinBody> {
        match self.value(name) {
            Some(value) => json_response(StatusCode::OK, &value),
            None => error_response(StatusCode::NOT_FOUND, "not_found", "there is no such value"),
        }
    }

    async fn watch(&self, name: &str, after: u64) -> Response<StandinBody> {
        let _waiting = WaitingWatch::new(self);
        let mut changes = self.changes.subscribe();
        let newer = async {
            loop {
                changes.borrow_and_update();
                if let Some(value) = self.value(name).filter(|value| value.version > after) {
                    return value;
                }
                if changes.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        match timeout(WATCH_TIME, newer).await {
            Ok(value) => json_response(StatusCode::OK, &value),
            Err(_) => empty_response(StatusCode::NO_CONTENT),
        }
    }
}

impl StandinService for ConfigurationService {
    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<StandinBody>, CloseConnection> {
        if self.state().count_call(self.settings.call_limit, Instant::now()) {
            let status = StatusCode::TOO_MANY_REQUESTS;
            return Ok(error_response(status, "throttled", "too many calls; try again later"));
        }
        sleep(self.settings.delay).await;
        let path = request.uri().path();
        let answer = if request.method() != Method::GET {
            error_response(StatusCode::METHOD_NOT_ALLOWED, "read_only", "values can only be read")
        } else if let Some(name) = path.strip_prefix("/v1/values/") {
            self.get(name)
        } else if let Some(name) = path.strip_prefix("/v1/watch/") {
            self.watch(name, query_number(&request, "after").unwrap_or(0)).await
        } else {
            error_response(StatusCode::NOT_FOUND, "not_found", "there is no such path")
        };
        Ok(answer)
    }
}

/// Controls a running configuration service. Dropping it stops the service.
#[derive(Debug)]
pub struct ConfigurationHandle {
    service: Arc<ConfigurationService>,
    control: ListenerControl,
}

/// Starts a configuration service without values.
pub async fn start(settings: ConfigurationSettings) -> anyhow::Result<ConfigurationHandle> {
    let (control, listener) = start_listener(settings.bind).await?;
    let state = ServiceState {
        published: Arc::default(),
        stale: None,
        history: vec![Arc::default()],
        counters: ConfigurationCounters::default(),
        recent_calls: VecDeque::new(),
    };
    let changes = watch::Sender::new(0);
    let service = Arc::new(ConfigurationService { settings, state: Mutex::new(state), changes });
    listener.serve(service.clone());
    Ok(ConfigurationHandle { service, control })
}

impl ConfigurationHandle {
    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Publishes a manifest and its parts at once. The version of the `manifest` value is the version of
    /// the configuration; the version of each part rises when its text changes.
    pub fn publish(
        &self,
        manifest: &ConfigurationManifest,
        parts: &[(String, String)],
    ) -> anyhow::Result<()> {
        let value = serde_json::to_string(manifest)?;
        let too_large = parts.iter().find(|(_, text)| text.len() > MAX_VALUE_BYTES);
        anyhow::ensure!(too_large.is_none(), "a part is larger than {MAX_VALUE_BYTES} bytes");
        let mut state = self.service.state();
        let mut values = ValueMap::clone(&state.published);
        for (name, text) in parts {
            let version = match values.get(name) {
                Some(old) if old.value == *text => old.version,
                old => old.map_or(1, |old| old.version + 1),
            };
            values.insert(name.clone(), PublishedValue { version, value: text.clone() });
        }
        let manifest = PublishedValue { version: manifest.version, value };
        values.insert(MANIFEST_VALUE.to_owned(), manifest);
        state.published = Arc::new(values);
        let published = state.published.clone();
        state.history.push(published);
        drop(state);
        self.service.changed();
        Ok(())
    }

    /// Refuses and resets all connections, or serves again.
    pub fn set_down(&self, down: bool) {
        self.control.refuse(down);
        if down {
            self.control.reset_connections();
        }
    }

    /// Serves what was in force `publications` publications ago, whatever is published from now on.
    pub fn serve_stale(&self, publications: usize) {
        let mut state = self.service.state();
        let index = state.history.len().saturating_sub(publications + 1);
        state.stale = state.history.get(index).cloned();
        drop(state);
        self.service.changed();
    }

    /// Serves what is published.
    pub fn serve_current(&self) {
        self.service.state().stale = None;
        self.service.changed();
    }

    /// Restores the content of `publications` publications ago as the published one, as after a restore
    /// from an old copy.
    pub fn restore_old(&self, publications: usize) {
        let mut state = self.service.state();
        let index = state.history.len().saturating_sub(publications + 1);
        if let Some(old) = state.history.get(index).cloned() {
            state.published = old;
        }
        drop(state);
        self.service.changed();
    }

    /// Counters since the start.
    pub fn counters(&self) -> ConfigurationCounters {
        self.service.state().counters
    }
}

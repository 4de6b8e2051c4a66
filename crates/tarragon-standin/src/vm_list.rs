//! Stand-in for the VM list, which tells of changes with a lag.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use tarragon_protocol::platform::{ListedVm, VmList, VmState};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    configuration_service::WATCH_TIME,
    listener::{CloseConnection, ListenerControl, StandinBody, StandinService, start_listener},
    respond::{any_port, empty_response, error_response, json_response, query_number},
};

/// Settings of the VM list.
#[derive(Debug, Clone)]
pub struct VmListSettings {
    /// Address to listen on.
    pub bind: SocketAddr,
    /// Time until a change can be read.
    pub lag: Duration,
}

impl Default for VmListSettings {
    fn default() -> VmListSettings {
        VmListSettings { bind: any_port(), lag: Duration::from_millis(500) }
    }
}

#[derive(Debug)]
struct ListState {
    /// What the platform knows.
    current: VmList,
    lag: Duration,
    calls: u64,
}

#[derive(Debug)]
struct VmListService {
    state: Mutex<ListState>,
    /// What readers see.
    visible: watch::Sender<VmList>,
}

impl VmListService {
    fn state(&self) -> MutexGuard<'_, ListState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn watch(&self, after: u64) -> Response<StandinBody> {
        let mut visible = self.visible.subscribe();
        let newer = visible.wait_for(|list| list.version > after);
        match timeout(WATCH_TIME, newer).await {
            Ok(Ok(list)) => json_response(StatusCode::OK, &*list),
            _ => empty_response(StatusCode::NO_CONTENT),
        }
    }
}

impl StandinService for VmListService {
    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<StandinBody>, CloseConnection> {
        self.state().calls += 1;
        let after = query_number(&request, "after").unwrap_or(0);
        Ok(match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/vms") => {
                let list = self.visible.borrow().clone();
                json_response(StatusCode::OK, &list)
            }
            (&Method::GET, "/v1/vms/watch") => self.watch(after).await,
            _ => error_response(StatusCode::NOT_FOUND, "not_found", "there is no such path"),
        })
    }
}

/// Controls a running VM list. Dropping it stops the list.
#[derive(Debug)]
pub struct VmListHandle {
    service: Arc<VmListService>,
    control: ListenerControl,
}

/// Starts an empty VM list.
pub async fn start(settings: VmListSettings) -> anyhow::Result<VmListHandle> {
    let (control, listener) = start_listener(settings.bind).await?;
    let state = ListState { current: VmList::default(), lag: settings.lag, calls: 0 };
    let visible = watch::Sender::new(VmList::default());
    let service = Arc::new(VmListService { state: Mutex::new(state), visible });
    listener.serve(service.clone());
    Ok(VmListHandle { service, control })
}

impl VmListHandle {
    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Adds a VM, or replaces the entry of the same name.
    pub fn add(&self, vm: ListedVm) {
        self.change(|vms| match vms.iter_mut().find(|listed| listed.vm == vm.vm) {
            Some(listed) => *listed = vm,
            None => vms.push(vm),
        });
    }

    /// Removes a VM.
    pub fn remove(&self, vm: &str) {
        self.change(|vms| vms.retain(|listed| &*listed.vm != vm));
    }

    /// Marks a VM as live or leaving.
    pub fn set_state(&self, vm: &str, state: VmState) {
        self.change(|vms| {
            if let Some(listed) = vms.iter_mut().find(|listed| &*listed.vm == vm) {
                listed.state = state;
            }
        });
    }

    /// Replaces the whole list.
    pub fn set(&self, list: Vec<ListedVm>) {
        self.change(|vms| *vms = list);
    }

    /// Changes the lag of changes from now on.
    pub fn set_lag(&self, lag: Duration) {
        self.service.state().lag = lag;
    }

    /// Refuses and resets all connections, or serves again.
    pub fn set_down(&self, down: bool) {
        self.control.refuse(down);
        if down {
            self.control.reset_connections();
        }
    }

    /// Calls since the start.
    pub fn calls(&self) -> u64 {
        self.service.state().calls
    }

    /// Changes the list and makes the result visible after the lag.
    fn change<C>(&self, change: C)
    where
        C: FnOnce(&mut Vec<ListedVm>),
    {
        let mut state = self.service.state();
        change(&mut state.current.vms);
        state.current.version += 1;
        let (list, lag) = (state.current.clone(), state.lag);
        drop(state);
        if lag.is_zero() {
            show(&self.service.visible, list);
            return;
        }
        let service = self.service.clone();
        tokio::spawn(async move {
            sleep(lag).await;
            show(&service.visible, list);
        });
    }
}

/// Shows a list unless a newer one is visible already, which happens after the lag was shortened.
fn show(visible: &watch::Sender<VmList>, list: VmList) {
    visible.send_if_modified(|shown| {
        let newer = list.version > shown.version;
        if newer {
            *shown = list;
        }
        newer
    });
}

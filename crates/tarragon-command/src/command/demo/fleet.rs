//! The fleet of the demo: platform, targets and entry VMs on loopback ports.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use anyhow::{Context, ensure};
use hyper::Method;
use tarragon_config::{
    publication::{build_manifest, split_rules, targets_part},
    settings::{LogFormat, PlatformAddresses, ProcessLimits, SecretText, ServeSettings},
};
use tarragon_protocol::platform::{ListedVm, PublishedTarget, TargetList, VmState};
use tarragon_standin::{
    configuration_service::{self, ConfigurationHandle, ConfigurationSettings},
    engine::{self, EngineHandle, EngineSettings, HardwareProfile, PrefillLedger},
    service::{self, ServiceHandle, ServiceSettings},
    vm_list::{self, VmListHandle, VmListSettings},
};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

use super::{account::DemoAccount, audit::FleetAudit, call::DemoClient};
use crate::admin_client::AdminClient;

const DATA_CENTRES: [&str; 2] = ["oshakati", "ondangwa"];
const VMS_PER_DATA_CENTRE: usize = 2;
const RULES: &str = include_str!("demo.rules");
/// Key that seals the messages of this demo's VMs. It never leaves the loopback interface.
const PEER_KEY: &str = "only-for-the-demo-on-loopback";
/// Time within which all VMs must be ready.
const READY_TIME: Duration = Duration::from_secs(12);
/// Time that the VMs get to shut down.
const DRAIN_TIME: Duration = Duration::from_secs(6);

type VmTask = JoinHandle<anyhow::Result<()>>;

/// All processes of the demo.
#[derive(Debug)]
pub(super) struct DemoFleet {
    configuration: ConfigurationHandle,
    /// Kept running until the end; nothing about it changes.
    _vm_list: VmListHandle,
    /// Engines by data centre.
    pub(super) engines: Vec<Vec<EngineHandle>>,
    /// One service for each data centre.
    pub(super) services: Vec<ServiceHandle>,
    version: AtomicU64,
    settings: Vec<ServeSettings>,
    tasks: Mutex<Vec<VmTask>>,
}

impl DemoFleet {
    /// Starts everything and waits until all VMs are ready.
    pub(super) async fn start() -> anyhow::Result<DemoFleet> {
        let configuration = configuration_service::start(ConfigurationSettings::default()).await?;
        let vm_list = vm_list::start(VmListSettings::default()).await?;
        let ledger = Arc::new(PrefillLedger::default());
        let mut engines = Vec::new();
        let mut services = Vec::new();
        for data_centre in DATA_CENTRES {
            engines.push(start_engines(data_centre, &ledger).await?);
            let name = format!("dispatch-{data_centre}");
            services.push(service::start(ServiceSettings::new(&name)).await?);
        }
        let platform = PlatformAddresses {
            configuration_service: configuration.address(),
            vm_list: vm_list.address(),
        };
        let settings = all_settings(platform)?;
        vm_list.set(settings.iter().map(listed_vm).collect());
        let fleet = DemoFleet {
            configuration,
            _vm_list: vm_list,
            engines,
            services,
            version: AtomicU64::new(0),
            settings,
            tasks: Mutex::default(),
        };
        fleet.publish(RULES)?;
        fleet.start_vms();
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    fn start_vms(&self) {
        let start =
            |settings: &ServeSettings| tokio::spawn(tarragon_server::serve::run(settings.clone()));
        let tasks = self.settings.iter().map(start).collect();
        *self.tasks.lock().unwrap_or_else(PoisonError::into_inner) = tasks;
    }

    async fn wait_ready(&self) -> anyhow::Result<()> {
        let client = DemoClient::new(self.callers());
        let end = Instant::now() + READY_TIME;
        for (settings, address) in self.settings.iter().zip(self.callers()) {
            while !client.is_ready(address).await {
                let vm = &settings.vm;
                ensure!(Instant::now() < end, "{vm} is not ready after {READY_TIME:?}");
                sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    fn publish(&self, rules: &str) -> anyhow::Result<()> {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let mut parts = split_rules(rules);
        parts.extend((0..DATA_CENTRES.len()).map(|index| targets_part(&self.target_list(index))));
        self.configuration.publish(&build_manifest(version, &parts), &parts)
    }

    fn target_list(&self, data_centre: usize) -> TargetList {
        let name = DATA_CENTRES[data_centre];
        let target = |kind: &str, service: &str, address: SocketAddr| PublishedTarget {
            target: Arc::from(format!("{kind}-{name}")),
            service: Arc::from(service),
            address: address.to_string(),
            hardware: None,
            checks_fencing: true,
        };
        let engines = self.engines[data_centre].iter().enumerate();
        let mut targets: Vec<PublishedTarget> = engines
            .map(|(index, engine)| {
                target(&format!("runner-{index}"), "model-pool", engine.address())
            })
            .collect();
        let service = self.services[data_centre].address();
        targets.push(target("dispatch", "dispatch-app", service));
        TargetList { data_centre: Arc::from(name), targets }
    }

    /// Takes a data centre out of service or in again, by a published rule.
    pub(super) fn set_data_centre(&self, index: usize, in_service: bool, audit: &mut FleetAudit) {
        let name = DATA_CENTRES[index];
        let state = if in_service { "in" } else { "out" };
        let rules = RULES
            .replace(&format!("centre {name} state=in"), &format!("centre {name} state={state}"));
        if let Err(error) = self.publish(&rules) {
            audit.faults.push(format!("the rules can't be published: {error}"));
        }
    }

    /// Requests that the targets of a data centre have received.
    pub(super) fn admitted(&self, data_centre: usize) -> u64 {
        let engines = self.engines[data_centre].iter();
        let engines: u64 = engines.map(|engine| engine.counters().admitted).sum();
        engines + self.services[data_centre].counters().received
    }

    /// Addresses for callers.
    pub(super) fn callers(&self) -> Vec<SocketAddr> {
        self.settings.iter().map(|settings| settings.caller_address).collect()
    }

    /// Addresses for operators.
    pub(super) fn admin_addresses(&self) -> Vec<SocketAddr> {
        self.settings.iter().map(|settings| settings.admin_address).collect()
    }

    /// Drains all VMs and waits for their end.
    pub(super) async fn shut_down(&self, account: &mut DemoAccount) {
        for address in self.admin_addresses() {
            if AdminClient::new(address).call(Method::POST, "/admin/drain").await.is_err() {
                account.violation("a VM that can't be drained", 1);
            }
        }
        let tasks = std::mem::take(&mut *self.tasks.lock().unwrap_or_else(PoisonError::into_inner));
        let end = Instant::now() + DRAIN_TIME;
        for mut task in tasks {
            let left = end.saturating_duration_since(Instant::now());
            match timeout(left, &mut task).await {
                Ok(Ok(Ok(()))) => {}
                Ok(_) => account.violation("a VM that ended with an error", 1),
                Err(_) => {
                    task.abort();
                    account.violation("a VM that did not end after its drain", 1);
                }
            }
        }
    }
}

/// One engine of the newer generation and two of the older.
async fn start_engines(
    data_centre: &str,
    ledger: &Arc<PrefillLedger>,
) -> anyhow::Result<Vec<EngineHandle>> {
    let generations = [
        HardwareProfile::second_generation(),
        HardwareProfile::first_generation(),
        HardwareProfile::first_generation(),
    ];
    let mut engines = Vec::new();
    for (index, hardware) in generations.into_iter().enumerate() {
        let name = format!("runner-{index}-{data_centre}");
        let settings = EngineSettings {
            ledger: Some(ledger.clone()),
            cold_duration: Duration::from_secs(5),
            ..EngineSettings::new(&name, hardware, "channel-guide")
        };
        engines.push(engine::start(settings).await?);
    }
    Ok(engines)
}

fn all_settings(platform: PlatformAddresses) -> anyhow::Result<Vec<ServeSettings>> {
    let count = DATA_CENTRES.len() * VMS_PER_DATA_CENTRE;
    let ports = free_addresses(count * 3)?;
    let settings = |(index, ports): (usize, &[SocketAddr])| ServeSettings {
        vm: Arc::from(format!("entry-{index}")),
        data_centre: Arc::from(DATA_CENTRES[index / VMS_PER_DATA_CENTRE]),
        caller_address: ports[0],
        peer_address: ports[1],
        admin_address: ports[2],
        admin_key: None,
        peer_keys: vec![SecretText::new(PEER_KEY)],
        platform: Some(platform),
        seed_peers: Vec::new(),
        log_format: LogFormat::Text,
        limits: ProcessLimits::default(),
        drain_timeout: DRAIN_TIME,
        rules_file: None,
        targets: Vec::new(),
    };
    Ok(ports.chunks_exact(3).enumerate().map(settings).collect())
}

/// Ports that are free now. All are bound before any is given back, so that they differ.
fn free_addresses(count: usize) -> anyhow::Result<Vec<SocketAddr>> {
    let bind = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    let listeners: Vec<TcpListener> =
        (0..count).map(bind).collect::<Result<_, _>>().context("no free port on loopback")?;
    Ok(listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?)
}

fn listed_vm(settings: &ServeSettings) -> ListedVm {
    ListedVm {
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        caller_address: settings.caller_address.to_string(),
        peer_address: settings.peer_address.to_string(),
        state: VmState::Live,
        generation: 1,
    }
}

//! What operators and targets publish, in the project's terms. Entry VMs pass these on to peers that can't
//! reach the store, so all of it can be serialised.

use std::{sync::Arc, time::Duration};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Revision of the store: rises with each change of any value.
pub type StoreRevision = u64;

/// Name of one start of a target's process.
pub type InstanceName = Arc<str>;

/// How often a request of a route may be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatRule {
    /// Any number of times.
    Idempotent,
    /// At most once.
    AtMostOnce,
    /// Any number of times, each run going on where the one before stopped.
    Resumable,
}

/// One route: which requests it takes, where they go and what may be done with them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallRoute {
    /// Name.
    pub name: String,
    /// Host that requests name, in lower case.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub prefix: String,
    /// Services with their weights; a request goes to one of them.
    pub services: Vec<(ServiceName, u32)>,
    /// How often a request may be run.
    pub repeat: RepeatRule,
    /// Whether the answer is a stream of events.
    pub streamed: bool,
    /// Longest time for which a request is kept waiting.
    pub timeout: Duration,
    /// Time in which the first part of an answer has its full value.
    pub objective: Option<Duration>,
    /// Time without an event after which callers leave a stream, also before its first event.
    pub patience: Option<Duration>,
    /// Targets to which one request may be sent.
    pub max_attempts: u32,
    /// Urgency.
    pub tier: Tier,
    /// Whether requests need no key.
    pub public: bool,
}

/// What is published of one service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceConfiguration {
    /// Connections that one of its targets accepts from all callers together.
    pub connections: u32,
    /// Time for which a target stays cold after its start.
    pub cold_time: Duration,
    /// Requests that a cold target bears in a second, from all entry VMs together; 0 if it bears any number.
    pub cold_starts: f64,
    /// Tokens that one event of a stream holds.
    pub event_tokens: u32,
}

/// What is published of one workspace.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceConfiguration {
    /// Urgency of its requests; goes before that of the route.
    pub tier: Option<Tier>,
    /// Units a second that it may use; 0 for no limit.
    pub rate: f64,
    /// Units that it may use beyond the rate in a burst.
    pub burst: f64,
    /// Whether a unit is a token. Otherwise it is a request.
    pub by_tokens: bool,
    /// Tokens that a request without a token count stands for.
    pub default_tokens: u64,
}

/// Bounds for what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's headers.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for the headers to arrive.
    pub header_time: Duration,
    /// Time for which a connection may be idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Figures for the time before the first configuration.
    fn default() -> CallerLimits {
        CallerLimits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration, in full.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetConfiguration {
    /// Rises with each change, in uneven steps.
    pub version: ConfigurationVersion,
    /// Routes, in any order.
    pub routes: Vec<Arc<CallRoute>>,
    /// Services by name.
    pub services: IndexMap<ServiceName, ServiceConfiguration>,
    /// Workspaces by name.
    pub workspaces: IndexMap<WorkspaceName, WorkspaceConfiguration>,
    /// Workspaces by the keys of their callers.
    pub keys: IndexMap<String, WorkspaceName>,
    /// Bounds for callers.
    pub limits: CallerLimits,
}

impl FleetConfiguration {
    /// Services that no route with streams goes to. Their calls take milliseconds.
    pub fn plain_services(&self) -> IndexSet<ServiceName> {
        let services = |streamed: bool| {
            let routes = self.routes.iter().filter(move |route| route.streamed == streamed);
            routes.flat_map(|route| route.services.iter().map(|(service, _)| service.clone()))
        };
        let streamed: IndexSet<ServiceName> = services(true).collect();
        services(false).filter(|service| !streamed.contains(service)).collect()
    }
}

/// All that operators publish, as of one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct OperatorState {
    /// Revision of the last change that it includes.
    pub revision: StoreRevision,
    /// Configuration in force.
    pub configuration: Option<Arc<FleetConfiguration>>,
    /// Data centres whose targets get no new work.
    pub evacuated: IndexSet<DataCentreName>,
}

impl OperatorState {
    /// Version of the configuration in force; 0 before the first.
    pub fn version(&self) -> ConfigurationVersion {
        self.configuration.as_ref().map_or(0, |known| known.version)
    }

    /// What the configuration says of a service.
    pub fn service_configuration(&self, service: &str) -> Option<&ServiceConfiguration> {
        self.configuration.as_ref()?.services.get(service)
    }

    /// Time for which targets of a service are cold after a start.
    pub fn cold_time(&self, service: &str) -> Duration {
        self.service_configuration(service).map_or(Duration::ZERO, |terms| terms.cold_time)
    }
}

/// One target as it registers itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedTarget {
    /// This start of its process.
    pub instance: InstanceName,
    /// Service.
    pub service: ServiceName,
    /// IP address and port.
    pub address: Arc<str>,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Time for which it stays cold.
    pub cold_left: Duration,
    /// When its process started, in milliseconds since 1970, if it tells.
    pub started_ms: u64,
    /// Revision of its entry.
    pub revision: StoreRevision,
}

/// All targets that are registered.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetListing {
    /// Revision at which the listing was read.
    pub revision: StoreRevision,
    /// Targets.
    pub targets: Vec<ListedTarget>,
}

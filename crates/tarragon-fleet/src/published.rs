//! The state that operators and targets publish in the store, independent of the store's format. Entry VMs
//! pass it on to peers that can't reach the store, so all of it can be serialised.

mod validity;

use std::{sync::Arc, time::Duration};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::{prelude::*, published::validity::MAX_COLD_TIME};

/// Revision of the store, which increases with each change of any value.
pub type StoreRevision = u64;

/// Number of times that the store has come back from an older copy of itself, which loses later changes and
/// gives their revisions out again.
pub type StoreEra = u64;

/// Position in the history of the store. Revisions can only be compared within one era.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StorePosition {
    /// Era.
    pub era: StoreEra,
    /// Revision within the era.
    pub revision: StoreRevision,
}

/// Name of a target instance: one start of a target's process.
pub type InstanceName = Arc<str>;

/// How often the same request may be run on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatRule {
    /// Any number of times.
    Idempotent,
    /// At most once.
    AtMostOnce,
    /// Any number of times, with each run continuing where the one before it stopped.
    Resumable,
}

/// One route: which requests match it, where they go and how they may be handled.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallRoute {
    /// Name of the route.
    pub name: String,
    /// Host name of the requests, in lower case.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// Services with their weights; a request goes to one of them.
    pub services: Vec<(ServiceName, u32)>,
    /// How often a request may be run.
    pub repeat: RepeatRule,
    /// Whether the answer is a stream of events.
    pub streamed: bool,
    /// Longest time that a request may wait for its answer.
    pub timeout: Duration,
    /// Time within which the first part of an answer should arrive to have its full value.
    pub objective: Option<Duration>,
    /// Time without an event after which callers abandon a stream, also before its first event.
    pub patience: Option<Duration>,
    /// Number of targets that one request may be sent to.
    pub max_attempts: u32,
    /// Urgency of the requests.
    pub tier: Tier,
    /// Whether requests need no key.
    pub public: bool,
}

/// Configuration of one service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceConfiguration {
    /// Connections that each of its targets accepts from all callers together.
    pub connections: u32,
    /// Time for which a target is cold after its start.
    pub cold_time: Duration,
    /// Requests per second that may start at a cold target, from all entry VMs together; 0 for no limit.
    pub cold_starts: f64,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
    /// Tokens that the memory of each of its engines holds; 0 if unknown. Builds before this one neither send nor
    /// read it.
    #[serde(default)]
    pub memory_tokens: u64,
}

/// Configuration of one workspace.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceConfiguration {
    /// Urgency of its requests; takes precedence over that of the route.
    pub tier: Option<Tier>,
    /// Units per second that it may use; 0 for no limit.
    pub rate: f64,
    /// Units that it may use in a burst, in addition to the rate.
    pub burst: f64,
    /// Whether a unit is a token; otherwise it is a request.
    pub by_tokens: bool,
    /// Tokens charged for a request without a token count.
    pub default_tokens: u64,
}

/// Limits on the requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Most bytes of a request's headers.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Time within which the headers must arrive.
    pub header_time: Duration,
    /// Time for which a connection may be idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Limits that apply before the first configuration arrives.
    fn default() -> CallerLimits {
        CallerLimits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// One complete version of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetConfiguration {
    /// Increases with each change, not always by one.
    pub version: ConfigurationVersion,
    /// Routes, in any order.
    pub routes: Vec<Arc<CallRoute>>,
    /// Services by name.
    pub services: IndexMap<ServiceName, ServiceConfiguration>,
    /// Workspaces by name.
    pub workspaces: IndexMap<WorkspaceName, WorkspaceConfiguration>,
    /// Workspaces by the API keys of their callers.
    pub keys: IndexMap<String, WorkspaceName>,
    /// Limits on the requests of callers.
    pub limits: CallerLimits,
}

impl FleetConfiguration {
    /// Services that have a configuration or that routes lead to.
    pub fn named_services(&self) -> IndexSet<ServiceName> {
        let routed = self.routes.iter().flat_map(|route| &route.services);
        self.services.keys().chain(routed.map(|(service, _)| service)).cloned().collect()
    }

    /// Services that only routes without streams lead to. Their calls take milliseconds.
    pub fn unstreamed_services(&self) -> IndexSet<ServiceName> {
        let services = |streamed: bool| {
            let routes = self.routes.iter().filter(move |route| route.streamed == streamed);
            routes.flat_map(|route| route.services.iter().map(|(service, _)| service.clone()))
        };
        let streamed: IndexSet<ServiceName> = services(true).collect();
        services(false).filter(|service| !streamed.contains(service)).collect()
    }
}

/// The state published by operators, as of one revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct OperatorState {
    /// Era of the store in which it was read.
    pub era: StoreEra,
    /// Revision of the last change that it includes.
    pub revision: StoreRevision,
    /// Active configuration.
    pub configuration: Option<Arc<FleetConfiguration>>,
    /// Era in which the configuration was read: an earlier one if the store has come back from a copy without it.
    pub configuration_era: StoreEra,
    /// Data centres whose targets get no new work.
    pub evacuated: IndexSet<DataCentreName>,
}

impl OperatorState {
    /// Position in the history of the store.
    pub fn position(&self) -> StorePosition {
        StorePosition { era: self.era, revision: self.revision }
    }

    /// Whether the store has come back from a copy that may lack the configuration.
    fn has_carried_configuration(&self) -> bool {
        self.configuration.is_some() && self.configuration_era < self.era
    }

    /// Whether another state has anything newer. Within one era its position in the history of the store
    /// decides, and a configuration of an older version is refused.
    pub fn is_outdated_by(&self, other: &OperatorState) -> bool {
        let is_later = other.position() > self.position();
        let carried = self.has_carried_configuration() || other.has_carried_configuration();
        if self.era != other.era || carried {
            is_later || other.version() > self.version()
        } else {
            // The newest configuration in the store may be one that can't be read. The rest of the state
            // counts nevertheless, and peers may have an older configuration.
            let is_first = self.configuration.is_none() && other.configuration.is_some();
            let is_newer = other.configuration.is_none() || other.version() >= self.version();
            (is_later && is_newer) || is_first
        }
    }

    /// Version of the active configuration; 0 before the first.
    pub fn version(&self) -> ConfigurationVersion {
        self.configuration.as_ref().map_or(0, |known| known.version)
    }

    /// Active configuration of a service.
    pub fn service_configuration(&self, service: &str) -> Option<&ServiceConfiguration> {
        self.configuration.as_ref()?.services.get(service)
    }

    /// Time for which targets of a service are cold after a start.
    pub fn cold_time(&self, service: &str) -> Duration {
        let terms = self.service_configuration(service);
        terms.map_or(Duration::ZERO, |terms| terms.cold_time.min(MAX_COLD_TIME))
    }
}

/// Entry of one target in the store, as the target registers itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedTarget {
    /// Name of this start of its process.
    pub instance: InstanceName,
    /// Service that it runs.
    pub service: ServiceName,
    /// IP address and port.
    pub address: Arc<str>,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Build of its software.
    pub build: BuildName,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Time for which it is still cold.
    pub cold_left: Duration,
    /// Start time of its process, in milliseconds since 1970, if it reports that.
    pub started_ms: u64,
    /// Revision of its entry.
    pub revision: StoreRevision,
    /// Increases with each time that the target writes its entry.
    pub sequence: u64,
}

/// All targets that are registered.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetListing {
    /// Era of the store in which it was read.
    pub era: StoreEra,
    /// Revision at which the listing was read.
    pub revision: StoreRevision,
    /// Targets.
    pub targets: Vec<ListedTarget>,
}

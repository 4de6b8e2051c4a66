//! Types of the values that the platform publishes.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Name of the published value that lists the parts of a configuration.
pub const MANIFEST_VALUE: &str = "manifest";
/// Name prefix of the parts that contain rules, one rule per line.
pub const RULES_PREFIX: &str = "rules-";
/// Name prefix of the parts that contain a data centre's targets as JSON.
pub const TARGETS_PREFIX: &str = "targets-";

/// Answer of the configuration service to a read or a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedValue {
    /// Version; increases with each change of this value.
    pub version: u64,
    /// Content, at most one megabyte.
    pub value: String,
}

/// The parts that make up one configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationManifest {
    /// Version of the configuration.
    pub version: ConfigurationVersion,
    /// All parts, in the order in which their rules apply.
    pub parts: Vec<ManifestPart>,
}

/// One part of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestPart {
    /// Name of the published value that holds the part.
    pub name: String,
    /// SHA-256 of the content, in hexadecimal.
    pub hash: String,
}

/// One target, as published in a `targets-…` part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedTarget {
    /// Name, unique in the deployment.
    pub target: TargetName,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// IP address and port.
    pub address: String,
    /// Hardware generation, if the platform publishes it.
    #[serde(default)]
    pub hardware: Option<String>,
    /// Whether the target refuses orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// Content of a `targets-…` part.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetList {
    /// Data centre of all listed targets.
    pub data_centre: DataCentreName,
    /// The targets.
    pub targets: Vec<PublishedTarget>,
}

/// Content of the VM list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Version; increases with each change of the list.
    pub version: u64,
    /// All VMs that are live or leaving.
    pub vms: Vec<ListedVm>,
}

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Name.
    pub vm: VmName,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// IP address and port for callers.
    pub caller_address: String,
    /// IP address and port for other entry VMs.
    pub peer_address: String,
    /// Live or leaving.
    pub state: VmState,
    /// Increases each time the platform starts a VM under this name.
    pub generation: u64,
}

/// State of a VM in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In service.
    Live,
    /// About to be stopped.
    Leaving,
}

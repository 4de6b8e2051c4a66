//! Settings of a process, read from a JSON file with comments.

use std::{fmt, net::SocketAddr, path::PathBuf, time::Duration};

use serde::{Deserialize, Serialize};
use tarragon_protocol::{platform::PublishedTarget, prelude::*};

mod document;
mod gateway;
mod read;

pub use gateway::{GatewayBounds, GatewaySettings, is_gateway_settings, parse_gateway_settings};
pub use read::parse_settings;

/// A secret key. `Debug` does not show it, so that logs and dumps do not contain it.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretText(String);

impl SecretText {
    /// Wraps a key.
    pub fn new(text: impl Into<String>) -> SecretText {
        SecretText(text.into())
    }

    /// The key itself.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for SecretText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SecretText(hidden)")
    }
}

/// Settings of `serve`.
#[derive(Debug, Clone, PartialEq)]
pub struct ServeSettings {
    /// Name of the VM, as in the VM list.
    pub vm: VmName,
    /// Data centre in which the VM runs.
    pub data_centre: DataCentreName,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other entry VMs.
    pub peer_address: SocketAddr,
    /// Address for operators. Must be loopback if there is no [`admin_key`](Self::admin_key).
    pub admin_address: SocketAddr,
    /// Key that operators send as `authorization: Bearer KEY`.
    pub admin_key: Option<SecretText>,
    /// Keys that authenticate messages between entry VMs. The first one signs; all are accepted.
    pub peer_keys: Vec<SecretText>,
    /// Platform that publishes the configuration; `None` if the process uses local files only.
    pub platform: Option<PlatformAddresses>,
    /// Peers to contact before the VM list is known.
    pub seed_peers: Vec<SeedPeer>,
    /// Format of the log.
    pub log_format: LogFormat,
    /// Limits on memory and time.
    pub limits: ProcessLimits,
    /// Maximum duration of a graceful shutdown.
    pub drain_timeout: Duration,
    /// Rules file, used if there is no platform.
    pub rules_file: Option<PathBuf>,
    /// Targets of this data centre, used if there is no platform.
    pub targets: Vec<PublishedTarget>,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformAddresses {
    /// Address of the configuration service.
    pub configuration_service: SocketAddr,
    /// Address of the service that publishes the VM list.
    pub vm_list: SocketAddr,
}

/// A peer that is listed in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeedPeer {
    /// Name of its VM.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its peer address.
    pub address: SocketAddr,
}

/// Format of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One line of text per event.
    #[default]
    Text,
    /// One JSON object per event.
    Json,
}

/// Limits of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Time within which a caller must send the headers of a request.
    pub header_timeout: Duration,
    /// Time within which a caller must send the body of a request.
    pub body_timeout: Duration,
    /// Maximum number of waiting requests.
    pub queue_entries: u32,
    /// Maximum number of predicted tokens of all waiting requests.
    pub queue_tokens: u64,
    /// Maximum number of open requests of callers, whether waiting or being answered.
    pub streams: u32,
    /// Time for running streams to finish at their target when a data centre or VM is taken out of service.
    /// After it they are moved to another target.
    pub grace_period: Duration,
    /// Maximum number of targets in a data centre that load one model at once, since they share the bandwidth
    /// of the weight store.
    pub concurrent_loads: u32,
    /// Memory of the machine, in bytes. What the process holds for callers and peers is kept below it.
    pub memory_bytes: usize,
    /// Most open descriptors. The bound on connections of callers follows from it.
    pub max_descriptors: usize,
}

impl Default for ProcessLimits {
    fn default() -> ProcessLimits {
        ProcessLimits {
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            queue_entries: 4096,
            queue_tokens: 64_000_000,
            streams: 8192,
            grace_period: Duration::from_secs(20),
            concurrent_loads: 1,
            memory_bytes: 256 << 20,
            max_descriptors: 4_100,
        }
    }
}

/// Default of [`ServeSettings::drain_timeout`]: the longest deadline (600 s) plus time for the handover, so
/// that a graceful shutdown interrupts no request.
pub const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(630);
/// Minimum length of a key, in characters. Shorter keys could be guessed.
pub const MIN_KEY_CHARACTERS: usize = 16;

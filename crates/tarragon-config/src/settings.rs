//! Settings of one process, from a JSON file with comments.

use std::{fmt, net::SocketAddr, path::PathBuf, time::Duration};

use serde::{Deserialize, Serialize};
use tarragon_protocol::{platform::PublishedTarget, prelude::*};

mod document;
mod gateway;
mod read;

pub use gateway::{GatewayBounds, GatewaySettings, is_gateway_settings, parse_gateway_settings};
pub use read::parse_settings;

/// A key. It is not shown by `Debug`, so that logs and dumps do not contain it.
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
    /// Data centre that the VM stands in.
    pub data_centre: DataCentreName,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other entry VMs connect.
    pub peer_address: SocketAddr,
    /// Where operators connect. Loopback if there is no [`admin_key`](Self::admin_key).
    pub admin_address: SocketAddr,
    /// Key that operators send as `authorization: Bearer KEY`.
    pub admin_key: Option<SecretText>,
    /// Keys that seal messages between entry VMs. The first seals, each of them is accepted.
    pub peer_keys: Vec<SecretText>,
    /// Platform to read from; `None` if the process runs on its own files.
    pub platform: Option<PlatformAddresses>,
    /// Peers to ask before the VM list is known.
    pub seed_peers: Vec<SeedPeer>,
    /// Form of the log.
    pub log_format: LogFormat,
    /// Bounds of memory and time.
    pub limits: ProcessLimits,
    /// Time that a graceful shutdown may take.
    pub drain_timeout: Duration,
    /// Rules file to use without a platform.
    pub rules_file: Option<PathBuf>,
    /// Targets of the own data centre to use without a platform.
    pub targets: Vec<PublishedTarget>,
}

/// Addresses of the platform's interfaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformAddresses {
    /// Configuration service.
    pub configuration_service: SocketAddr,
    /// VM list.
    pub vm_list: SocketAddr,
}

/// A peer that is known from the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeedPeer {
    /// Name of its VM.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its address for peers.
    pub address: SocketAddr,
}

/// Form of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One line of text an event.
    #[default]
    Text,
    /// One JSON object an event.
    Json,
}

/// Bounds of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Largest request body, in bytes.
    pub body_bytes: u64,
    /// Time for a caller to send the headers of a request.
    pub header_timeout: Duration,
    /// Time for a caller to send the body of a request.
    pub body_timeout: Duration,
    /// Requests that may wait.
    pub queue_entries: u32,
    /// Predicted tokens of all waiting requests.
    pub queue_tokens: u64,
    /// Requests from callers that may be open at once, waiting or answered.
    pub streams: u32,
    /// Time that running streams get to end where they are when a data centre or VM is taken out of
    /// service. Later they move to another target.
    pub grace_period: Duration,
    /// Loads of one model that may run at once in a data centre; they share the weight store's rate.
    pub concurrent_loads: u32,
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
        }
    }
}

/// Default of [`ServeSettings::drain_timeout`]: the longest deadline (600 s) and time for the handover, so that
/// a graceful shutdown interrupts no request.
pub const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(630);
/// Shortest key, in characters. Shorter ones can be guessed.
pub const MIN_KEY_CHARACTERS: usize = 16;

//! Settings of a gateway process, which forwards calls from callers to the targets listed in a shared store.

use std::{net::SocketAddr, ops::RangeInclusive, time::Duration};

use jsonc_parser::ast::Value;
use tarragon_protocol::prelude::*;

use super::{
    LogFormat,
    document::{
        Document, ObjectReader, address_value, list_value, name_value, non_negative_value,
        number_value, object_value,
    },
    read::log_format_value,
};

/// Key whose presence distinguishes these settings from [`ServeSettings`](super::ServeSettings).
const STORE_ADDRESS_KEY: &str = "store_address";
/// Maximum duration in any setting, in seconds.
const MAX_TIME_S: f64 = 3_600.0;
/// Number of ports that a process needs for its peers and for metrics.
const REQUIRED_PORTS: u16 = 4;
/// Offset of the port at which a process carries attempts of peers, if its range of ports is large enough.
const RELAY_PORT_OFFSET: u16 = 4;
/// Offset of the port for loans of slots, if the range of ports is large enough.
const LENDING_PORT_OFFSET: u16 = 5;
const ADDRESS_EXAMPLE: &str = "\"10.0.0.1:8080\"";

/// Settings of `serve` for a process that reads a shared store.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of the VM.
    pub vm: VmName,
    /// Data centre in which the VM runs.
    pub data_centre: DataCentreName,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address at which the load balancer checks whether the process is ready.
    pub ready_address: SocketAddr,
    /// First and last of the ports that the process may use for its peers and for metrics. The same on all VMs.
    pub peer_ports: (u16, u16),
    /// Peers to contact first. Only their IP addresses are used, not their ports.
    pub seeds: Vec<SocketAddr>,
    /// Address of the shared store that contains the list of targets and the configuration.
    pub store_address: SocketAddr,
    /// Whether the whole fleet is started for the first time.
    pub first_start: bool,
    /// Format of the log.
    pub log_format: LogFormat,
    /// Time from the shutdown signal until the process is killed.
    pub grace: Duration,
    /// Interval between two heartbeats of a target's registration.
    pub heartbeat: Duration,
    /// Memory of the machine, in bytes. A process that exceeds it is killed.
    pub memory_bytes: usize,
    /// Most descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Limits that apply to the fleet as a whole.
    pub bounds: GatewayBounds,
}

/// Limits that apply to all processes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GatewayBounds {
    /// Maximum number of retries at a service, as a fraction of the requests to it.
    pub retry_ratio: f64,
    /// Number of retries at a service that are allowed in addition to that fraction.
    pub retry_slack: f64,
    /// Time window over which quotas are measured.
    pub quota_window: Duration,
    /// Fraction of a quota by which the fleet may exceed it.
    pub quota_overage: f64,
    /// Units by which the fleet may exceed a quota in addition to that fraction.
    pub quota_slack: f64,
    /// Time from the acknowledgement of a configuration until it must be in force.
    pub change_time: Duration,
    /// Time from the acknowledgement that a data centre is taken out of service until it must get no more requests.
    pub evacuation_time: Duration,
    /// Time from the acknowledgement that a target leaves until it must get no more requests.
    pub leave_time: Duration,
    /// Time after a disruption of the store, or of connections to it, in which these times needn't be kept.
    pub contact_time: Duration,
}

impl Default for GatewayBounds {
    /// Values for a deployment that sets none: few retries, and a window of some seconds.
    fn default() -> GatewayBounds {
        GatewayBounds {
            retry_ratio: 0.1,
            retry_slack: 10.0,
            quota_window: Duration::from_secs(8),
            quota_overage: 0.25,
            quota_slack: 0.0,
            change_time: Duration::from_secs(2),
            evacuation_time: Duration::from_secs(5),
            leave_time: Duration::from_secs(2),
            contact_time: Duration::from_secs(3),
        }
    }
}

/// Default of [`GatewaySettings::grace`]. Most platforms allow this time or more.
const DEFAULT_GRACE: Duration = Duration::from_secs(8);
/// Default of [`GatewaySettings::heartbeat`].
const DEFAULT_HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Default of [`GatewaySettings::memory_bytes`], in MB.
const DEFAULT_MEMORY_MB: f64 = 256.0;
/// Default of [`GatewaySettings::max_descriptors`].
const DEFAULT_MAX_DESCRIPTORS: f64 = 4_100.0;
/// Values outside these ranges are taken as their ends: a process that doesn't start serves nobody.
const MEMORY_RANGE_MB: RangeInclusive<f64> = 32.0..=1_048_576.0;
/// Range of [`GatewaySettings::max_descriptors`].
const DESCRIPTORS_RANGE: RangeInclusive<f64> = 128.0..=1_048_576.0;

impl GatewaySettings {
    /// Address at which peers send digests.
    pub fn peer_address(&self) -> SocketAddr {
        self.address_with_port_offset(0)
    }

    /// Address at which peers pull published values.
    pub fn pull_address(&self) -> SocketAddr {
        self.address_with_port_offset(1)
    }

    /// Address at which metrics are served.
    pub fn metrics_address(&self) -> SocketAddr {
        self.address_with_port_offset(2)
    }

    /// Address at which peers send messages about the streams that they pass on.
    pub fn origin_address(&self) -> SocketAddr {
        self.address_with_port_offset(3)
    }

    /// Address at which peers have attempts carried to targets. `None` if the range of ports has none left for it.
    pub fn relay_address(&self) -> Option<SocketAddr> {
        let (first, last) = self.peer_ports;
        (last - first >= RELAY_PORT_OFFSET)
            .then(|| self.address_with_port_offset(RELAY_PORT_OFFSET))
    }

    /// Address at which peers send messages about loans of slots. `None` if the range of ports has none left for it.
    pub fn lending_address(&self) -> Option<SocketAddr> {
        let (first, last) = self.peer_ports;
        (last - first >= LENDING_PORT_OFFSET)
            .then(|| self.address_with_port_offset(LENDING_PORT_OFFSET))
    }

    /// Addresses at which the seed peers receive digests.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), self.peer_ports.0)).collect()
    }

    fn address_with_port_offset(&self, offset: u16) -> SocketAddr {
        SocketAddr::new(self.caller_address.ip(), self.peer_ports.0 + offset)
    }
}

/// Whether a text contains gateway settings. Returns false for a text that can't be parsed.
pub fn is_gateway_settings(text: &str) -> bool {
    let mut document = Document::new("", text);
    document
        .parse()
        .is_some_and(|root| ObjectReader::new(&root).optional(STORE_ADDRESS_KEY).is_some())
}

/// Parses gateway settings. Each error gives a finding; settings are returned only if there is none.
pub fn parse_gateway_settings(source: &str, text: &str) -> (Option<GatewaySettings>, FindingList) {
    let mut document = Document::new(source, text);
    let Some(root) = document.parse() else {
        return (None, document.finish());
    };
    let mut reader = ObjectReader::new(&root);
    let settings = GatewayReader { document: &mut document, reader: &mut reader }.read();
    reader.finish(&mut document);
    let findings = document.finish();
    (settings.filter(|_| findings.is_empty()), findings)
}

struct GatewayReader<'r, 'o, 'a> {
    document: &'r mut Document<'a>,
    reader: &'r mut ObjectReader<'o, 'a>,
}

impl<'o, 'a> GatewayReader<'_, 'o, 'a> {
    fn read(&mut self) -> Option<GatewaySettings> {
        let vm = self.required("vm", "\"vm-1\"").and_then(|value| self.parse_name(value));
        let data_centre =
            self.required("data_centre", "\"oshakati\"").and_then(|value| self.parse_name(value));
        let caller_address = self.required_address("caller_address");
        let ready_address = self.required_address("ready_address");
        let peer_ports = self.peer_ports();
        let seeds = self.seeds();
        let store_address = self.required_address(STORE_ADDRESS_KEY);
        let first_start = self.first_start();
        let log_format = self.log_format();
        let grace = self.duration("grace_s", DEFAULT_GRACE);
        let heartbeat = self.milliseconds("heartbeat_ms", DEFAULT_HEARTBEAT);
        let memory_mb = self.clamped("memory_mb", DEFAULT_MEMORY_MB, MEMORY_RANGE_MB);
        let max_descriptors =
            self.clamped("max_descriptors", DEFAULT_MAX_DESCRIPTORS, DESCRIPTORS_RANGE);
        let bounds = self.bounds();
        Some(GatewaySettings {
            vm: vm?,
            data_centre: data_centre?,
            caller_address: caller_address?,
            ready_address: ready_address?,
            peer_ports: peer_ports?,
            seeds,
            store_address: store_address?,
            first_start,
            log_format,
            grace,
            heartbeat,
            memory_bytes: (memory_mb as usize) << 20,
            max_descriptors: max_descriptors as usize,
            bounds,
        })
    }

    fn required(&mut self, name: &'static str, expected: &str) -> Option<&'o Value<'a>> {
        Some(&self.reader.required(self.document, name, expected)?.value)
    }

    fn optional(&mut self, name: &'static str) -> Option<&'o Value<'a>> {
        Some(&self.reader.optional(name)?.value)
    }

    fn parse_name(&mut self, value: &'o Value<'a>) -> Option<std::sync::Arc<str>> {
        name_value(self.document, value).map(Into::into)
    }

    fn required_address(&mut self, name: &'static str) -> Option<SocketAddr> {
        let value = self.required(name, ADDRESS_EXAMPLE)?;
        address_value(self.document, value)
    }

    fn clamped(&mut self, name: &'static str, default: f64, range: RangeInclusive<f64>) -> f64 {
        self.non_negative(name, default).clamp(*range.start(), *range.end())
    }

    fn milliseconds(&mut self, name: &'static str, default: Duration) -> Duration {
        let milliseconds = self.non_negative(name, default.as_secs_f64() * 1_000.0);
        Duration::from_secs_f64((milliseconds / 1_000.0).min(MAX_TIME_S))
    }

    fn duration(&mut self, name: &'static str, default: Duration) -> Duration {
        let seconds = self.non_negative(name, default.as_secs_f64());
        Duration::from_secs_f64(seconds.min(MAX_TIME_S))
    }

    fn peer_ports(&mut self) -> Option<(u16, u16)> {
        const EXPECTED: &str = "[7600, 7615]";
        let value = self.required("peer_ports", EXPECTED)?;
        let elements = list_value(self.document, value, EXPECTED);
        let ports: Vec<u16> = elements
            .iter()
            .filter_map(|port| number_value(self.document, port, 1..=u64::from(u16::MAX)))
            .filter_map(|port| u16::try_from(port).ok())
            .collect();
        match ports[..] {
            [first, last] if last >= first && last - first + 1 >= REQUIRED_PORTS => {
                Some((first, last))
            }
            _ => {
                let message = "not a first and a last port";
                let help = format!("write {EXPECTED}, with {REQUIRED_PORTS} ports or more");
                self.document.add_at_value(value, message, help);
                None
            }
        }
    }

    fn seeds(&mut self) -> Vec<SocketAddr> {
        const EXPECTED: &str = "[\"10.0.0.1:7000\"]";
        let Some(value) = self.optional("seeds") else { return Vec::new() };
        let elements = list_value(self.document, value, EXPECTED);
        elements.iter().filter_map(|seed| address_value(self.document, seed)).collect()
    }

    fn first_start(&mut self) -> bool {
        let Some(value) = self.optional("first_start") else { return false };
        let Value::BooleanLit(literal) = value else {
            self.document.add_at_value(value, "not a boolean", "write true or false");
            return false;
        };
        literal.value
    }

    fn log_format(&mut self) -> LogFormat {
        let value = self.optional("log_format");
        value.and_then(|value| log_format_value(self.document, value)).unwrap_or(LogFormat::Json)
    }

    fn bounds(&mut self) -> GatewayBounds {
        let default = GatewayBounds::default();
        let Some(value) = self.optional("bounds") else { return default };
        let Some(object) = object_value(self.document, value, "{ … }") else { return default };
        let mut reader = ObjectReader::new(object);
        let mut bounds_reader = GatewayReader { document: self.document, reader: &mut reader };
        let bounds = GatewayBounds {
            retry_ratio: bounds_reader.non_negative("retry_ratio", default.retry_ratio),
            retry_slack: bounds_reader.non_negative("retry_slack", default.retry_slack),
            quota_window: bounds_reader.duration("quota_window_s", default.quota_window),
            quota_overage: bounds_reader.non_negative("quota_overage", default.quota_overage),
            quota_slack: bounds_reader.non_negative("quota_slack", default.quota_slack),
            change_time: bounds_reader.milliseconds("change_ms", default.change_time),
            evacuation_time: bounds_reader.milliseconds("evacuation_ms", default.evacuation_time),
            leave_time: bounds_reader.milliseconds("leave_ms", default.leave_time),
            contact_time: bounds_reader.milliseconds("contact_ms", default.contact_time),
        };
        reader.finish(self.document);
        bounds
    }

    fn non_negative(&mut self, name: &'static str, default: f64) -> f64 {
        let value = self.optional(name);
        value.and_then(|value| non_negative_value(self.document, value)).unwrap_or(default)
    }
}

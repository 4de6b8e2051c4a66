//! Settings of a process that forwards calls between callers and targets which a shared store lists.

use std::{net::SocketAddr, time::Duration};

use jsonc_parser::ast::Value;
use tarragon_protocol::prelude::*;

use super::{
    LogFormat,
    document::{
        Document, ObjectReader, address_value, fraction_value, list_value, name_value,
        number_value, object_value,
    },
    read::log_format_value,
};

/// Key whose presence tells these settings from those of [`ServeSettings`](super::ServeSettings).
const MARK: &str = "store_address";
/// Longest time that a setting may name, in seconds.
const MAX_TIME_S: f64 = 3_600.0;
/// Ports that a process needs for its peers and for metrics.
const LEAST_PORTS: u16 = 3;
const ADDRESS_EXAMPLE: &str = "\"10.0.0.1:8080\"";

/// Settings of `serve` for a process that reads a shared store.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of the VM.
    pub vm: VmName,
    /// Data centre that the VM stands in.
    pub data_centre: DataCentreName,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the load balancer asks whether the process is ready.
    pub ready_address: SocketAddr,
    /// First and last port that the process may use for its peers and for metrics, the same on all VMs.
    pub peer_ports: (u16, u16),
    /// Peers to ask first. Only their IP numbers count.
    pub seeds: Vec<SocketAddr>,
    /// Store that lists targets and holds the configuration.
    pub store_address: SocketAddr,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// Form of the log.
    pub log_format: LogFormat,
    /// Time from the signal to shut down until the process is killed.
    pub grace: Duration,
    /// Bounds of the fleet as a whole.
    pub bounds: GatewayBounds,
}

/// Bounds that hold for all processes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GatewayBounds {
    /// Repeats at a service, as a part of the requests for it.
    pub retry_ratio: f64,
    /// Repeats at a service beyond that part.
    pub retry_slack: f64,
    /// Window of quotas.
    pub quota_window: Duration,
    /// Part of a quota by which the fleet may exceed it.
    pub quota_overage: f64,
    /// Units by which the fleet may exceed a quota beside that part.
    pub quota_slack: f64,
}

impl Default for GatewayBounds {
    /// Figures for a deployment that names none: few repeats, and a window of some seconds.
    fn default() -> GatewayBounds {
        GatewayBounds {
            retry_ratio: 0.1,
            retry_slack: 10.0,
            quota_window: Duration::from_secs(8),
            quota_overage: 0.25,
            quota_slack: 0.0,
        }
    }
}

/// Time from the signal to the kill if the settings name none, as most platforms set it or more.
const DEFAULT_GRACE: Duration = Duration::from_secs(8);

impl GatewaySettings {
    /// Address at which peers send digests.
    pub fn peer_address(&self) -> SocketAddr {
        self.own_address(0)
    }

    /// Address at which peers ask for what is published.
    pub fn pull_address(&self) -> SocketAddr {
        self.own_address(1)
    }

    /// Address at which metrics are read.
    pub fn metrics_address(&self) -> SocketAddr {
        self.own_address(2)
    }

    /// Addresses at which seeds take digests.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), self.peer_ports.0)).collect()
    }

    fn own_address(&self, offset: u16) -> SocketAddr {
        SocketAddr::new(self.caller_address.ip(), self.peer_ports.0 + offset)
    }
}

/// Whether a text is meant as these settings. A text that can't be read is not.
pub fn is_gateway_settings(text: &str) -> bool {
    let mut document = Document::new("", text);
    document.parse().is_some_and(|root| ObjectReader::new(&root).optional(MARK).is_some())
}

/// Reads settings. Every fault is a finding; settings are returned only if there is none.
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
        let vm = self.required("vm", "\"vm-1\"").and_then(|value| self.name(value));
        let data_centre =
            self.required("data_centre", "\"oshakati\"").and_then(|value| self.name(value));
        let caller_address = self.required_address("caller_address");
        let ready_address = self.required_address("ready_address");
        let peer_ports = self.peer_ports();
        let seeds = self.seeds();
        let store_address = self.required_address(MARK);
        let first_start = self.first_start();
        let log_format = self.log_format();
        let grace = self.seconds("grace_s", DEFAULT_GRACE);
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
            bounds,
        })
    }

    fn required(&mut self, name: &'static str, expected: &str) -> Option<&'o Value<'a>> {
        Some(&self.reader.required(self.document, name, expected)?.value)
    }

    fn optional(&mut self, name: &'static str) -> Option<&'o Value<'a>> {
        Some(&self.reader.optional(name)?.value)
    }

    fn name(&mut self, value: &'o Value<'a>) -> Option<std::sync::Arc<str>> {
        name_value(self.document, value).map(Into::into)
    }

    fn required_address(&mut self, name: &'static str) -> Option<SocketAddr> {
        let value = self.required(name, ADDRESS_EXAMPLE)?;
        address_value(self.document, value)
    }

    fn seconds(&mut self, name: &'static str, default: Duration) -> Duration {
        let seconds = self.fraction(name, default.as_secs_f64());
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
            [first, last] if last >= first && last - first + 1 >= LEAST_PORTS => {
                Some((first, last))
            }
            _ => {
                let message = "not a first and a last port";
                let help = format!("write {EXPECTED}, with {LEAST_PORTS} ports or more");
                self.document.add_at(value, message, help);
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
            self.document.add_at(value, "not a truth value", "write true or false");
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
        let mut inner = GatewayReader { document: self.document, reader: &mut reader };
        let bounds = GatewayBounds {
            retry_ratio: inner.fraction("retry_ratio", default.retry_ratio),
            retry_slack: inner.fraction("retry_slack", default.retry_slack),
            quota_window: inner.seconds("quota_window_s", default.quota_window),
            quota_overage: inner.fraction("quota_overage", default.quota_overage),
            quota_slack: inner.fraction("quota_slack", default.quota_slack),
        };
        reader.finish(self.document);
        bounds
    }

    fn fraction(&mut self, name: &'static str, default: f64) -> f64 {
        let value = self.optional(name);
        value.and_then(|value| fraction_value(self.document, value)).unwrap_or(default)
    }
}

//! Parses [`ServeSettings`] and checks that its values are consistent.

use std::{net::SocketAddr, ops::RangeInclusive, path::PathBuf, sync::Arc, time::Duration};

use jsonc_parser::{ast::Value, common::Ranged};
use tarragon_protocol::{platform::PublishedTarget, prelude::*};

use super::{
    DEFAULT_DRAIN_TIMEOUT, LogFormat, MIN_KEY_CHARACTERS, PlatformAddresses, ProcessLimits,
    SecretText, SeedPeer, ServeSettings,
    document::{
        Document, ObjectReader, address_value, duration_value, list_value, name_value,
        number_value, object_value, text_value,
    },
};

/// Maximum duration in any setting, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// Range of the setting `memory_mb`.
const MEMORY_RANGE_MB: RangeInclusive<u64> = 32..=1_048_576;
/// Range of the setting `max_descriptors`.
const DESCRIPTORS_RANGE: RangeInclusive<u64> = 128..=1_048_576;
/// Maximum value of the setting `body_bytes`.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
const ADDRESS_EXAMPLE: &str = "\"127.0.0.1:8080\"";
const SEED_EXAMPLE: &str =
    "[{\"vm\": \"…\", \"data_centre\": \"…\", \"address\": \"127.0.0.1:7000\"}]";
const TARGET_EXAMPLE: &str =
    "[{\"target\": \"…\", \"service\": \"…\", \"address\": \"127.0.0.1:9000\"}]";

/// Parses settings. Each error gives a finding; settings are returned only if there is none.
pub fn parse_settings(source: &str, text: &str) -> (Option<ServeSettings>, FindingList) {
    let mut document = Document::new(source, text);
    let Some(root) = document.parse() else {
        return (None, document.finish());
    };
    let mut reader = ObjectReader::new(&root);
    let settings = SettingsReader { document: &mut document, reader: &mut reader }.read();
    reader.finish(&mut document);
    let findings = document.finish();
    (settings.filter(|_| findings.is_empty()), findings)
}

struct SettingsReader<'r, 'o, 'a> {
    document: &'r mut Document<'a>,
    reader: &'r mut ObjectReader<'o, 'a>,
}

impl<'o, 'a> SettingsReader<'_, 'o, 'a> {
    fn read(&mut self) -> Option<ServeSettings> {
        let vm = self.required_name("vm", "\"vm-1\"");
        let data_centre = self.required_name("data_centre", "\"oshakati\"");
        let caller_address = self.required_address("caller_address");
        let peer_address = self.required_address("peer_address");
        let admin_address = self.required_address("admin_address");
        let admin_key = self.admin_key();
        self.check_admin_access(admin_address);
        let peer_keys = self.peer_keys();
        let platform = self.platform();
        let seed_peers = self.seed_peers();
        let log_format = self.log_format();
        let limits = self.limits();
        let drain_timeout =
            self.optional_duration("drain_timeout_ms", DEFAULT_DRAIN_TIMEOUT, 1_000);
        let rules_file = self.rules_file();
        let targets = self.targets();
        Some(ServeSettings {
            vm: vm?,
            data_centre: data_centre?,
            caller_address: caller_address?,
            peer_address: peer_address?,
            admin_address: admin_address?,
            admin_key,
            peer_keys,
            platform,
            seed_peers,
            log_format,
            limits,
            drain_timeout,
            rules_file,
            targets,
        })
    }

    fn required_value(&mut self, name: &'static str, expected: &str) -> Option<&'o Value<'a>> {
        Some(&self.reader.required(self.document, name, expected)?.value)
    }

    fn optional_value(&mut self, name: &'static str) -> Option<&'o Value<'a>> {
        Some(&self.reader.optional(name)?.value)
    }

    fn required_name(&mut self, name: &'static str, expected: &str) -> Option<Arc<str>> {
        let value = self.required_value(name, expected)?;
        name_value(self.document, value).map(Arc::from)
    }

    fn required_address(&mut self, name: &'static str) -> Option<SocketAddr> {
        let value = self.required_value(name, ADDRESS_EXAMPLE)?;
        address_value(self.document, value)
    }

    fn optional_duration(
        &mut self,
        name: &'static str,
        default: Duration,
        min_ms: u64,
    ) -> Duration {
        let value = self.optional_value(name);
        value
            .and_then(|value| duration_value(self.document, value, min_ms..=MAX_TIMEOUT_MS))
            .unwrap_or(default)
    }

    fn optional_number(&mut self, name: &'static str, default: u64, max: u64) -> u64 {
        let value = self.optional_value(name);
        value.and_then(|value| number_value(self.document, value, 1..=max)).unwrap_or(default)
    }

    fn admin_key(&mut self) -> Option<SecretText> {
        let value = self.optional_value("admin_key")?;
        secret_value(self.document, value)
    }

    /// Reports an admin address that is not loopback if there is no admin key, since anyone who can reach it
    /// could shut down the process.
    fn check_admin_access(&mut self, address: Option<SocketAddr>) {
        let is_public = address.is_some_and(|address| !address.ip().is_loopback());
        if !is_public || self.optional_value("admin_key").is_some() {
            return;
        }
        if let Some(value) = self.optional_value("admin_address") {
            let message = "without `admin_key` this address must be loopback";
            let help = "write \"127.0.0.1:PORT\", or add \"admin_key\"";
            self.document.add(value.range(), message, help);
        }
    }

    fn peer_keys(&mut self) -> Vec<SecretText> {
        const EXPECTED: &str = "[\"a key of 16 characters or more\"]";
        let Some(value) = self.required_value("peer_keys", EXPECTED) else { return Vec::new() };
        let elements = list_value(self.document, value, EXPECTED);
        if value.as_array().is_some() && !(1..=2).contains(&elements.len()) {
            let message = format!("{} peer keys", elements.len());
            let help = "write one key, or the new and the old one during a rotation";
            self.document.add(value.range(), message, help);
        }
        elements.iter().filter_map(|element| secret_value(self.document, element)).collect()
    }

    fn platform(&mut self) -> Option<PlatformAddresses> {
        let service = self.optional_value("configuration_service");
        let list = self.optional_value("vm_list");
        let configuration_service = service.and_then(|value| address_value(self.document, value));
        let vm_list = list.and_then(|value| address_value(self.document, value));
        match (service, list) {
            (Some(present), None) => {
                let help = format!("add \"vm_list\": {ADDRESS_EXAMPLE}");
                self.document.add(present.range(), "`vm_list` is missing", help);
            }
            (None, Some(present)) => {
                let help = format!("add \"configuration_service\": {ADDRESS_EXAMPLE}");
                let message = "`configuration_service` is missing";
                self.document.add(present.range(), message, help);
            }
            _ => {}
        }
        Some(PlatformAddresses { configuration_service: configuration_service?, vm_list: vm_list? })
    }

    fn seed_peers(&mut self) -> Vec<SeedPeer> {
        let Some(value) = self.optional_value("seed_peers") else { return Vec::new() };
        let elements = list_value(self.document, value, SEED_EXAMPLE);
        elements.iter().filter_map(|element| seed_peer(self.document, element)).collect()
    }

    fn log_format(&mut self) -> LogFormat {
        let value = self.optional_value("log_format");
        value.and_then(|value| log_format_value(self.document, value)).unwrap_or_default()
    }

    fn limits(&mut self) -> ProcessLimits {
        let default = ProcessLimits::default();
        let Some(value) = self.optional_value("limits") else { return default };
        let Some(object) = object_value(self.document, value, "{ … }") else { return default };
        let mut reader = ObjectReader::new(object);
        let mut limits_reader = SettingsReader { document: self.document, reader: &mut reader };
        let limits = limits_reader.limit_values(&default);
        reader.finish(self.document);
        limits
    }

    fn number_in(
        &mut self,
        name: &'static str,
        default: usize,
        range: RangeInclusive<u64>,
    ) -> usize {
        let number =
            self.optional_value(name).and_then(|value| number_value(self.document, value, range));
        number.and_then(|number| usize::try_from(number).ok()).unwrap_or(default)
    }

    fn limit_values(&mut self, default: &ProcessLimits) -> ProcessLimits {
        let to_u32 = |number: u64| u32::try_from(number).unwrap_or(u32::MAX);
        ProcessLimits {
            body_bytes: self.optional_number("body_bytes", default.body_bytes, MAX_BODY_BYTES),
            header_timeout: self.optional_duration("header_timeout_ms", default.header_timeout, 10),
            body_timeout: self.optional_duration("body_timeout_ms", default.body_timeout, 10),
            queue_entries: to_u32(self.optional_number(
                "queue_entries",
                default.queue_entries.into(),
                1_000_000,
            )),
            queue_tokens: self.optional_number(
                "queue_tokens",
                default.queue_tokens,
                1_000_000_000_000,
            ),
            streams: to_u32(self.optional_number("streams", default.streams.into(), 1_000_000)),
            grace_period: self.optional_duration("grace_period_ms", default.grace_period, 0),
            concurrent_loads: to_u32(self.optional_number(
                "concurrent_loads",
                default.concurrent_loads.into(),
                1_000,
            )),
            memory_bytes: self.number_in("memory_mb", default.memory_bytes >> 20, MEMORY_RANGE_MB)
                << 20,
            max_descriptors: self.number_in(
                "max_descriptors",
                default.max_descriptors,
                DESCRIPTORS_RANGE,
            ),
        }
    }

    fn rules_file(&mut self) -> Option<PathBuf> {
        let value = self.optional_value("rules_file");
        if value.is_none() && !self.uses_platform() {
            let message = "neither a platform nor a rules file is named";
            let help = "add \"configuration_service\" and \"vm_list\", or \"rules_file\"";
            self.document.add(self.reader.range(), message, help);
        }
        text_value(self.document, value?, "the path of a rules file", |text| {
            (!text.is_empty()).then(|| PathBuf::from(text))
        })
    }

    fn targets(&mut self) -> Vec<PublishedTarget> {
        let Some(value) = self.optional_value("targets") else { return Vec::new() };
        if self.uses_platform() {
            let message = "targets are published by the platform";
            let help = "remove `targets`, or `configuration_service` and `vm_list`";
            self.document.add(value.range(), message, help);
        }
        let elements = list_value(self.document, value, TARGET_EXAMPLE);
        let mut targets: Vec<PublishedTarget> = Vec::new();
        for element in elements {
            let Some(target) = static_target(self.document, element) else { continue };
            if targets.iter().any(|other| other.target == target.target) {
                let message = format!("a second target `{}`", target.target);
                self.document.add(element.range(), message, "give each target its own name");
            } else {
                targets.push(target);
            }
        }
        targets
    }

    fn uses_platform(&mut self) -> bool {
        self.optional_value("configuration_service").is_some()
            || self.optional_value("vm_list").is_some()
    }
}

fn secret_value<'a>(document: &mut Document<'a>, value: &Value<'a>) -> Option<SecretText> {
    let expected = format!("a random text of {MIN_KEY_CHARACTERS} characters or more");
    text_value(document, value, &expected, |text| {
        (text.chars().count() >= MIN_KEY_CHARACTERS).then(|| SecretText::new(text))
    })
}

fn seed_peer<'a>(document: &mut Document<'a>, value: &Value<'a>) -> Option<SeedPeer> {
    let object = object_value(document, value, SEED_EXAMPLE)?;
    let mut reader = ObjectReader::new(object);
    let mut fields = SettingsReader { document, reader: &mut reader };
    let vm = fields.required_name("vm", "\"vm-2\"");
    let data_centre = fields.required_name("data_centre", "\"oshakati\"");
    let address = fields.required_address("address");
    reader.finish(document);
    Some(SeedPeer { vm: vm?, data_centre: data_centre?, address: address? })
}

fn static_target<'a>(document: &mut Document<'a>, value: &Value<'a>) -> Option<PublishedTarget> {
    let object = object_value(document, value, TARGET_EXAMPLE)?;
    let mut reader = ObjectReader::new(object);
    let mut fields = SettingsReader { document, reader: &mut reader };
    let target = fields.required_name("target", "\"runner-1\"");
    let service: Option<ServiceName> = fields.required_name("service", "\"model-pool\"");
    let address = fields.required_address("address");
    let hardware = fields.optional_value("hardware");
    let hardware = hardware.and_then(|value| name_value(fields.document, value));
    let fencing = fields.optional_value("checks_fencing");
    let checks_fencing = fencing.is_some_and(|value| boolean_value(fields.document, value));
    reader.finish(document);
    let address = address?.to_string();
    Some(PublishedTarget { target: target?, service: service?, address, hardware, checks_fencing })
}

fn boolean_value<'a>(document: &mut Document<'a>, value: &Value<'a>) -> bool {
    if let Some(flag) = value.as_boolean_lit() {
        return flag.value;
    }
    document.add(value.range(), "not true or false", "write true or false");
    false
}

/// Reads the format of the log.
pub(super) fn log_format_value<'a>(
    document: &mut Document<'a>,
    value: &Value<'a>,
) -> Option<LogFormat> {
    text_value(document, value, "\"text\" or \"json\"", |text| match text {
        "text" => Some(LogFormat::Text),
        "json" => Some(LogFormat::Json),
        _ => None,
    })
}

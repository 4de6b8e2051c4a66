//! Control messages of one daemon: bytes, processor time, age of load entries and memory, at several
//! sizes.
//!
//! Bounds (docs/design.md, 1.5): 21 KB/s, 4.2% of a core and 32 MB per daemon. Sent and received bytes
//! are JSON-RPC bodies plus an estimate for the headers of HTTP. One thread runs all daemons, with
//! signing, encoding, verifying and decoding, so the wall time divided by daemons and simulated time is
//! processor time.

#[path = "../tests/support/world.rs"]
#[allow(dead_code)]
mod world;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tarragon_cluster::{
    cluster::ClusterSettings, digest::REPORT_VALIDITY, prelude::*, publication::*, ticket::*,
};
use tarragon_config::publication::content_hash;
use tarragon_protocol::{
    peer::{PlainAnswer, PlainCall},
    platform::{ConfigurationManifest, ManifestPart, PublishedTarget, TargetList},
};
use world::{World, address_of, warm_report};

/// Estimated size in bytes of the HTTP/1.1 headers of a request (host, content type, accept, content
/// length) and of its empty answer with the status line.
const HTTP_BYTES: u64 = 330;

/// Simulated time of one measurement.
const MEASURED: Duration = Duration::from_secs(30);

/// Time between two configurations: 69,000 a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1250);

/// Bounds per daemon.
const BYTES_BOUND: f64 = 21_000.0;
const CORE_BOUND: f64 = 4.2;
const MEMORY_BOUND: f64 = 32.0;

const TARGETS: usize = 333;

fn main() {
    println!("changes at 0.8 a second, one line of a rules part, 31 VMs");
    measure_changes();
    println!("\nmemory of tables (bound {MEMORY_BOUND} MB for all control)");
    measure_memory();
    println!("\ncontrol messages per daemon, {TARGETS} targets per data centre, no changes");
    for sizes in [vec![8], vec![16], vec![31], split(920, 30)] {
        measure_gossip(&sizes);
    }
    println!("\none-line change of 10,000 workspace rules");
    measure_splice();
}

fn split(vms: usize, data_centres: usize) -> Vec<usize> {
    (0..data_centres)
        .map(|index| vms / data_centres + usize::from(index < vms % data_centres))
        .collect()
}

fn build(sizes: &[usize]) -> World {
    let mut world = World::new();
    for (data_centre, vms) in sizes.iter().enumerate() {
        for vm in 0..*vms {
            world
                .list_vm(&format!("dc{data_centre:02}-vm-{vm:02}"), &format!("dc{data_centre:02}"));
        }
    }
    world.platform.list.version = 1;
    world.publish_part("rules-00", "");
    for (data_centre, vms) in sizes.iter().enumerate() {
        let name: DataCentreName = format!("dc{data_centre:02}").into();
        let list = target_list(&name);
        for target in &list.targets {
            world.targets.insert(target.target.clone(), warm_report(data_centre as u64, 64));
        }
        for vm in 0..*vms {
            start(&mut world, &name, vm, list.clone());
        }
    }
    world
}

fn start(world: &mut World, data_centre: &DataCentreName, vm: usize, list: TargetList) {
    let vm: VmName = format!("{data_centre}-vm-{vm:02}").into();
    let incarnation = content_hash(&vm).bytes().fold(1, |hash: u64, byte| {
        hash.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(byte.into())
    });
    let address = address_of(&vm);
    let identity = PeerIdentity { vm, incarnation };
    let mut settings =
        ClusterSettings::new(identity, data_centre.clone(), address.clone(), address);
    settings.static_targets = vec![list];
    world.start_with(settings);
}

fn target_list(data_centre: &DataCentreName) -> TargetList {
    let target = |index: usize| PublishedTarget {
        target: format!("{data_centre}-runner-{index:03}").into(),
        service: "model-pool".into(),
        address: format!("10.0.{}.{}:9000", index / 250, index % 250),
        hardware: None,
        checks_fencing: true,
    };
    TargetList { data_centre: data_centre.clone(), targets: (0..TARGETS).map(target).collect() }
}

fn measure_gossip(sizes: &[usize]) {
    let mut world = build(sizes);
    world.run_for(Duration::from_secs(20));
    world.reset_counts();
    let begin = Instant::now();
    let mut ages = Vec::new();
    for _ in 0..MEASURED.as_secs() {
        world.run_for(Duration::from_secs(1));
        if sizes.len() == 1 {
            ages.extend(load_ages(&world));
        }
    }
    let wall = begin.elapsed();
    let vms: usize = sizes.iter().sum();
    let core = 100.0 * wall.as_secs_f64() / MEASURED.as_secs_f64() / vms as f64;
    print!("{vms:4} VMs in {:2} data centres: ", sizes.len());
    print_bytes(&world, MEASURED);
    print!(", {core:.2}% of a core (bound {CORE_BOUND}%)");
    println!(", {:.2} platform calls/s in all", world.platform.calls as f64 / 30.0);
    if !ages.is_empty() {
        ages.sort();
        let at = |share: f64| ages[((ages.len() - 1) as f64 * share) as usize];
        println!(
            "       load entries: age p50 {:?}, p99 {:?}, highest {:?}; {} of {} too old; {:.1} polls/s a daemon",
            at(0.5),
            at(0.99),
            at(1.0),
            ages.iter().filter(|age| **age > REPORT_VALIDITY).count(),
            ages.len(),
            world.polls as f64 / MEASURED.as_secs_f64() / vms as f64,
        );
    }
}

fn print_bytes(world: &World, measured: Duration) {
    let seconds = measured.as_secs_f64();
    let mut totals: Vec<f64> = Vec::new();
    let (mut gossip, mut other, mut http) = (0.0, 0.0, 0.0);
    for node in &world.nodes {
        let body = |count: &world::ByteCount| {
            (count.gossip as f64, (count.announcements + count.pulls) as f64)
        };
        let (sent, received) = (body(&node.sent), body(&node.received));
        let headers = HTTP_BYTES * (node.sent.messages + node.received.messages);
        gossip += sent.0 + received.0;
        other += sent.1 + received.1;
        http += headers as f64;
        totals.push((sent.0 + received.0 + sent.1 + received.1 + headers as f64) / seconds);
    }
    let mean = totals.iter().sum::<f64>() / totals.len() as f64;
    let highest = totals.iter().copied().fold(0.0, f64::max);
    let per = |bytes: f64| bytes / seconds / world.nodes.len() as f64;
    print!(
        "{mean:.0} B/s sent+received, highest {highest:.0} (bound {BYTES_BOUND:.0}; gossip {:.0}, other {:.0}, http {:.0})",
        per(gossip),
        per(other),
        per(http)
    );
}

fn load_ages(world: &World) -> Vec<Duration> {
    let now = world.now;
    let ages = world.nodes.iter().flat_map(|node| node.cluster.load_ages(now));
    ages.map(|(_, age)| age.unwrap_or(Duration::from_secs(3600))).collect()
}

fn measure_changes() {
    let mut world = build(&[31]);
    for (name, text) in rule_parts() {
        world.publish_part(&name, &text);
    }
    world.run_for(Duration::from_secs(30));
    world.reset_counts();
    let (begin, start) = (Instant::now(), world.now);
    let (mut published, mut highest) = (Vec::new(), Duration::ZERO);
    for change in 0..24 {
        let (name, text) = changed_part(change);
        world.publish_part(&name, &text);
        let version = world.platform.manifest.version;
        published.push((version, world.now));
        let end = world.now + CHANGE_INTERVAL;
        while world.now < end {
            world.step();
            published.retain(|(version, at)| {
                let everywhere = world.versions().iter().all(|known| known >= version);
                if everywhere {
                    highest = highest.max(world.now - *at);
                }
                !everywhere
            });
        }
    }
    let elapsed = world.now - start;
    let core = 100.0 * begin.elapsed().as_secs_f64() / elapsed.as_secs_f64() / 31.0;
    print!("  31 VMs: ");
    print_bytes(&world, elapsed);
    println!(", {core:.2}% of a core");
    println!(
        "  active everywhere after at most {highest:?}; {} not yet everywhere",
        published.len()
    );
}

fn rule_line(index: usize, rate: usize) -> String {
    format!(
        "workspace customer-{index:05} tier=high rate={rate}/s concurrency=20 queued_tokens=200000 \
         weight=3 # asked by: Operations Desk, contract {index:05} with evening peak\n"
    )
}

/// 10,000 rules in parts of at most 100 lines, under 16 KB each.
fn rule_parts() -> Vec<(String, String)> {
    let part = |part: usize| {
        let lines = (part * 100..part * 100 + 100).map(|index| rule_line(index, 50));
        (format!("rules-{part:02}"), lines.collect())
    };
    (0..100).map(part).collect()
}

fn changed_part(change: usize) -> (String, String) {
    let part = change % 100;
    let rate = |index: usize| if index == part * 100 + 50 { 60 + change } else { 50 };
    let lines = (part * 100..part * 100 + 100).map(|index| rule_line(index, rate(index)));
    (format!("rules-{part:02}"), lines.collect())
}

fn manifest_of(version: u64, parts: &[(String, String)]) -> ConfigurationManifest {
    let part = |(name, text): &(String, String)| ManifestPart {
        name: name.clone(),
        hash: content_hash(text),
    };
    ConfigurationManifest { version, parts: parts.iter().map(part).collect() }
}

fn shared(parts: &[(String, String)]) -> Vec<(String, Arc<str>)> {
    parts.iter().map(|(name, text)| (name.clone(), text.as_str().into())).collect()
}

fn measure_splice() {
    let mut parts = rule_parts();
    let mut state = PublicationState::default();
    state.offer_manifest(manifest_of(1, &parts));
    state.offer_parts(shared(&parts));
    let (_, text) = changed_part(0);
    parts[0].1 = text;
    state.offer_manifest(manifest_of(2, &parts));
    let begin = Instant::now();
    state.offer_parts(shared(&parts[..1]));
    let applied = begin.elapsed();
    let bytes = |have| {
        let transfer = state.transfer_for(have).expect("the peer is behind");
        serde_json::to_string(&transfer).expect("a transfer serialises").len()
    };
    let line = rule_line(0, 50).len();
    println!(
        "  splice {} B (line {line} B), whole configuration {} B, applied in {applied:?}",
        bytes(1),
        bytes(0)
    );
}

fn measure_memory() {
    let before = resident_megabytes();
    let mut table = full_table();
    println!(
        "  ticket table, {} records and {:.1} MB of answers: {:.1} MB",
        table.dump().records,
        table.dump().answer_bytes as f64 / 1e6,
        resident_megabytes() - before
    );
    let before = resident_megabytes();
    let parts = rule_parts();
    let mut state = PublicationState::default();
    state.offer_manifest(manifest_of(1, &parts));
    state.offer_parts(shared(&parts));
    drop(parts);
    println!("  configuration of 10,000 rules: {:.1} MB", resident_megabytes() - before);
    drop(state);
    let message = table.freeze(Duration::from_secs(200));
    let text = serde_json::to_string(&message).expect("a handover serialises");
    println!("  handover of that table: {:.1} MB of JSON", text.len() as f64 / 1e6);
    drop((message, text));
    let before = resident_megabytes();
    let mut world = build(&split(920, 30));
    world.run_for(Duration::from_secs(5));
    let nodes = world.nodes.len() as f64;
    println!("  920 daemons after 5 s: {:.2} MB each", (resident_megabytes() - before) / nodes);
}

/// A table with all records, half of them done, with answers up to the bound.
fn full_table() -> TicketTable {
    let identity = PeerIdentity { vm: "dc00-vm-00".into(), incarnation: 1 };
    let limits = TicketLimits::default();
    let mut table = TicketTable::new(identity, "10.0.0.1:7000".to_owned(), limits);
    let boot = Duration::from_secs(100);
    for index in 0..limits.records as u64 {
        let ticket = table.issue(boot);
        let call = PlainCall {
            method: "POST".to_owned(),
            path: index.to_string(),
            headers: Vec::new(),
            body: Vec::new().into(),
        };
        let ticket_use = TicketUse {
            ticket: &ticket,
            binding: CallBinding::of("workspace", "service", &call),
            deadline: boot + Duration::from_secs(30),
            waiter: index,
            answer_limit: 262_144,
            forwarded: false,
            successor: None,
        };
        table.present(boot, &ticket_use);
        let answer = if index % 2 == 0 {
            table.may_write(ticket.sequence, boot);
            let headers = vec![("content-type".to_owned(), "application/json".to_owned())];
            TicketAnswer::Done(PlainAnswer { status: 200, headers, body: vec![b'x'; 480].into() })
        } else {
            let message = "the workspace is over its limit of concurrent requests";
            TicketAnswer::Refused(Refusal::not_run(RefusalCode::LimitReached, message))
        };
        table.finish(ticket.sequence, answer, boot);
    }
    table
}

/// Resident memory of this process.
fn resident_megabytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    kilobytes.unwrap_or(0.0) / 1000.0
}

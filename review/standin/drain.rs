//! Requests wait at a process for room at the runners when the platform stops it with SIGTERM.

use std::{
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{Fleet, network},
    net::{Message, Record, call, message_text},
    runner::Runner,
    store::Store,
};

/// `loss-slack-ms` of the users' sheets.
const LOSS_SLACK_MS: u64 = 200;
const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// The route `measure-query` of orctcs-front.
const CONFIGURATION: &str = r#"{"version":7,"routes":[
{"name":"r-measure","host":"calls.example","path-prefix":"/measure/","kind":"streaming","timeout-ms":15000,
"target-latency-ms":2000,"priority":2,"service":"assistant-pool","max-attempts":2,"public":false,"sticky":true,
"resumable":true,"gap-target-ms":400}],
"services":[{"name":"assistant-pool","health-path":"/healthz","max-conns":360,"protocol":"h1","tls":false,
"cold-s":3.0,"cold-per-s":6.7,"engine":{"slots":2,"kv-tokens":605242,"stride":3,"models":[{"name":"m"}]}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"stall","api-keys":["i9n73hh2b9wu3fexd9dn"],"priority":1,"billing-unit":"token_metered",
"uncached-tokens":200,"rate-per-s":88093,"burst":88093}]}"#;

struct Sent {
    id: String,
    sent_ms: u64,
    ended_ms: u64,
    answer: Message,
}

pub fn run(record: &Record, folder: &str, trouble: bool) -> bool {
    let network = network();
    let store = Store::start(&format!("{network}.2"));
    let runners: Vec<Runner> = [("i-a", "onitsha-main"), ("i-b", "aba-ariaria")]
        .iter()
        .map(|(name, zone)| {
            Runner::start(&format!("{network}.3"), name, "assistant-pool", zone, 2, record)
        })
        .collect();
    store.put("op/config", &CONFIGURATION.replace('\n', ""));
    runners.iter().for_each(|runner| store.put(&runner.key(), &runner.entry("ready")));
    let vms = [("edge-onitsha-main-1", "onitsha-main"), ("edge-aba-ariaria-1", "aba-ariaria")];
    let mut fleet = Fleet::start(&vms, &network, &store, folder, record);
    // The platform starts traffic ten seconds after the machines.
    thread::sleep(Duration::from_secs(4));

    let (ends, ended) = mpsc::channel();
    let front = fleet.vms[0].front;
    let begin = Instant::now();
    let at = |ms: u64| {
        thread::sleep((begin + Duration::from_millis(ms)).saturating_duration_since(Instant::now()))
    };
    let mut sent = 0;
    let mut send = |id: &str, events: u32, gap: u32| {
        sent += 1;
        let (id, ends, record) = (id.to_owned(), ends.clone(), record.clone());
        thread::spawn(move || {
            let part = format!("5c1e07a2:60,{}:1050", &id[..8]);
            let headers = [
                ("Host", "calls.example"),
                ("Request-Id", id.as_str()),
                ("Model", "m"),
                ("Token-Count", "1110,400"),
                ("Prompt-Prefix", part.as_str()),
                ("Deadline-Ms", "15000"),
                ("Authorization", &format!("Bearer {KEY}")),
                ("Connection", "close"),
            ];
            let line = format!("POST /measure/2f?events={events}&gap={gap} HTTP/1.1");
            record.line(&format!("client sends {id}"));
            let sent_ms = record.ms();
            let request = message_text(&line, &headers, &vec![b'x'; 1_500]);
            let answer = call(front, &request, Duration::from_secs(15));
            let ended_ms = record.ms();
            record.line(&format!("client has of {id}: {}", answer.summary()));
            let _ = ends.send(Sent { id, sent_ms, ended_ms, answer });
        });
    };
    // Long answers take all slots: 40 events, 300 ms apart.
    for place in 0..4 {
        send(&format!("a0000000000000{place:02}"), 40, 300);
    }
    at(1_000);
    send("b000000000000000", 10, 100);
    at(1_500);
    if trouble {
        record.line("SIGTERM to edge-onitsha-main-1");
        fleet.vms[0].signal("TERM");
    }
    // The platform takes a process out after two misses in a row, one question a second.
    at(2_000);
    send("b000000000000001", 10, 100);
    at(2_500);
    send("b000000000000002", 10, 100);
    at(3_000);
    send("b000000000000003", 10, 100);
    drop(send);
    let answers: Vec<Sent> =
        (0..sent).filter_map(|_| ended.recv_timeout(Duration::from_secs(25)).ok()).collect();
    record.line(&format!("edge-onitsha-main-1 has ended: {}", fleet.vms[0].has_ended()));
    let mut lost = 0;
    let runs: Vec<String> =
        runners.iter().flat_map(|runner| runner.runs.lock().unwrap().clone()).collect();
    for one in answers.iter().filter(|one| one.id.starts_with('b')) {
        let read =
            fleet.vms[0].log_lines("request received").iter().any(|line| line.contains(&one.id));
        let was_run = runs.contains(&one.id);
        let held = one.ended_ms - one.sent_ms;
        let is_lost = read && !was_run && !one.answer.whole && held > LOSS_SLACK_MS && held < 8_000;
        record.line(&format!(
            "{}: read {read}, run {was_run}, ended after {held} ms, {}{}",
            one.id,
            one.answer.summary(),
            if is_lost { ": LOST" } else { "" }
        ));
        lost += usize::from(is_lost);
    }
    for line in fleet.vms[0].log_lines("graceful shutdown") {
        record.line(&format!("log: {line}"));
    }
    fleet.stop();
    if answers.len() < sent || !answers.iter().any(|one| one.id.starts_with('b')) {
        record.line("not all requests have ended");
        std::process::exit(2);
    }
    lost > 0
}

//! Cases of interleaved first attempts, repeats, sealing, expiry and handover. Each step is a short text
//! with the process and its action, and the expected result.

use std::time::Duration;

use indexmap::IndexMap;
use tarragon_protocol::peer::{PlainAnswer, PlainCall};

use super::*;
use crate::prelude::*;

struct TicketCase {
    /// The failure that the case guards against.
    failure: &'static str,
    steps: &'static [(&'static str, &'static str)],
}

const CASES: &[TicketCase] = &[
    TicketCase {
        failure: "a repeat of a running call is run a second time",
        steps: &[
            ("a issue", "1"),
            ("a present 1 w1", "start"),
            ("a present 1 w2", "join"),
            ("a write 1", "write 1"),
            ("a present 1 w3", "join"),
            ("a write 1", "withhold"),
            ("a finish 1 done", "done to w1 w2 w3"),
            ("a present 1 w4", "done"),
            ("a write 1", "withhold"),
        ],
    },
    TicketCase {
        failure: "a ticket is used for another call",
        steps: &[
            ("a issue", "1"),
            ("a present 1 w1 call=x", "start"),
            ("a present 1 w2 call=y", "mismatch"),
            ("a finish 1 notrun", "not-run no_target to w1"),
            ("a present 1 w3 call=y", "mismatch"),
            ("a present 1 w4 call=x", "not-run no_target"),
        ],
    },
    TicketCase {
        failure: "a call that was said not to have run is dispatched from the queue",
        steps: &[
            ("a issue", "1"),
            ("a present 1 w1", "start"),
            ("a finish 1 notrun", "not-run no_target to w1"),
            ("a write 1", "withhold"),
            ("a finish 1 notrun", "none"),
            ("a present 1 w2", "not-run no_target"),
        ],
    },
    TicketCase {
        failure: "a call is sent again after an error without an answer",
        steps: &[
            ("a issue", "1"),
            ("a present 1 w1", "start"),
            ("a write 1", "write 1"),
            ("a finish 1 unknown", "unknown target_failed to w1"),
            ("a write 1", "withhold"),
            ("a present 1 w2", "unknown target_failed"),
        ],
    },
    TicketCase {
        failure: "a refused connection ends the call although nothing was written",
        steps: &[
            ("a issue", "1"),
            ("a present 1 w1", "start"),
            ("a write 1", "write 1"),
            ("a didnotrun 1 1", "ok"),
            ("a write 1", "write 2"),
            ("a finish 1 done", "done to w1"),
        ],
    },
    TicketCase {
        failure: "a late note on the first attempt clears the second, open one",
        steps: &[
            ("a issue", "1"),
            ("a present 1 w1", "start"),
            ("a write 1", "write 1"),
            ("a didnotrun 1 1", "ok"),
            ("a write 1", "write 2"),
            ("a didnotrun 1 1", "ok"),
            ("a write 1", "withhold"),
        ],
    },
    TicketCase {
        failure: "a call whose ticket expires in the queue is dispatched",
        steps: &[
            ("a issue", "1"),
            ("wait 599", ""),
            ("a present 1 w1", "start"),
            ("wait 1", ""),
            ("a write 1", "withhold not-run ticket_expired to w1"),
            ("a write 1", "withhold"),
            ("a present 1 w2", "not-run ticket_expired"),
        ],
    },
    TicketCase {
        failure: "a call is dispatched after its deadline, or sealed while a repeat still waits",
        steps: &[
            ("a issue", "1"),
            ("a present 1 w1 for=5", "start"),
            ("a present 1 w2 for=20", "join"),
            ("wait 6", ""),
            ("a write 1", "write 1"),
            ("a didnotrun 1 1", "ok"),
            ("wait 15", ""),
            ("a write 1", "withhold not-run deadline_exceeded to w1 w2"),
            ("a present 1 w3", "not-run deadline_exceeded"),
        ],
    },
    TicketCase {
        failure: "a request that arrives after its deadline leaves its ticket usable",
        steps: &[
            ("a issue", "1"),
            ("a present 1 w1 for=0", "not-run deadline_exceeded"),
            ("a present 1 w2", "not-run deadline_exceeded"),
            ("a write 1", "withhold"),
        ],
    },
    TicketCase {
        failure: "an expired ticket runs, or is called not run after its record may have been dropped",
        steps: &[
            ("a issue", "1"),
            ("wait 600", ""),
            ("a present 1 w1", "not-run ticket_expired"),
            ("wait 599", ""),
            ("a present 1 w1", "not-run ticket_expired"),
            ("wait 1", ""),
            ("a present 1 w1", "unknown ticket_expired"),
        ],
    },
    TicketCase {
        failure: "a record is dropped while its call runs, or too soon after a late answer",
        steps: &[
            ("a issue", "1"),
            ("wait 590", ""),
            ("a present 1 w1 for=600", "start"),
            ("a write 1", "write 1"),
            ("wait 610", ""),
            ("a purge", "1 records"),
            ("a present 1 w2", "join"),
            ("a finish 1 done", "done to w1 w2"),
            ("wait 299", ""),
            ("a purge", "1 records"),
            ("a present 1 w3", "done"),
            ("wait 1", ""),
            ("a purge", "0 records"),
            ("a present 1 w4", "unknown ticket_expired"),
        ],
    },
    TicketCase {
        failure: "a full table drops a record, or lets a ticket run that it has called sealed",
        steps: &[
            ("a issue", "1"),
            ("a issue", "2"),
            ("a issue", "3"),
            ("a issue", "4"),
            ("a present 1 w1", "start"),
            ("a present 2 w2", "start"),
            ("a write 2", "write 1"),
            ("a finish 2 done", "done to w2"),
            ("a present 3 w3", "not-run ticket_sealed"),
            ("a present 2 w4", "done"),
            ("a write 1", "write 1"),
            ("wait 599", ""),
            ("a finish 1 done", "done to w1"),
            ("a issue", "5"),
            ("a present 5 w5", "not-run ticket_sealed"),
            ("wait 600", ""),
            ("a purge", "2 records"),
            ("wait 1", ""),
            ("a issue", "6"),
            ("a present 6 w6", "start"),
            ("a present 4 w7", "unknown ticket_expired"),
            ("a present 5 w8", "not-run ticket_expired"),
        ],
    },
    TicketCase {
        failure: "a call whose caller left the queue runs, or stops a call for which others wait",
        steps: &[
            ("a issue", "1"),
            ("a present 1 w1", "start"),
            ("a present 1 w2", "join"),
            ("a abandon 1 w1", "goes on"),
            ("a abandon 1 w2", "sealed"),
            ("a write 1", "withhold"),
            ("a present 1 w3", "not-run ticket_sealed"),
            ("a issue", "2"),
            ("a present 2 w4", "start"),
            ("a write 2", "write 1"),
            ("a abandon 2 w4", "goes on"),
            ("a finish 2 done", "done to"),
            ("a present 2 w5", "done"),
        ],
    },
    TicketCase {
        failure: "a large answer fills the memory, or a repeat of it is run again",
        steps: &[
            ("a issue", "1"),
            ("a present 1 w1", "start"),
            ("a write 1", "write 1"),
            ("a finish 1 big", "done to w1"),
            ("a present 1 w2", "unknown answer_not_kept"),
            ("a write 1", "withhold"),
        ],
    },
    TicketCase {
        failure: "a draining owner starts a call or freezes one that still runs as not run",
        steps: &[
            ("a issue", "1"),
            ("a issue", "2"),
            ("a issue", "3"),
            ("a present 1 w1", "start"),
            ("a present 2 w2", "start"),
            ("a write 1", "write 1"),
            ("a drain", "ok"),
            ("a present 3 w3", "not-run ticket_sealed"),
            ("a freeze", "2 records, not-run shutting_down to w2"),
            ("a write 2", "withhold"),
            ("a present 1 w4", "unknown shutting_down"),
            ("a finish 1 done", "done to w1"),
            ("a present 1 w5", "unknown shutting_down"),
            ("a issue", "4"),
            ("a present 4 w6", "not-run ticket_sealed"),
            ("b adopt a", "ok"),
            ("b present a:1 w7", "unknown shutting_down"),
            ("b present a:2 w8", "not-run shutting_down"),
            ("b present a:3 w9", "not-run ticket_sealed"),
        ],
    },
    TicketCase {
        failure: "a repeated handover changes answers, or a lost one gives not run",
        steps: &[
            ("a issue", "1"),
            ("a issue", "2"),
            ("a present 1 w1", "start"),
            ("a write 1", "write 1"),
            ("a finish 1 done", "done to w1"),
            ("a freeze", "1 records"),
            ("b present a:1 w2", "forward a"),
            ("b present a:1 w2 forwarded", "unknown owner_unreachable"),
            ("b adopt a", "ok"),
            ("a freeze", "1 records"),
            ("b adopt a", "ok"),
            ("b present a:1 w3", "done"),
            ("b present a:1 w3 call=y", "mismatch"),
            ("b present a:2 w4", "not-run ticket_sealed"),
        ],
    },
    TicketCase {
        failure: "a successor calls a ticket not run whose record its owner had dropped",
        steps: &[
            ("a issue", "1"),
            ("a present 1 w1", "start"),
            ("a write 1", "write 1"),
            ("a finish 1 done", "done to w1"),
            ("wait 1000", ""),
            ("a issue", "2"),
            ("wait 200", ""),
            ("a freeze", "0 records"),
            ("b adopt a", "ok"),
            ("b present a:1 w2", "unknown ticket_expired"),
            ("b present a:2 w3", "not-run ticket_sealed"),
            ("wait 1200", ""),
            ("b purge", "0 records"),
            ("b present a:2 w4", "forward a"),
        ],
    },
    TicketCase {
        failure: "records are lost when the successor shuts down too",
        steps: &[
            ("a issue", "1"),
            ("a issue", "2"),
            ("a present 1 w1", "start"),
            ("a write 1", "write 1"),
            ("a finish 1 done", "done to w1"),
            ("a freeze", "1 records"),
            ("b drain", "ok"),
            ("b adopt a", "ok"),
            ("b issue", "1"),
            ("b freeze", "0 records"),
            ("c adopt b", "ok"),
            ("c present a:1 w2", "forward a"),
            ("c adoptforwarded b", "ok"),
            ("c present a:1 w3", "done"),
            ("c present a:2 w4", "not-run ticket_sealed"),
            ("c present b:1 w5", "not-run ticket_sealed"),
            ("c freeze", "0 records"),
            ("d adoptforwarded c", "ok"),
            ("d present a:1 w6", "done"),
        ],
    },
    TicketCase {
        failure: "a frozen process takes records that it can't pass on",
        steps: &[
            ("a issue", "1"),
            ("a freeze", "0 records"),
            ("b freeze", "0 records"),
            ("b adopt a", "refused: this process is ending too"),
            ("b adopt b", "refused: the records belong to this process"),
        ],
    },
    TicketCase {
        failure: "a successor takes a part of the records and calls the rest not run",
        steps: &[
            ("a issue", "1"),
            ("a present 1 w1", "start"),
            ("a finish 1 notrun", "not-run no_target to w1"),
            ("a freeze", "1 records"),
            ("b issue", "1"),
            ("b issue", "2"),
            ("b present b:1 w2", "start"),
            ("b present b:2 w3", "start"),
            ("b adopt a", "refused: the record table has no room for all records"),
            ("b present a:1 w4", "forward a"),
        ],
    },
    TicketCase {
        failure: "a new process under the name of the owner runs the owner's ticket or forwards to itself",
        steps: &[
            ("a issue", "1"),
            ("a restart", "ok"),
            ("a issue", "1"),
            ("a present a0:1 w1", "unknown owner_unreachable"),
            ("a present 1 w2", "start"),
            ("b present a0:1 w3", "forward a"),
        ],
    },
    TicketCase {
        failure: "the records of two processes of one VM are mixed up",
        steps: &[
            ("a issue", "1"),
            ("a present 1 w1", "start"),
            ("a write 1", "write 1"),
            ("a finish 1 done", "done to w1"),
            ("a freeze", "1 records"),
            ("b adopt a", "ok"),
            ("a restart", "ok"),
            ("a issue", "1"),
            ("a freeze", "0 records"),
            ("b adopt a", "ok"),
            ("b present a0:1 w2", "done"),
            ("b present a:1 w3", "not-run ticket_sealed"),
        ],
    },
];

const LIMITS: TicketLimits = TicketLimits { records: 2, answer_bytes: 1000, waiters: 8 };

struct TicketWorld {
    boot: Duration,
    tables: IndexMap<String, TicketTable>,
    tickets: IndexMap<String, Ticket>,
    messages: IndexMap<String, HandoverMessage>,
    restarts: u64,
}

impl TicketWorld {
    fn new() -> TicketWorld {
        let mut world = TicketWorld {
            boot: Duration::from_secs(10_000),
            tables: IndexMap::new(),
            tickets: IndexMap::new(),
            messages: IndexMap::new(),
            restarts: 0,
        };
        for vm in ["a", "b", "c", "d"] {
            world.start(vm, 1);
        }
        world
    }

    fn start(&mut self, vm: &str, incarnation: Incarnation) {
        let identity = PeerIdentity { vm: vm.into(), incarnation };
        self.tables.insert(vm.to_owned(), TicketTable::new(identity, format!("at-{vm}"), LIMITS));
    }

    fn run(&mut self, step: &str) -> String {
        let words: Vec<&str> = step.split(' ').collect();
        if words[0] == "wait" {
            self.boot += Duration::from_secs(words[1].parse().expect("seconds"));
            return String::new();
        }
        let (vm, boot) = (words[0], self.boot);
        match words[1] {
            "issue" => self.issue(vm),
            "present" => self.present(vm, &words[2..]),
            "restart" => self.restart(vm),
            "adopt" => self.adopt(vm, words[2]),
            "adoptforwarded" => self.adopt_forwarded(vm, words[2]),
            "freeze" => self.freeze(vm),
            action => run_table_action(&mut self.tables[vm], action, &words[2..], boot),
        }
    }

    fn issue(&mut self, vm: &str) -> String {
        let ticket = self.tables[vm].issue(self.boot);
        let name = ticket.sequence.to_string();
        self.tickets.insert(format!("{vm}:{name}"), ticket);
        name
    }

    fn restart(&mut self, vm: &str) -> String {
        for (name, ticket) in std::mem::take(&mut self.tickets) {
            let name = match name.strip_prefix(&format!("{vm}:")) {
                Some(number) => format!("{vm}{}:{number}", self.restarts),
                None => name,
            };
            self.tickets.insert(name, ticket);
        }
        self.restarts += 1;
        self.start(vm, 1 + self.restarts);
        "ok".to_owned()
    }

    fn present(&mut self, vm: &str, words: &[&str]) -> String {
        let name =
            if words[0].contains(':') { words[0].to_owned() } else { format!("{vm}:{}", words[0]) };
        let option = |key: &str| words.iter().find_map(|word| word.strip_prefix(key));
        let wait = option("for=").map_or(500, |seconds| seconds.parse().expect("seconds"));
        let call = PlainCall {
            method: "POST".to_owned(),
            path: option("call=").unwrap_or("x").to_owned(),
            headers: Vec::new(),
            body: Vec::new().into(),
        };
        let ticket_use = TicketUse {
            ticket: &self.tickets[&name],
            binding: CallBinding::of("workspace", "service", &call),
            deadline: self.boot + Duration::from_secs(wait),
            waiter: parse_waiter(words[1]),
            answer_limit: 100,
            forwarded: words.contains(&"forwarded"),
            successor: None,
        };
        match self.tables[vm].present(self.boot, &ticket_use) {
            TicketDecision::Forward(peer) => format!("forward {}", peer.vm),
            TicketDecision::Start(_) => "start".to_owned(),
            TicketDecision::Join(_) => "join".to_owned(),
            TicketDecision::Answer(answer) => describe(&answer),
            TicketDecision::Mismatch => "mismatch".to_owned(),
        }
    }

    fn freeze(&mut self, vm: &str) -> String {
        let table = &mut self.tables[vm];
        let message = table.freeze(self.boot);
        let mut text = format!("{} records", message.records.len());
        for end in table.take_ended() {
            text += &format!(", {}", describe_end(&end));
        }
        self.messages.insert(vm.to_owned(), message);
        text
    }

    fn adopt(&mut self, vm: &str, from: &str) -> String {
        adopt_result(self.tables[vm].adopt(&self.messages[from], self.boot))
    }

    fn adopt_forwarded(&mut self, vm: &str, from: &str) -> String {
        let messages = self.tables[from].adopted_messages(self.boot);
        let adopted = messages.iter().map(|message| self.tables[vm].adopt(message, self.boot));
        adopt_result(adopted.collect())
    }
}

fn run_table_action(
    table: &mut TicketTable,
    action: &str,
    words: &[&str],
    boot: Duration,
) -> String {
    let sequence = words.first().map_or(0, |word| word.parse().expect("ticket"));
    match action {
        "write" => match table.may_write(sequence, boot) {
            WriteDecision::Write(attempt) => format!("write {attempt}"),
            WriteDecision::Withhold(None) => "withhold".to_owned(),
            WriteDecision::Withhold(Some(end)) => format!("withhold {}", describe_end(&end)),
        },
        "didnotrun" => {
            table.attempt_not_run(sequence, words[1].parse().expect("attempt"));
            "ok".to_owned()
        }
        "finish" => table
            .finish(sequence, answer_named(words[1]), boot)
            .map_or("none".to_owned(), |end| describe_end(&end)),
        "abandon" => match table.abandon(sequence, parse_waiter(words[1]), boot) {
            AbandonDecision::Sealed => "sealed".to_owned(),
            AbandonDecision::Continues => "goes on".to_owned(),
            AbandonDecision::NotRunning => "not running".to_owned(),
        },
        "drain" => {
            table.start_drain();
            "ok".to_owned()
        }
        "purge" => {
            table.purge(boot);
            format!("{} records", table.dump().records)
        }
        other => panic!("unknown action {other}"),
    }
}

fn answer_named(name: &str) -> TicketAnswer {
    let done = |bytes| {
        let body = vec![b'x'; bytes];
        TicketAnswer::Done(PlainAnswer { status: 200, headers: Vec::new(), body: body.into() })
    };
    match name {
        "done" => done(2),
        "big" => done(101),
        "notrun" => TicketAnswer::Refused(Refusal::not_run(RefusalCode::NoTarget, "")),
        "unknown" => TicketAnswer::Refused(Refusal::unknown(RefusalCode::TargetFailed, "")),
        other => panic!("unknown answer {other}"),
    }
}

fn parse_waiter(waiter: &str) -> RequestId {
    waiter[1..].parse().expect("waiter")
}

fn adopt_result(result: Result<(), AdoptFault>) -> String {
    result.map_or_else(|fault| format!("refused: {fault}"), |()| "ok".to_owned())
}

fn describe(answer: &TicketAnswer) -> String {
    match answer {
        TicketAnswer::Done(_) => "done".to_owned(),
        TicketAnswer::Refused(refusal) => {
            let code = serde_json::to_value(refusal.code).expect("a name");
            format!("{} {}", refusal.outcome, code.as_str().expect("a name"))
        }
    }
}

fn describe_end(end: &TicketEnd) -> String {
    let waiters: String = end.waiters.iter().map(|waiter| format!(" w{waiter}")).collect();
    format!("{} to{waiters}", describe(&end.answer))
}

#[test]
fn interleavings_are_answered_as_expected() {
    for case in CASES {
        let mut world = TicketWorld::new();
        for (index, (step, expected)) in case.steps.iter().enumerate() {
            let seen = world.run(step);
            assert_eq!(seen, *expected, "{}: step {index}: {step}", case.failure);
        }
    }
}

/// Guards against a ticket that is accepted with an unknown key or a changed text, and against one that
/// is refused during a key rotation.
#[test]
fn ticket_text_is_verified_under_either_key() {
    let owner = PeerIdentity { vm: "a".into(), incarnation: 7 };
    let peer_address = "127.0.0.1:1".to_owned();
    let ticket = Ticket { owner, peer_address, sequence: 3, issued_ms: 5 };
    let text = ticket.to_text(&PeerKeys::new("old", None));
    let rotated = PeerKeys::new("new", Some(b"old".to_vec()));
    assert_eq!(Ticket::from_text(&text, &rotated), Ok(ticket));
    let foreign = PeerKeys::new("new", None);
    assert_eq!(Ticket::from_text(&text, &foreign), Err(TicketFault::WrongSignature));
    for index in 0..text.len() {
        let mut changed = text.clone().into_bytes();
        changed[index] = if changed[index] == b'A' { b'B' } else { b'A' };
        let changed = String::from_utf8(changed).expect("base64url is ASCII");
        assert!(Ticket::from_text(&changed, &rotated).is_err(), "byte {index}");
    }
}

//! Random sequences of ticket operations on three processes, compared with a model that only counts
//! writes.
//!
//! Guards against any interleaving in which a call is written twice, "not run" is false, or a waiter gets
//! no answer or two.

use std::time::Duration;

use indexmap::IndexMap;
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner},
};
use tarragon_cluster::{prelude::*, ticket::*};
use tarragon_protocol::peer::{PlainAnswer, PlainCall};

const VMS: [&str; 3] = ["a", "b", "c"];
const SEEDS: [u8; 6] = [1, 2, 3, 5, 8, 13];
const CASES_PER_SEED: u32 = 300;
const LIMITS: TicketLimits = TicketLimits { records: 6, answer_bytes: 600, waiters: 3 };

#[derive(Debug, Clone)]
enum Step {
    Issue(usize),
    Present { vm: usize, ticket: usize, call: u8, wait: u64, forwarded: bool },
    Write(usize),
    DidNotRun { ticket: usize, attempt: u32 },
    Finish { ticket: usize, bytes: usize, lost: bool },
    Abandon { ticket: usize, waiter: usize },
    Drain(usize),
    Freeze(usize),
    Adopt { from: usize, to: usize },
    AdoptForwarded { from: usize, to: usize },
    Purge(usize),
    Restart(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let vm = 0..VMS.len();
    let ticket = 0..8usize;
    prop_oneof![
        4 => vm.clone().prop_map(Step::Issue),
        12 => (vm.clone(), ticket.clone(), 0..10u8, 0..700u64, any::<bool>()).prop_map(
            |(vm, ticket, call, wait, forwarded)| {
                let call = u8::from(call == 0);
                Step::Present { vm, ticket, call, wait, forwarded }
            }
        ),
        8 => ticket.clone().prop_map(Step::Write),
        3 => (ticket.clone(), 1..4u32)
            .prop_map(|(ticket, attempt)| Step::DidNotRun { ticket, attempt }),
        5 => (ticket.clone(), 0..60usize, any::<bool>())
            .prop_map(|(ticket, bytes, lost)| Step::Finish { ticket, bytes, lost }),
        2 => (ticket, 0..4usize).prop_map(|(ticket, waiter)| Step::Abandon { ticket, waiter }),
        1 => vm.clone().prop_map(Step::Drain),
        1 => vm.clone().prop_map(Step::Freeze),
        1 => (vm.clone(), vm.clone()).prop_map(|(from, to)| Step::Adopt { from, to }),
        1 => (vm.clone(), vm.clone()).prop_map(|(from, to)| Step::AdoptForwarded { from, to }),
        1 => vm.clone().prop_map(Step::Purge),
        1 => vm.prop_map(Step::Restart),
        3 => (0..400u64).prop_map(Step::Wait),
    ]
}

/// The model's state of one ticket.
struct ModelTicket {
    ticket: Ticket,
    owner: usize,
    /// Whether the process that issued the ticket still runs.
    owner_lives: bool,
    last_attempt: u32,
    /// Whether the last attempt may have run.
    written: bool,
    said_not_run: bool,
    waiting: Vec<RequestId>,
}

struct World {
    boot: Duration,
    tables: Vec<TicketTable>,
    tickets: Vec<ModelTicket>,
    messages: IndexMap<usize, HandoverMessage>,
    next_waiter: RequestId,
    starts: u64,
}

type Checked = Result<(), TestCaseError>;

impl World {
    fn new() -> World {
        World {
            boot: Duration::from_secs(5_000),
            tables: (0..VMS.len()).map(|vm| new_table(vm, 1)).collect(),
            tickets: Vec::new(),
            messages: IndexMap::new(),
            next_waiter: 0,
            starts: 1,
        }
    }

    fn run(&mut self, step: &Step) -> Checked {
        let boot = self.boot;
        match step {
            Step::Issue(vm) => self.issue(*vm),
            Step::Present { vm, ticket, call, wait, forwarded } => {
                return self.present(*vm, *ticket, *call, *wait, *forwarded);
            }
            Step::Write(ticket) => return self.write(*ticket),
            Step::DidNotRun { ticket, attempt } => self.did_not_run(*ticket, *attempt),
            Step::Finish { ticket, bytes, lost } => return self.finish(*ticket, *bytes, *lost),
            Step::Abandon { ticket, waiter } => return self.abandon(*ticket, *waiter),
            Step::Drain(vm) => self.tables[*vm].start_drain(),
            Step::Freeze(vm) => return self.freeze(*vm),
            Step::Adopt { from, to } => {
                if let Some(message) = self.messages.get(from) {
                    let _ = self.tables[*to].adopt(message, boot);
                }
            }
            Step::AdoptForwarded { from, to } => {
                for message in self.tables[*from].adopted_messages(boot) {
                    let _ = self.tables[*to].adopt(&message, boot);
                }
            }
            Step::Purge(vm) => self.tables[*vm].purge(boot),
            Step::Restart(vm) => self.restart(*vm),
            Step::Wait(seconds) => self.boot += Duration::from_secs(*seconds),
        }
        Ok(())
    }

    fn issue(&mut self, vm: usize) {
        let ticket = self.tables[vm].issue(self.boot);
        self.tickets.push(ModelTicket {
            ticket,
            owner: vm,
            owner_lives: true,
            last_attempt: 0,
            written: false,
            said_not_run: false,
            waiting: Vec::new(),
        });
    }

    /// One of the last eight tickets.
    fn pick(&self, ticket: usize) -> Option<usize> {
        self.tickets.len().checked_sub(1 + ticket)
    }

    fn present(
        &mut self,
        vm: usize,
        ticket: usize,
        call: u8,
        wait: u64,
        forwarded: bool,
    ) -> Checked {
        let Some(index) = self.pick(ticket) else { return Ok(()) };
        self.next_waiter += 1;
        let waiter = self.next_waiter;
        let call = PlainCall {
            method: "POST".to_owned(),
            path: call.to_string(),
            headers: Vec::new(),
            body: Vec::new().into(),
        };
        let ticket_use = TicketUse {
            ticket: &self.tickets[index].ticket,
            binding: CallBinding::of("workspace", "service", &call),
            deadline: self.boot + Duration::from_secs(wait),
            waiter,
            answer_limit: 50,
            forwarded,
            successor: None,
        };
        match self.tables[vm].present(self.boot, &ticket_use) {
            TicketDecision::Start(_) | TicketDecision::Join(_) => {
                let model = &mut self.tickets[index];
                prop_assert!(model.owner == vm && model.owner_lives, "not the owner's process");
                model.waiting.push(waiter);
            }
            TicketDecision::Answer(answer) => self.check_answer(index, &answer)?,
            TicketDecision::Forward(_) => prop_assert!(!forwarded, "forwarded twice"),
            TicketDecision::Mismatch => {}
        }
        Ok(())
    }

    fn write(&mut self, ticket: usize) -> Checked {
        let Some(index) = self.pick(ticket) else { return Ok(()) };
        let model = &mut self.tickets[index];
        if !model.owner_lives {
            return Ok(());
        }
        let table = &mut self.tables[model.owner];
        match table.may_write(model.ticket.sequence, self.boot) {
            WriteDecision::Write(attempt) => {
                prop_assert!(!model.written, "written twice");
                prop_assert!(!model.said_not_run, "written after not run");
                prop_assert!(!table.is_frozen(), "written by a frozen process");
                prop_assert!(model.ticket.age(self.boot) < TICKET_VALIDITY, "expired");
                model.written = true;
                model.last_attempt = attempt;
                Ok(())
            }
            WriteDecision::Withhold(Some(end)) => self.check_end(index, &end),
            WriteDecision::Withhold(None) => Ok(()),
        }
    }

    fn did_not_run(&mut self, ticket: usize, attempt: u32) {
        let Some(index) = self.pick(ticket) else { return };
        let model = &mut self.tickets[index];
        if model.owner_lives && attempt <= model.last_attempt {
            self.tables[model.owner].attempt_not_run(model.ticket.sequence, attempt);
            model.written &= attempt != model.last_attempt;
        }
    }

    fn finish(&mut self, ticket: usize, bytes: usize, lost: bool) -> Checked {
        let Some(index) = self.pick(ticket) else { return Ok(()) };
        let model = &self.tickets[index];
        if !model.owner_lives {
            return Ok(());
        }
        let answer = match (model.written, lost) {
            (false, _) => TicketAnswer::Refused(Refusal::not_run(RefusalCode::NoTarget, "")),
            (true, true) => TicketAnswer::Refused(Refusal::unknown(RefusalCode::TargetFailed, "")),
            (true, false) => {
                let body = vec![0; bytes];
                TicketAnswer::Done(PlainAnswer {
                    status: 200,
                    headers: Vec::new(),
                    body: body.into(),
                })
            }
        };
        let sequence = model.ticket.sequence;
        match self.tables[model.owner].finish(sequence, answer, self.boot) {
            Some(end) => self.check_end(index, &end),
            None => Ok(()),
        }
    }

    fn abandon(&mut self, ticket: usize, waiter: usize) -> Checked {
        let Some(index) = self.pick(ticket) else { return Ok(()) };
        let model = &mut self.tickets[index];
        if !model.owner_lives || waiter >= model.waiting.len() {
            return Ok(());
        }
        let waiter = model.waiting.remove(waiter);
        let table = &mut self.tables[model.owner];
        if table.abandon(model.ticket.sequence, waiter, self.boot) == AbandonDecision::Sealed {
            prop_assert!(!model.written, "sealed although written");
            prop_assert!(model.waiting.is_empty(), "sealed although others wait");
            model.said_not_run = true;
        }
        Ok(())
    }

    fn freeze(&mut self, vm: usize) -> Checked {
        let message = self.tables[vm].freeze(self.boot);
        self.messages.insert(vm, message);
        for end in self.tables[vm].take_ended() {
            let index = self.tickets.iter().position(|model| {
                model.owner == vm && model.owner_lives && model.ticket.sequence == end.sequence
            });
            self.check_end(index.expect("the ticket was issued"), &end)?;
        }
        Ok(())
    }

    fn restart(&mut self, vm: usize) {
        self.starts += 1;
        self.tables[vm] = new_table(vm, self.starts);
        for model in self.tickets.iter_mut().filter(|model| model.owner == vm) {
            model.owner_lives = false;
            model.waiting.clear();
        }
    }

    fn check_end(&mut self, index: usize, end: &TicketEnd) -> Checked {
        self.check_answer(index, &end.answer)?;
        let waiting = std::mem::take(&mut self.tickets[index].waiting);
        prop_assert_eq!(waiting, end.waiters.clone(), "waiters lost or answered twice");
        Ok(())
    }

    fn check_answer(&mut self, index: usize, answer: &TicketAnswer) -> Checked {
        let model = &mut self.tickets[index];
        match answer {
            TicketAnswer::Done(_) => prop_assert!(model.written, "done without a write"),
            TicketAnswer::Refused(refusal) if refusal.outcome == CallOutcome::NotRun => {
                prop_assert!(!model.written, "not run is false");
                model.said_not_run = true;
            }
            TicketAnswer::Refused(_) => {}
        }
        Ok(())
    }

    /// Ends all calls and checks that each waiter has got its answer.
    fn finish_all(&mut self) -> Checked {
        for ticket in 0..self.tickets.len() {
            self.finish(ticket, 1, false)?;
        }
        let waiting = self.tickets.iter().map(|model| model.waiting.len()).sum::<usize>();
        prop_assert_eq!(waiting, 0, "waiters without an answer");
        Ok(())
    }
}

fn new_table(vm: usize, incarnation: Incarnation) -> TicketTable {
    let identity = PeerIdentity { vm: VMS[vm].into(), incarnation };
    TicketTable::new(identity, format!("at-{}", VMS[vm]), LIMITS)
}

#[test]
fn random_sequences_never_run_a_call_twice() {
    let steps = proptest::collection::vec(step(), 1..250);
    for seed in SEEDS {
        let config =
            Config { cases: CASES_PER_SEED, failure_persistence: None, ..Config::default() };
        let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
        let mut runner = TestRunner::new_with_rng(config, random);
        let result = runner.run(&steps, |steps| {
            let mut world = World::new();
            for step in &steps {
                world.run(step)?;
            }
            world.finish_all()
        });
        if let Err(error) = result {
            panic!("seed {seed}: {error}");
        }
    }
}

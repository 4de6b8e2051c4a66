//! Non-idempotent calls at a whole node: at most one dispatch, and "not run" is never reported for a call that
//! may have run.

use std::time::{Duration, Instant};

use tarragon_cluster::{cluster::ClusterSettings, key::PeerKeys, ticket::Ticket};
use tarragon_node::prelude::*;
use tarragon_protocol::{
    peer::{PlainAnswer, PlainCall},
    platform::{PublishedTarget, TargetList},
};

const SERVICE: &str = "dispatch-app";

struct NodeHarness {
    node: Node,
    now: Instant,
    boot: Duration,
    next_request: RequestId,
}

fn settings(vm: &str, incarnation: Incarnation) -> NodeSettings {
    let identity = PeerIdentity { vm: vm.into(), incarnation };
    let address = "127.0.0.1:7001".to_owned();
    let mut cluster =
        ClusterSettings::new(identity, "oshakati".into(), "127.0.0.1:7000".to_owned(), address);
    cluster.settling = Duration::ZERO;
    let target = PublishedTarget {
        target: "dispatch-1".into(),
        service: SERVICE.into(),
        address: "127.0.0.1:9001".to_owned(),
        hardware: None,
        checks_fencing: false,
    };
    cluster.static_targets =
        vec![TargetList { data_centre: "oshakati".into(), targets: vec![target] }];
    let peer_keys = PeerKeys::new("a secret of sixteen", None);
    NodeSettings { cluster, limits: SchedulerLimits::default(), peer_keys }
}

fn warm_report() -> LoadReport {
    LoadReport {
        restart_id: 1,
        state: TargetState::Warm,
        capacity: 4,
        running: 0,
        waiting: 0,
        free_cache_tokens: 0,
        models: Vec::new(),
        fencing: 0,
        last_order_age_ms: None,
        lag_ms: 0,
    }
}

impl NodeHarness {
    fn new() -> NodeHarness {
        NodeHarness::with_identity("vm-1", 7)
    }

    fn with_identity(vm: &str, incarnation: Incarnation) -> NodeHarness {
        let now = tokio::time::Instant::now().into_std();
        let boot = Duration::from_secs(1000);
        let mut harness = NodeHarness {
            node: Node::new(settings(vm, incarnation), 1, now),
            now,
            boot,
            next_request: 0,
        };
        harness.advance(Duration::from_millis(100));
        for _ in 0..3 {
            harness.poll_target();
            harness.advance(Duration::from_secs(1));
        }
        harness
    }

    fn poll_target(&mut self) {
        let event = ClusterEvent::TargetPolled("dispatch-1".into(), Some(warm_report()));
        self.node.handle(self.now, NodeEvent::Cluster(event), &mut Vec::new());
    }

    fn advance(&mut self, step: Duration) -> Vec<NodeAction> {
        self.now += step;
        self.boot += step;
        let mut actions = Vec::new();
        self.node.handle(self.now, NodeEvent::Tick { boot: self.boot }, &mut actions);
        actions
    }

    fn present(
        &mut self,
        ticket: &Ticket,
        body: &str,
    ) -> (RequestId, TicketStart, Vec<NodeAction>) {
        self.next_request += 1;
        let request = self.next_request;
        let call = PlainCall {
            method: "POST".to_owned(),
            path: "/dispatch".to_owned(),
            headers: Vec::new(),
            body: body.as_bytes().to_vec().into(),
        };
        let profile = RequestProfile {
            parts: Vec::new(),
            request,
            workspace: "depot".into(),
            service: SERVICE.into(),
            tier: Tier::Urgent,
            deadline: self.now + Duration::from_secs(30),
            idempotent: false,
            fingerprint: 1,
            kind: CallKind::Plain,
            options: CallOptions::default(),
        };
        let call = TicketCall {
            binding: call_binding("depot", SERVICE, &call),
            profile,
            answer_limit: 1024,
            forwarded: false,
        };
        let mut actions = Vec::new();
        let start = self.node.present_ticket(self.now, self.boot, ticket, call, &mut actions);
        (request, start, actions)
    }

    fn issue_ticket(&mut self) -> Ticket {
        let text = self.node.issue_ticket(self.boot).expect("not draining");
        self.node.read_ticket(&text).expect("a ticket that this process issued")
    }

    fn check_write(&mut self, request: RequestId) -> WriteCheck {
        let target: TargetName = "dispatch-1".into();
        self.node.check_write(request, &target, self.boot, &mut Vec::new())
    }
}

fn answer(body: &str) -> TicketAnswer {
    TicketAnswer::Done(PlainAnswer {
        status: 200,
        headers: Vec::new(),
        body: body.as_bytes().to_vec().into(),
    })
}

fn is_dispatch(action: &NodeAction) -> bool {
    matches!(action, NodeAction::Scheduler(SchedulerAction::Dispatch { .. }))
}

/// Guards against a second dispatch when a caller repeats a request whose answer it did not receive.
#[test]
fn repeat_joins_the_running_call_and_later_gets_the_stored_answer() {
    let mut harness = NodeHarness::new();
    let ticket = harness.issue_ticket();
    let (request, start, actions) = harness.present(&ticket, "truck 1");
    assert_eq!(start, TicketStart::Started(ticket.sequence));
    assert_eq!(actions.iter().filter(|action| is_dispatch(action)).count(), 1);
    assert_eq!(harness.check_write(request), WriteCheck::Write);
    let (_, start, actions) = harness.present(&ticket, "truck 1");
    assert_eq!(start, TicketStart::Joined(ticket.sequence));
    assert!(!actions.iter().any(is_dispatch));
    let mut actions = Vec::new();
    harness.node.finish_ticket(request, answer("sent"), harness.boot, &mut actions);
    let sequence = ticket.sequence;
    assert_eq!(actions, [NodeAction::TicketResolved { sequence, answer: answer("sent") }]);
    let (_, start, _) = harness.present(&ticket, "truck 1");
    assert_eq!(start, TicketStart::Answered(answer("sent")));
}

/// Guards against returning the answer of another call when a ticket is used for two calls.
#[test]
fn another_body_with_the_same_ticket_is_refused() {
    let mut harness = NodeHarness::new();
    let ticket = harness.issue_ticket();
    harness.present(&ticket, "truck 1");
    let (_, start, _) = harness.present(&ticket, "truck 2");
    assert_eq!(start, TicketStart::Mismatch);
}

/// Guards against a second write of one attempt, and against a write after the attempt's connection broke.
#[test]
fn call_with_a_broken_connection_is_unknown_and_never_written_again() {
    let mut harness = NodeHarness::new();
    let ticket = harness.issue_ticket();
    let (request, _, _) = harness.present(&ticket, "truck 1");
    assert_eq!(harness.check_write(request), WriteCheck::Write);
    assert_eq!(harness.check_write(request), WriteCheck::Withhold);
    let mut actions = Vec::new();
    let end = SchedulerEvent::AttemptEnded(request, 1, AttemptEnd::Broken);
    harness.node.handle(harness.now, NodeEvent::Scheduler(end), &mut actions);
    let resolved = actions.iter().find_map(|action| match action {
        NodeAction::TicketResolved { answer: TicketAnswer::Refused(refusal), .. } => Some(refusal),
        _ => None,
    });
    assert_eq!(resolved.map(|refusal| refusal.outcome), Some(CallOutcome::Unknown));
    assert!(!actions.iter().any(is_dispatch));
    let (_, start, actions) = harness.present(&ticket, "truck 1");
    assert!(matches!(start, TicketStart::Answered(TicketAnswer::Refused(_))));
    assert!(actions.is_empty());
}

/// Guards against a call that stays open for ever if the deadline passes between the ticket's permission and
/// the write, so that nothing is written.
#[test]
fn withheld_write_ends_the_call_as_not_run() {
    let mut harness = NodeHarness::new();
    let ticket = harness.issue_ticket();
    let (request, _, _) = harness.present(&ticket, "truck 1");
    assert_eq!(harness.check_write(request), WriteCheck::Write);
    let mut actions = Vec::new();
    let end = SchedulerEvent::AttemptEnded(request, 1, AttemptEnd::Withheld);
    harness.node.handle(harness.now, NodeEvent::Scheduler(end), &mut actions);
    let outcome = actions.iter().find_map(|action| match action {
        NodeAction::TicketResolved { answer: TicketAnswer::Refused(refusal), .. } => {
            Some(refusal.outcome)
        }
        _ => None,
    });
    assert_eq!(outcome, Some(CallOutcome::NotRun));
    assert_eq!(harness.node.open_tickets(), 0);
}

/// Guards against a late dispatch by a process that was paused while a call waited for its connection.
#[test]
fn paused_process_writes_nothing_before_the_pause_is_detected() {
    let mut harness = NodeHarness::new();
    let ticket = harness.issue_ticket();
    let (request, _, _) = harness.present(&ticket, "truck 1");
    harness.boot += Duration::from_secs(20);
    harness.now += Duration::from_secs(20);
    assert_eq!(harness.check_write(request), WriteCheck::Wait);
    harness.advance(Duration::from_millis(100));
    assert_eq!(harness.check_write(request), WriteCheck::Wait);
    harness.advance(Duration::from_secs(12));
    harness.advance(Duration::from_secs(2));
    assert_ne!(harness.check_write(request), WriteCheck::Write, "the deadline has passed");
}

/// Guards against a dispatch after "not run" was reported: an owner that is shutting down seals unused tickets.
#[test]
fn draining_owner_permanently_refuses_unused_tickets() {
    let mut harness = NodeHarness::new();
    let ticket = harness.issue_ticket();
    harness.node.handle(harness.now, NodeEvent::DrainStarted, &mut Vec::new());
    assert_eq!(harness.node.issue_ticket(harness.boot), None);
    for _ in 0..2 {
        let (_, start, actions) = harness.present(&ticket, "truck 1");
        let TicketStart::Answered(TicketAnswer::Refused(refusal)) = start else {
            panic!("expected a refusal, got {start:?}");
        };
        assert_eq!(refusal.outcome, CallOutcome::NotRun);
        assert!(!actions.iter().any(is_dispatch));
    }
}

/// Guards against repeated calls for which no responsible process is known: the successor itself announces
/// that it holds the records, since the process that shuts down may end before its own announcement arrives.
#[test]
fn successor_announces_the_records_that_it_took_over() {
    let mut leaving = NodeHarness::new();
    let ticket = leaving.issue_ticket();
    let (request, _, _) = leaving.present(&ticket, "truck 1");
    assert_eq!(leaving.check_write(request), WriteCheck::Write);
    let boot = leaving.boot;
    leaving.node.finish_ticket(request, answer("sent"), boot, &mut Vec::new());
    let messages = leaving.node.freeze_tickets(boot, &mut Vec::new());
    let mut successor = NodeHarness::with_identity("vm-2", 8);
    assert!(successor.node.adopt_tickets(&messages[0], successor.boot));
    successor.advance(Duration::from_millis(100));
    let owner = PeerIdentity { vm: "vm-1".into(), incarnation: 7 };
    let known = successor.node.cluster().successor_of(&owner);
    assert_eq!(known.map(|entry| &*entry.successor.vm), Some("vm-2"));
    let (_, start, _) = successor.present(&ticket, "truck 1");
    assert_eq!(start, TicketStart::Answered(answer("sent")));
}

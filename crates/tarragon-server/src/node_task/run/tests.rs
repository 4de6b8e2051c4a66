//! The node's task and the order of its news: an end that is queued goes before what the task concludes by
//! itself.

use tarragon_cluster::{cluster::ClusterSettings, key::PeerKeys, ticket::CallBinding};
use tarragon_protocol::{
    peer::{PlainAnswer, PlainCall},
    platform::{PublishedTarget, TargetList},
};

use super::*;
use crate::{
    clock::RuntimeClock,
    node_task::{
        TicketEntry,
        link::{TicketPresentation, TicketWait},
    },
};

const REQUEST: RequestId = 11;

fn node() -> Node {
    let identity = PeerIdentity { vm: "vm-1".into(), incarnation: 7 };
    let address = || "127.0.0.1:7001".to_owned();
    let mut cluster = ClusterSettings::new(identity, "oshakati".into(), address(), address());
    cluster.settling = Duration::ZERO;
    let target = PublishedTarget {
        target: "dispatch-1".into(),
        service: "dispatch-app".into(),
        address: "127.0.0.1:9001".to_owned(),
        hardware: None,
        checks_fencing: false,
    };
    let targets = vec![target];
    cluster.static_targets = vec![TargetList { data_centre: "oshakati".into(), targets }];
    let peer_keys = PeerKeys::new("a secret of sixteen", None);
    let settings = NodeSettings { cluster, limits: SchedulerLimits::default(), peer_keys };
    Node::new(settings, 1, now())
}

fn task() -> NodeTask {
    let (view, _) = watch::channel(ProcessView::default());
    let clock = ProcessClock::Runtime(RuntimeClock::new());
    let metrics = ServerMetrics::new().expect("names of metrics are unique");
    NodeTask::new(NodeTaskParts { node: node(), clock, view, metrics }).0
}

fn report() -> LoadReport {
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

fn ticket_call() -> TicketCall {
    let call = PlainCall {
        method: "POST".to_owned(),
        path: "/dispatch".to_owned(),
        headers: Vec::new(),
        body: b"truck 1".to_vec().into(),
    };
    TicketCall {
        binding: CallBinding::of("depot", "dispatch-app", &call),
        profile: RequestProfile {
            parts: Vec::new(),
            request: REQUEST,
            workspace: "depot".into(),
            service: "dispatch-app".into(),
            tier: Tier::Urgent,
            deadline: now() + Duration::from_secs(30),
            idempotent: false,
            fingerprint: 1,
            kind: CallKind::Plain,
            options: CallOptions::default(),
        },
        answer_limit: 1024,
        forwarded: false,
    }
}

/// Takes all queued commands and gives resolved tickets to those who wait.
fn drain(task: &mut NodeTask) {
    while let Ok(command) = task.commands.try_recv() {
        task.take(command);
    }
    for action in std::mem::take(&mut task.actions) {
        if let NodeAction::TicketResolved { sequence, answer } = action {
            task.resolve_ticket(now(), sequence, &answer);
        }
    }
}

/// Has a ticket's call dispatched and its write allowed.
async fn written_call(task: &mut NodeTask) -> (TicketWait, mpsc::Receiver<Decision>) {
    for _ in 0..3 {
        task.tick();
        let event = ClusterEvent::TargetPolled("dispatch-1".into(), Some(report()));
        task.take(NodeCommand::Event(NodeEvent::Cluster(event)));
        tokio::time::advance(Duration::from_secs(1)).await;
    }
    let text = task.issue_ticket().expect("not draining").text;
    let (reply, mut entry) = oneshot::channel();
    task.present_ticket(now(), TicketPresentation { text, call: ticket_call() }, reply);
    let Ok(TicketEntry::Run(wait, decisions)) = entry.try_recv() else {
        panic!("the call is not run");
    };
    let dispatched = task
        .actions
        .iter()
        .any(|action| matches!(action, NodeAction::Scheduler(SchedulerAction::Dispatch { .. })));
    assert!(dispatched, "{:?}", task.actions);
    let target: TargetName = "dispatch-1".into();
    let order = DispatchOrder { request: REQUEST, attempt: 1, target, address: String::new() };
    task.tell(REQUEST, Decision::Dispatch(order));
    assert_eq!(task.may_write(now(), REQUEST, 1), WriteCheck::Write);
    (wait, decisions)
}

/// Guards against a false "not run" that the demo showed: a tick saw that the task of a finished call had
/// ended before the queued end of its attempt was taken, and sealed the ticket as not run.
#[tokio::test(start_paused = true)]
async fn queued_end_goes_before_the_end_of_its_task() {
    let mut task = task();
    let (mut wait, decisions) = written_call(&mut task).await;
    let end = SchedulerEvent::AttemptEnded(REQUEST, 1, AttemptEnd::Finished);
    task.link.send(end).await;
    drop(decisions);
    task.tick();
    let answer = TicketAnswer::Done(PlainAnswer {
        status: 200,
        headers: Vec::new(),
        body: b"sent".to_vec().into(),
    });
    task.link.finish_ticket(REQUEST, answer.clone()).await;
    drain(&mut task);
    assert_eq!(wait.answer.try_recv(), Ok(answer));
}

/// Guards against a false "not run" when the task of a written call ends without a word, as in a panic.
#[tokio::test(start_paused = true)]
async fn lost_task_of_a_written_call_leaves_the_outcome_unknown() {
    let mut task = task();
    let (mut wait, decisions) = written_call(&mut task).await;
    drop(decisions);
    task.tick();
    drain(&mut task);
    let Ok(TicketAnswer::Refused(refusal)) = wait.answer.try_recv() else {
        panic!("the wait has no answer");
    };
    assert_eq!(refusal.outcome, CallOutcome::Unknown);
}

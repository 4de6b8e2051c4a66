//! The link by which other tasks reach the node: commands over a bounded channel, with answers where
//! they are needed.

use tarragon_cluster::event::{ClusterEvent, PeerAddress};
use tarragon_node::prelude::*;
use tarragon_protocol::{
    identity::TicketSequence,
    peer::{ConfigurationTransfer, HandoverMessage, TicketAnswer, VmListTransfer},
};
use tarragon_scheduler::event::SchedulerEvent;
use tokio::sync::{mpsc, oneshot};

use super::work::{TicketReport, WorkContext};
use crate::request::Decision;

/// Decisions on one request that may wait for its task.
pub(super) const DECISIONS: usize = 8;

/// A ticket as it is given to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IssuedTicket {
    /// Text for the ticket header.
    pub text: String,
    /// Milliseconds in which it may be used.
    pub valid_ms: u64,
}

/// What to do with a call that came with a ticket.
#[derive(Debug)]
pub enum TicketEntry {
    /// Send it to the process that answers for the ticket.
    Forward(PeerAddress),
    /// Run it: its record has been made.
    Run(TicketWait, mpsc::Receiver<Decision>),
    /// It runs already.
    Wait(TicketWait),
    /// The answer is known.
    Answered(TicketAnswer),
}

/// Waits for a ticket's answer. Dropping it tells the node that its caller has gone.
#[derive(Debug)]
pub struct TicketWait {
    /// Ticket.
    pub sequence: TicketSequence,
    /// Waiting request.
    pub request: RequestId,
    /// The answer.
    pub answer: oneshot::Receiver<TicketAnswer>,
    /// Link to the node.
    pub link: NodeLink,
}

impl Drop for TicketWait {
    fn drop(&mut self) {
        let (sequence, request) = (self.sequence, self.request);
        self.link.send_detached(NodeCommand::AbandonTicket { sequence, request });
    }
}

/// What the node has to know of a call with a ticket.
#[derive(Debug)]
pub(super) struct TicketPresentation {
    pub(super) text: String,
    pub(super) call: TicketCall,
}

/// Work for the node that is not on the path of requests.
pub(super) type NodeWork = Box<dyn FnOnce(&mut Node, &mut WorkContext<'_>) + Send>;

/// What other tasks ask of the node's task.
pub(super) enum NodeCommand {
    Admit { profile: Box<RequestProfile>, relayed: bool, decisions: mpsc::Sender<Decision> },
    Event(NodeEvent),
    MayWrite { request: RequestId, attempt: AttemptNumber, reply: oneshot::Sender<WriteCheck> },
    Release(RequestId),
    IssueTicket(oneshot::Sender<Result<IssuedTicket, Refusal>>),
    PresentTicket { presentation: Box<TicketPresentation>, reply: oneshot::Sender<TicketEntry> },
    FinishTicket { request: RequestId, answer: TicketAnswer },
    MayRelay { request: RequestId, reply: oneshot::Sender<bool> },
    RelayNotRun(RequestId),
    AbandonTicket { sequence: TicketSequence, request: RequestId },
    Work(NodeWork),
}

/// Sends commands to the node's task.
#[derive(Debug, Clone)]
pub struct NodeLink {
    sender: mpsc::Sender<NodeCommand>,
}

impl NodeLink {
    /// A link and the end that the node's task reads. `capacity` bounds the waiting commands.
    pub(super) fn new(capacity: usize) -> (NodeLink, mpsc::Receiver<NodeCommand>) {
        let (sender, receiver) = mpsc::channel(capacity);
        (NodeLink { sender }, receiver)
    }

    /// Tells the node of an arrival. `None` if the node's task has ended.
    pub async fn admit(
        &self,
        profile: RequestProfile,
        relayed: bool,
    ) -> Option<mpsc::Receiver<Decision>> {
        let (decisions, receiver) = mpsc::channel(DECISIONS);
        let profile = Box::new(profile);
        let command = NodeCommand::Admit { profile, relayed, decisions };
        self.sender.send(command).await.ok().map(|()| receiver)
    }

    /// Tells the node of news of a request.
    pub async fn send(&self, event: SchedulerEvent) {
        self.event(NodeEvent::Scheduler(event)).await;
    }

    /// Tells the node of news of peers, platform or targets.
    pub async fn cluster_event(&self, event: ClusterEvent) {
        self.event(NodeEvent::Cluster(event)).await;
    }

    /// Tells the node of news. An end of the node's task shows at the next decision that is awaited.
    pub async fn event(&self, event: NodeEvent) {
        let _ = self.sender.send(NodeCommand::Event(event)).await;
    }

    /// Tells the node of news of a request, unless too many commands wait.
    pub fn try_send(&self, event: SchedulerEvent) -> bool {
        self.sender.try_send(NodeCommand::Event(NodeEvent::Scheduler(event))).is_ok()
    }

    /// Asks whether the first byte of an attempt may be written now.
    pub async fn may_write(&self, request: RequestId, attempt: AttemptNumber) -> WriteCheck {
        let check = self.ask(|reply| NodeCommand::MayWrite { request, attempt, reply }).await;
        check.unwrap_or(WriteCheck::Withhold)
    }

    /// Ends the flow of decisions on a request.
    pub async fn release(&self, request: RequestId) {
        let _ = self.sender.send(NodeCommand::Release(request)).await;
    }

    /// Ends the flow of decisions on a request, after the commands that are queued. While the queue is full
    /// nothing is done; the next tick tries again.
    pub(super) fn release_later(&self, request: RequestId) {
        let _ = self.sender.try_send(NodeCommand::Release(request));
    }

    /// Issues a ticket.
    pub async fn issue_ticket(&self) -> Result<IssuedTicket, Refusal> {
        self.ask(NodeCommand::IssueTicket).await.unwrap_or_else(|| Err(shutting_down()))
    }

    /// Presents a ticket with its call.
    pub async fn present_ticket(&self, text: String, call: TicketCall) -> TicketEntry {
        let presentation = Box::new(TicketPresentation { text, call });
        let entry = self.ask(|reply| NodeCommand::PresentTicket { presentation, reply }).await;
        entry.unwrap_or_else(|| {
            let message = "the process is shutting down";
            let refusal = Refusal::unknown(RefusalCode::ShuttingDown, message);
            TicketEntry::Answered(TicketAnswer::Refused(refusal))
        })
    }

    /// Records the outcome of a ticket's call that this request stands for.
    pub async fn finish_ticket(&self, request: RequestId, answer: TicketAnswer) {
        let _ = self.sender.send(NodeCommand::FinishTicket { request, answer }).await;
    }

    /// Asks whether a ticket's call may be sent to a VM of another data centre now.
    pub async fn may_relay(&self, request: RequestId) -> bool {
        self.ask(|reply| NodeCommand::MayRelay { request, reply }).await.unwrap_or(false)
    }

    /// Notes that the VM to which a ticket's call was sent did not run it.
    pub async fn relay_not_run(&self, request: RequestId) {
        let _ = self.sender.send(NodeCommand::RelayNotRun(request)).await;
    }

    /// What is known of a ticket; nothing if the text is no ticket.
    pub async fn query_ticket(&self, text: String) -> Option<TicketReport> {
        self.work(move |node, context| context.query_ticket(node, &text)).await.flatten()
    }

    /// The configuration in force, as changes of a version.
    pub async fn configuration_transfer(
        &self,
        version: ConfigurationVersion,
    ) -> Option<ConfigurationTransfer> {
        self.work(move |node, _| node.cluster().transfer_for(version)).await.flatten()
    }

    /// The VM list, as changes of a version.
    pub async fn vm_list_transfer(&self, version: u64) -> Option<VmListTransfer> {
        self.work(move |node, _| node.cluster().vm_list_for(version)).await.flatten()
    }

    /// Lends a slot at a target to a peer.
    pub async fn lend_slot(&self, peer: PeerIdentity, target: TargetName) -> Option<SlotGrant> {
        self.work(move |node, context| node.lend_slot(context.now, &peer, &target, context.actions))
            .await
            .flatten()
    }

    /// Takes a lent slot back.
    pub async fn take_back_slot(&self, grant: SlotGrant) {
        self.work(move |node, context| {
            node.accept_returned_slot(context.now, grant.grant, context.actions)
        })
        .await;
    }

    /// Takes over the records of a process that has ended. Tells whether they are held here now.
    pub async fn adopt_records(&self, records: HandoverMessage) -> bool {
        let adopt = move |node: &mut Node, context: &mut WorkContext<'_>| {
            node.adopt_tickets(&records, context.boot)
        };
        self.work(adopt).await.unwrap_or(false)
    }

    /// Ends all dispatching of tickets and returns the records for the successor.
    pub async fn freeze_records(&self) -> Vec<HandoverMessage> {
        let freeze = |node: &mut Node, context: &mut WorkContext<'_>| {
            node.freeze_tickets(context.boot, context.actions)
        };
        self.work(freeze).await.unwrap_or_default()
    }

    /// Non-idempotent calls without a final answer.
    pub async fn open_tickets(&self) -> usize {
        self.work(|node, _| node.open_tickets()).await.unwrap_or(0)
    }

    /// The peer that takes the records.
    pub async fn successor(&self) -> Option<PeerAddress> {
        self.work(|node, context| node.cluster_mut().handover_successor(context.now))
            .await
            .flatten()
    }

    /// Notes that the chosen successor can't have got the records.
    pub async fn successor_refused(&self, peer: PeerAddress) {
        self.work(move |node, context| node.cluster_mut().handover_refused(&peer, context.now))
            .await;
    }

    /// State of the node.
    pub async fn dump(&self) -> Option<serde_json::Value> {
        let dump = self.work(|node, context| node.dump(context.now)).await?;
        serde_json::to_value(dump).ok()
    }

    /// Configurations that were refused because they were older than the one in force.
    pub async fn refused_versions(&self) -> u64 {
        let count = |node: &mut Node, context: &mut WorkContext<'_>| {
            node.cluster().dump(context.now).older_configurations
        };
        self.work(count).await.unwrap_or(0)
    }

    /// Why a request would go where.
    pub async fn explain(&self, profile: RequestProfile) -> Option<serde_json::Value> {
        let explain = move |node: &mut Node, context: &mut WorkContext<'_>| {
            node.explain(context.now, &profile)
        };
        serde_json::to_value(self.work(explain).await?).ok()
    }

    async fn work<R, F>(&self, work: F) -> Option<R>
    where
        R: Send + 'static,
        F: FnOnce(&mut Node, &mut WorkContext<'_>) -> R + Send + 'static,
    {
        self.ask(|reply| {
            NodeCommand::Work(Box::new(move |node, context| {
                let _ = reply.send(work(node, context));
            }))
        })
        .await
    }

    async fn ask<R, F>(&self, command: F) -> Option<R>
    where
        F: FnOnce(oneshot::Sender<R>) -> NodeCommand,
    {
        let (reply, answer) = oneshot::channel();
        self.sender.send(command(reply)).await.ok()?;
        answer.await.ok()
    }

    /// Sends a command from where nothing can be awaited.
    fn send_detached(&self, command: NodeCommand) {
        if let Err(mpsc::error::TrySendError::Full(command)) = self.sender.try_send(command)
            && let Ok(runtime) = tokio::runtime::Handle::try_current()
        {
            let sender = self.sender.clone();
            runtime.spawn(async move { sender.send(command).await });
        }
    }
}

fn shutting_down() -> Refusal {
    Refusal::not_run(RefusalCode::ShuttingDown, "the process is shutting down")
}

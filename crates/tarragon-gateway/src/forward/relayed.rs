//! Sends attempts over peers while this process has no link to their targets.

use std::time::Duration;

use http::{HeaderName, header};
use tarragon_fleet::{
    link::{ConnectFault, LossCause, PeerFinding},
    prelude::*,
};
use tarragon_server::{
    request::{AttemptReport, DispatchOrder},
    target::pool::{CallFault, TargetConnection},
};

use super::{ExchangeFault, ForwardAnswer, ForwardRunner, IncomingAnswer, MIN_REMAINING_TIME};
use crate::{
    context::GatewayContext,
    platform::CallProtocol,
    relay::{
        ATTEMPT_HEADER, OUTCOME_HEADER, PeerSlot, RELAY_CONNECT_LIMIT, RelayOutcome,
        RelayedAttempt, ask_reach, probe_link,
    },
};

/// Peers that are asked to carry one attempt, one after the other.
const MAX_ASKED_PEERS: usize = 3;
/// Peers that can't connect to a target either, after which it counts as out of reach of all.
const MAX_UNREACHING_PEERS: usize = 2;

/// What came of an attempt at one peer.
enum RelayStep {
    /// It has ended.
    Ended(AttemptReport<ForwardAnswer>),
    /// It was not sent: the peer can't connect to the target.
    Unreachable,
    /// It was not sent, for reasons of the peer.
    Declined,
}

impl<D> ForwardRunner<'_, D>
where
    D: CallProtocol,
{
    /// Ends an attempt whose connection to the target has failed, or has peers carry it if they reach the target.
    pub(super) async fn attempt_after_fault(
        &mut self,
        order: &DispatchOrder,
        fault: ConnectFault,
    ) -> AttemptReport<ForwardAnswer> {
        let (target, service) = (&order.target, &self.call.routed.service);
        if self.context.node.view(|node| node.may_send(target, service)).is_none() {
            return AttemptReport::Ended(AttemptEnd::NotSent);
        }
        let verdict = check_failed_link(self.context, target, service, &self.call.tag, fault).await;
        match verdict {
            LinkVerdict::Lost => self.attempt_over_peers(order).await,
            LinkVerdict::Sound => AttemptReport::Ended(AttemptEnd::NotSent),
            LinkVerdict::Unknown => AttemptReport::Ended(AttemptEnd::Unreached),
        }
    }

    /// Has peers carry an attempt, one after the other until one of them has sent it.
    pub(super) async fn attempt_over_peers(
        &mut self,
        order: &DispatchOrder,
    ) -> AttemptReport<ForwardAnswer> {
        let (mut asked, mut unreaching) = (Vec::new(), 0);
        while asked.len() < MAX_ASKED_PEERS && unreaching < MAX_UNREACHING_PEERS {
            // Peers beside this process may have lost the same links a moment ago.
            let choice = self.context.relays.choose(self.context, &asked, unreaching > 0);
            let Some(slot) = choice else { break };
            asked.push(slot.peer());
            match self.attempt_over(order, slot).await {
                RelayStep::Ended(report) => return report,
                RelayStep::Unreachable => unreaching += 1,
                RelayStep::Declined => {}
            }
        }
        let end = if unreaching > 0 { AttemptEnd::NotSent } else { AttemptEnd::Unreached };
        tracing::info!(
            request = self.call.tag,
            target_address = &*order.target,
            asked = asked.len(),
            unreaching,
            "no peer passed the attempt on"
        );
        AttemptReport::Ended(end)
    }

    async fn attempt_over(&mut self, order: &DispatchOrder, slot: PeerSlot) -> RelayStep {
        let ended = |end| RelayStep::Ended(AttemptReport::Ended(end));
        let connection = match self.connect_to_peer(&slot).await {
            Ok(connection) => connection,
            Err(error) => {
                tracing::info!(peer = %slot.peer(), %error, "failed to connect to a peer");
                slot.skip();
                return RelayStep::Declined;
            }
        };
        let service = &self.call.routed.service;
        let grant = self.context.node.view(|node| node.may_send(&order.target, service));
        let grant = grant.filter(|grant| self.build.is_none_or(|build| build == grant.build));
        let Some(grant) = grant else { return ended(AttemptEnd::NotSent) };
        let remaining = self.call.deadline.remaining(&self.context.clock);
        if remaining < MIN_REMAINING_TIME {
            return ended(AttemptEnd::Withheld);
        }
        let relayed = RelayedAttempt {
            target: order.target.clone(),
            service: service.clone(),
            instance: grant.instance.clone(),
            build: grant.build,
            tag: self.call.tag.clone(),
            time_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            may_reuse: self.is_repeatable() && self.sent == 0,
            is_question: false,
        };
        let request = self.build_request(order, &grant, remaining);
        let (Some(mut request), Some(value)) = (request, relayed.to_header()) else {
            return ended(AttemptEnd::Withheld);
        };
        request.headers_mut().insert(ATTEMPT_HEADER, value);
        self.context.node.start_attempt(order);
        tracing::info!(
            request = self.call.tag,
            id = self.call.request,
            attempt = order.attempt,
            target_address = &*order.target,
            instance = &*grant.instance,
            build = grant.build,
            peer = %slot.peer(),
            resume_after = self.sink.position(),
            remaining_ms = remaining.as_millis() as u64,
            waited_ms = self.call.arrived.elapsed().as_millis() as u64,
            "sent over a peer"
        );
        let answer = self.exchange(order, &slot.address, connection, request, remaining).await;
        let (outcome, answer) = match answer {
            Ok(answer) => (RelayOutcome::read(&answer.head.headers), Some(answer)),
            // The connection to the peer could not be used.
            Err(ExchangeFault::Call(CallFault::NotSent(_))) => (Some(RelayOutcome::Declined), None),
            Err(ExchangeFault::Silent) => return ended(AttemptEnd::Silent),
            // The target may be slow, so the peer is asked again.
            Err(ExchangeFault::Call(CallFault::TimedOut)) => (None, None),
            Err(ExchangeFault::Call(CallFault::Broken(_))) => {
                slot.skip();
                (None, None)
            }
        };
        let name = outcome.map_or("lost", RelayOutcome::name);
        self.context.metrics.relays_sent.with_label_values(&["attempt", name]).inc();
        tracing::info!(
            request = self.call.tag,
            attempt = order.attempt,
            target_address = &*order.target,
            peer = %slot.peer(),
            outcome = name,
            spent_ms = self.call.arrived.elapsed().as_millis() as u64,
            "attempt went over a peer"
        );
        let is_answered =
            matches!(outcome, Some(RelayOutcome::Answered | RelayOutcome::AnsweredUnframed));
        match (outcome, answer) {
            (Some(outcome), Some(answer)) if is_answered => {
                let answer = relayed_answer(answer, slot, outcome);
                let report = self.handle_answer(order, &grant, answer).await;
                // The peer may have ended, or lost its link, in the middle of the answer.
                RelayStep::Ended(match report {
                    AttemptReport::Ended(AttemptEnd::Broken) => {
                        AttemptReport::Ended(AttemptEnd::Severed)
                    }
                    report => report,
                })
            }
            (Some(RelayOutcome::Unreachable), answer) => {
                self.not_sent(&slot, answer);
                RelayStep::Unreachable
            }
            (Some(RelayOutcome::Declined), answer) => {
                slot.skip();
                self.not_sent(&slot, answer);
                RelayStep::Declined
            }
            (Some(RelayOutcome::Broken), _) => ended(AttemptEnd::Broken),
            (Some(RelayOutcome::Severed), _) => ended(AttemptEnd::Severed),
            (Some(RelayOutcome::Garbled), _) => ended(AttemptEnd::Garbled),
            // The peer may have sent it before the connection to it broke.
            _ => ended(AttemptEnd::Severed),
        }
    }

    /// A pooled connection to a peer for a call that may be repeated, else a new one.
    async fn connect_to_peer(&self, slot: &PeerSlot) -> std::io::Result<TargetConnection> {
        let pool = &self.context.relays.pool;
        if self.is_repeatable() {
            pool.checkout_other(&slot.address, RELAY_CONNECT_LIMIT, &self.carriers).await
        } else {
            pool.open(&slot.address, RELAY_CONNECT_LIMIT).await
        }
    }

    /// A peer has not sent the attempt.
    fn not_sent(&mut self, slot: &PeerSlot, answer: Option<IncomingAnswer>) {
        self.sent = self.sent.saturating_sub(1);
        if let Some(answer) = answer {
            self.context.relays.pool.give_back(&slot.address, answer.connection);
        }
    }

    /// Finds out whether an attempt broke at its target, or because this process has lost its link to it: then it
    /// says nothing about the target.
    pub(super) async fn judge_break(&self, order: &DispatchOrder) -> AttemptEnd {
        let (service, tag) = (&self.call.routed.service, &self.call.tag);
        match check_link(self.context, &order.target, service, tag).await {
            LinkVerdict::Lost => AttemptEnd::Severed,
            // If nobody tells, it only counts as a crash if the end of the target's process shows otherwise.
            LinkVerdict::Sound | LinkVerdict::Unknown => AttemptEnd::Broken,
        }
    }

    /// Checks in the background whether the link to a target that has been silent for `silence` is lost, unless
    /// something has arrived over it meanwhile.
    pub(super) fn check_silent_link(&self, order: &DispatchOrder, silence: Duration) {
        let target = order.target.clone();
        let is_known = |node: &mut FleetNode, now: std::time::Instant, _: &mut _| {
            let contact = node.links().last_contact(&target);
            let is_alive = contact.is_some_and(|at| now.saturating_duration_since(at) < silence);
            is_alive || node.links().is_lost(&target)
        };
        if self.context.node.run(is_known) {
            return;
        }
        let (service, tag) = (self.call.routed.service.clone(), self.call.tag.clone());
        let context = self.context.clone();
        self.context.spawn(async move {
            check_link(&context, &target, &service, &tag).await;
        });
    }
}

/// What a check of a link has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkVerdict {
    /// A connection was made, or no peer that was asked reaches the target either.
    Sound,
    /// A peer reaches the target and this process doesn't.
    Lost,
    /// No connection was made, and no peer told whether it reaches the target.
    Unknown,
}

/// Connects to a target, and asks peers if that fails.
async fn check_link<D>(
    context: &GatewayContext<D>,
    target: &TargetName,
    service: &ServiceName,
    tag: &str,
) -> LinkVerdict
where
    D: CallProtocol,
{
    let lock = context.relays.check_lock(target);
    let _held = lock.lock().await;
    if let Some(verdict) = known_verdict(context, target, ConnectFault::Other) {
        return verdict;
    }
    match probe_link(context, target).await {
        Ok(()) => LinkVerdict::Sound,
        Err(_) => ask_peers(context, target, service, tag, LossCause::Broken).await,
    }
}

/// Asks peers about a target to which a connection has failed, unless it is known what they would tell.
async fn check_failed_link<D>(
    context: &GatewayContext<D>,
    target: &TargetName,
    service: &ServiceName,
    tag: &str,
    fault: ConnectFault,
) -> LinkVerdict
where
    D: CallProtocol,
{
    let lock = context.relays.check_lock(target);
    let _held = lock.lock().await;
    match known_verdict(context, target, fault) {
        Some(verdict) => verdict,
        None => ask_peers(context, target, service, tag, LossCause::ConnectFailed).await,
    }
}

/// What is known of the link to a target after a connection to it has failed.
fn known_verdict<D>(
    context: &GatewayContext<D>,
    target: &TargetName,
    fault: ConnectFault,
) -> Option<LinkVerdict> {
    context.node.run(|node, now, _| {
        if node.links().is_lost(target) {
            return Some(LinkVerdict::Lost);
        }
        let (finding, age) = node.peer_finding(target, fault, now)?;
        tracing::debug!(
            target_address = &**target,
            fault = fault.name(),
            finding = finding.name(),
            age_ms = age.as_millis() as u64,
            "peers are not asked again about the target"
        );
        Some(match finding {
            PeerFinding::Unreached => LinkVerdict::Sound,
            PeerFinding::Unknown => LinkVerdict::Unknown,
        })
    })
}

/// Asks peers whether they can connect to a target to which this process can't.
async fn ask_peers<D>(
    context: &GatewayContext<D>,
    target: &TargetName,
    service: &ServiceName,
    tag: &str,
    cause: LossCause,
) -> LinkVerdict
where
    D: CallProtocol,
{
    let Some(grant) = context.node.view(|node| node.may_send(target, service)) else {
        return LinkVerdict::Unknown;
    };
    let question = RelayedAttempt {
        target: target.clone(),
        service: service.clone(),
        instance: grant.instance,
        build: grant.build,
        tag: tag.to_owned(),
        time_ms: RELAY_CONNECT_LIMIT.as_millis() as u64,
        may_reuse: false,
        is_question: true,
    };
    let (mut asked, mut unreaching) = (Vec::new(), 0);
    while asked.len() < MAX_ASKED_PEERS && unreaching < MAX_UNREACHING_PEERS {
        // Peers beside this process may have lost the same links a moment ago.
        let choice = context.relays.choose(context, &asked, !asked.is_empty());
        let Some(slot) = choice else { break };
        if context.node.view(|node| node.links().is_lost(target)) {
            return LinkVerdict::Lost;
        }
        asked.push(slot.peer());
        match ask_reach(context, &slot, &question).await {
            RelayOutcome::Answered | RelayOutcome::AnsweredUnframed => {
                record_loss(context, target, cause);
                return LinkVerdict::Lost;
            }
            RelayOutcome::Unreachable => unreaching += 1,
            _ => {}
        }
    }
    let (finding, verdict) = match unreaching {
        0 => (PeerFinding::Unknown, LinkVerdict::Unknown),
        _ => (PeerFinding::Unreached, LinkVerdict::Sound),
    };
    context.node.run(|node, now, _| {
        node.record_peer_finding(target, grant.restart, finding, now);
    });
    tracing::info!(
        request = tag,
        target_address = &**target,
        asked = asked.len(),
        unreaching,
        "no peer reaches the target"
    );
    verdict
}

/// Records that the link to a target is lost, and closes the idle connections over it.
fn record_loss<D>(context: &GatewayContext<D>, target: &TargetName, cause: LossCause) {
    let record = |node: &mut FleetNode, now, _: &mut _| node.record_link_loss(target, cause, now);
    if context.node.run(record) {
        context.pool.retain(|address| address != &**target);
    }
}

/// A target's answer that a peer passes on, without what the peer has added.
fn relayed_answer(answer: IncomingAnswer, slot: PeerSlot, outcome: RelayOutcome) -> IncomingAnswer {
    let mut answer = answer;
    answer.head.headers.remove(OUTCOME_HEADER);
    let connection_headers = [header::CONNECTION, HeaderName::from_static("keep-alive")];
    connection_headers.iter().for_each(|name| drop(answer.head.headers.remove(name)));
    answer.is_unframed = outcome == RelayOutcome::AnsweredUnframed;
    answer.peer = Some(slot);
    answer
}

//! Relays requests that can't be served here to another process, at most once.

use super::*;

/// Causes of refusal that may not apply at another process.
const RELAY_CODES: [RefusalCode; 3] =
    [RefusalCode::NoTarget, RefusalCode::ShuttingDown, RefusalCode::DataCentreOut];

/// Delay after which a caller may retry if no other process could serve the request either.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Node {
    /// Accepts a request from a caller: relays it if new requests are relayed at present, otherwise schedules
    /// it.
    pub(super) fn accept_request(
        &mut self,
        now: Instant,
        profile: Box<RequestProfile>,
        actions: &mut Vec<NodeAction>,
    ) {
        let request = profile.request;
        if !self.relay_peers.is_empty() {
            let peers = self.relay_peers.clone();
            actions.push(NodeAction::Relay { request, peers });
            return;
        }
        self.relayable.insert(request);
        self.schedule(now, SchedulerEvent::Arrived(profile), actions);
    }

    /// Relays a refused request if another process may be able to serve it, otherwise passes the refusal on.
    /// Only requests that were never dispatched here are relayed.
    pub(super) fn refuse(
        &mut self,
        now: Instant,
        request: RequestId,
        refusal: Refusal,
        actions: &mut Vec<NodeAction>,
    ) {
        let relayable = self.relayable.swap_remove(&request);
        if relayable
            && refusal.outcome == CallOutcome::NotRun
            && RELAY_CODES.contains(&refusal.code)
        {
            let peers = self.peers_for_relay(now);
            if !peers.is_empty() {
                actions.push(NodeAction::Relay { request, peers });
                return;
            }
        }
        if self.tickets.is_open(request) {
            let answer = TicketAnswer::Refused(refusal);
            self.tickets.finish(request, answer, self.boot, actions);
            return;
        }
        actions.push(NodeAction::Scheduler(SchedulerAction::Refuse { request, refusal }));
    }

    /// Relays all waiting requests that were never dispatched here, when this process stops accepting new ones.
    pub(super) fn relay_waiting(&mut self, now: Instant, actions: &mut Vec<NodeAction>) {
        for profile in self.scheduler.release_waiting() {
            let message = "this process has stopped to take new work";
            let refusal =
                Refusal::not_run(RefusalCode::ShuttingDown, message).with_retry_after(RETRY_AFTER);
            self.refuse(now, profile.request, refusal, actions);
        }
    }

    fn peers_for_relay(&self, now: Instant) -> Vec<PeerAddress> {
        if self.relay_peers.is_empty() {
            self.cluster.remote_peers(now)
        } else {
            self.relay_peers.clone()
        }
    }
}

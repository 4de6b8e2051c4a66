//! Forwards streams of events as they arrive: complete events only, in order, each once.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode, header, response};
use http_body_util::BodyExt;
use tarragon_fleet::prelude::*;
use tarragon_server::{
    caller::answer::{AnswerBody, BodyPart, CallerAnswer},
    memory::{MemoryCharge, MemoryShare},
    request::{AttemptReport, DispatchOrder},
    target::metered::TargetBody,
};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot},
    time::{Instant, timeout},
};

use super::{ForwardAnswer, ForwardRunner, IncomingAnswer, silence::TargetSilence};
use crate::{
    events::{EventSplitter, RawEvent},
    origins::record_origin,
    platform::CallProtocol,
};

/// Events that are buffered for a slow caller.
const MAX_BUFFERED_PARTS: usize = 32;
/// Largest event that is not charged for itself.
const SMALL_EVENT_BYTES: usize = 512;
/// Larger events of one stream that wait for its caller.
const MAX_LARGE_EVENTS: usize = 2;
/// Bytes of incomplete events up to which the charge for the request covers the buffers of a stream.
const COVERED_BYTES: usize = 8 << 10;
/// Memory of the buffers of a stream with larger events.
const LARGE_STREAM_BYTES: usize = 192 << 10;
/// Shortest interval between progress reports of one stream.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// An event that counts as waiting for its caller until the last copy of it is dropped.
struct LargeEvent {
    bytes: Bytes,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for LargeEvent {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The caller does not get a part of its answer.
enum PartNotTaken {
    /// It has disconnected.
    Disconnected,
    /// It has read nothing for too long.
    Stalled,
}

/// The head with which a stream began. Answers that continue the stream have the same.
#[derive(Debug, Clone, PartialEq, Eq)]
struct StreamHead {
    status: StatusCode,
    media_type: Option<String>,
}

impl StreamHead {
    fn new(status: StatusCode, headers: &HeaderMap) -> StreamHead {
        let value = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
        let media_type = value.and_then(|value| value.split(';').next());
        let media_type = media_type.map(|name| name.trim().to_ascii_lowercase());
        StreamHead { status, media_type }
    }
}

/// Sends the parts of a streamed answer to the caller.
pub struct StreamSink {
    head: Option<oneshot::Sender<CallerAnswer>>,
    /// Head of the stream, if it has begun.
    begun: Option<StreamHead>,
    /// Whether an event without a number was sent, so that the position doesn't tell where to resume.
    unnumbered: bool,
    sender: mpsc::Sender<BodyPart>,
    receiver: Option<mpsc::Receiver<BodyPart>>,
    /// Number of the last event that was sent to the caller.
    position: Option<u64>,
    arrived: Instant,
    last_event: Option<Instant>,
    /// Permits for large events that wait for the caller.
    large_events: Arc<Semaphore>,
}

impl StreamSink {
    /// A sink that sends the answer to `head`. The caller already has the events up to `position`.
    pub fn new(
        head: oneshot::Sender<CallerAnswer>,
        position: Option<u64>,
        arrived: Instant,
    ) -> StreamSink {
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_PARTS);
        StreamSink {
            head: Some(head),
            begun: None,
            unnumbered: false,
            sender,
            receiver: Some(receiver),
            position,
            arrived,
            last_event: None,
            large_events: Arc::new(Semaphore::new(MAX_LARGE_EVENTS)),
        }
    }

    /// Number of the last event that was sent to the caller.
    pub fn position(&self) -> Option<u64> {
        self.position
    }

    /// The channel for an answer to the caller, if no stream has begun.
    pub fn into_head(self) -> Option<oneshot::Sender<CallerAnswer>> {
        self.head
    }

    /// Whether the head of the answer has been sent.
    pub fn has_begun(&self) -> bool {
        self.head.is_none()
    }

    /// Whether another target may go on with what the caller has.
    pub fn can_go_on(&self) -> bool {
        !(self.has_begun() && self.unnumbered)
    }

    /// Whether an answer with this head can be a part of the caller's answer: that has not begun, or has the same
    /// status and media type.
    pub fn accepts(&self, head: &response::Parts) -> bool {
        let is_same = |begun: &StreamHead| *begun == StreamHead::new(head.status, &head.headers);
        self.begun.as_ref().is_none_or(is_same)
    }

    /// Sends the head of the answer. Only the first call has an effect: a stream that is resumed at another
    /// target keeps the head from its first target.
    fn begin(&mut self, status: StatusCode, headers: HeaderMap) {
        let (Some(head), Some(parts)) = (self.head.take(), self.receiver.take()) else { return };
        self.begun = Some(StreamHead::new(status, &headers));
        let mut answer = Response::new(AnswerBody::Stream { parts, guard: None });
        *answer.status_mut() = status;
        *answer.headers_mut() = headers;
        // This fails only if the caller has disconnected, which cancels the request.
        let _ = head.send(answer);
    }

    async fn send(&mut self, part: BodyPart, limit: Duration) -> Result<(), PartNotTaken> {
        match timeout(limit, self.sender.send(part)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(PartNotTaken::Disconnected),
            Err(_) => Err(PartNotTaken::Stalled),
        }
    }
}

/// Progress of one attempt's stream.
struct StreamProgress {
    events: u32,
    /// Whether the caller got an event.
    delivered: bool,
    first_event: Option<Duration>,
    reported: Option<Instant>,
}

impl<D> ForwardRunner<'_, D>
where
    D: CallProtocol,
{
    /// Forwards a stream to the caller until it ends.
    pub(super) async fn relay_stream(
        &mut self,
        order: &DispatchOrder,
        grant: &SendGrant,
        answer: IncomingAnswer,
    ) -> AttemptReport<ForwardAnswer> {
        let IncomingAnswer { connection, head, mut body, sent, peer, is_unframed } = answer;
        let headers = self.context.protocol.answer_headers(&head.headers);
        // Whether the caller has the beginning of this stream from an earlier attempt.
        let continues = self.sink.has_begun();
        let mut splitter = EventSplitter::default();
        // Memory of the buffers of a stream with large events.
        let mut buffers: Option<MemoryCharge> = None;
        let mut progress =
            StreamProgress { events: 0, delivered: false, first_event: None, reported: None };
        loop {
            let data = match self.next_data(order, &mut body).await {
                Ok(Some(data)) => data,
                Ok(None) => break,
                Err(end) => return self.end_stream(order, &mut progress, end),
            };
            if splitter.push(&data).is_err() {
                return self.end_stream(order, &mut progress, AttemptEnd::Garbled);
            }
            drop(data);
            if buffers.is_none() && splitter.buffered() > COVERED_BYTES {
                let limit = self.context.limits.caller_stall;
                buffers = match self.charge_stream(LARGE_STREAM_BYTES, limit).await {
                    Ok(charge) => Some(charge),
                    Err(fault) => return part_not_taken(fault),
                };
            }
            while let Some(event) = splitter.next_event() {
                if continues && !progress.delivered && event.number.is_none() {
                    if event.is_comment() {
                        continue;
                    }
                    // Only a number shows that this target goes on where the stream broke off.
                    return self.end_stream(order, &mut progress, AttemptEnd::Garbled);
                }
                if progress.events == 0 {
                    let is_same = |node: &FleetNode| node.is_same_process(&order.target, grant);
                    if !self.context.node.view(is_same) {
                        // A process of another build may have answered.
                        return self.end_stream(order, &mut progress, AttemptEnd::Broken);
                    }
                    self.record_begin(order, grant.build).await;
                }
                self.sink.begin(head.status, headers.clone());
                match self.forward_event(event).await {
                    Ok(is_new) => progress.delivered |= is_new,
                    Err(fault) => return part_not_taken(fault),
                }
                progress.events += 1;
                progress.first_event.get_or_insert_with(|| sent.elapsed());
            }
            self.report_progress(order, &mut progress, false);
        }
        self.report_progress(order, &mut progress, true);
        let may_be_cut = !progress.delivered && is_unframed;
        if splitter.has_partial_event() || may_be_cut {
            return self.end_stream(order, &mut progress, AttemptEnd::Broken);
        }
        if continues && !progress.delivered {
            // Nothing shows that this target knows where the stream broke off.
            return self.end_stream(order, &mut progress, AttemptEnd::Garbled);
        }
        self.sink.begin(head.status, headers);
        let limit = self.context.limits.caller_stall;
        if let Err(fault) = self.sink.send(BodyPart::End, limit).await {
            return part_not_taken(fault);
        }
        self.keep_connection(order, peer.as_ref(), connection, &head.headers);
        AttemptReport::Answered(ForwardAnswer::Streamed)
    }

    /// Records that targets of a build began the stream, before its first event is passed on.
    async fn record_begin(&mut self, order: &DispatchOrder, build: BuildKey) {
        let Some(stream) = self.call.stream else { return };
        self.build = Some(build);
        let event = SchedulerEvent::StreamBegan(order.request, order.attempt, build);
        self.context.node.run(|node, now, actions| node.handle(now, event, actions));
        record_origin(self.context, &self.call.routed, stream, build).await;
    }

    /// Reads the next bytes of a target's answer; `None` at its end.
    async fn next_data(
        &self,
        order: &DispatchOrder,
        body: &mut TargetBody,
    ) -> Result<Option<Bytes>, AttemptEnd> {
        let patience = match self.may_retry() {
            true => self.context.limits.stream_silence,
            false => self.call.deadline.remaining(&self.context.clock),
        };
        loop {
            match self.await_target(order, patience, body.frame()).await {
                Err(TargetSilence::Replaceable) => return Err(AttemptEnd::Silent),
                Err(TargetSilence::Overdue) | Ok(Some(Err(_))) => return Err(AttemptEnd::Broken),
                Ok(None) => return Ok(None),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Sends an event to the caller, unless the caller has it from an earlier attempt. Returns whether it was sent.
    async fn forward_event(&mut self, event: RawEvent) -> Result<bool, PartNotTaken> {
        if let (Some(number), Some(position)) = (event.number, self.sink.position)
            && number <= position
        {
            return Ok(false);
        }
        let now = Instant::now();
        let metrics = &self.context.metrics;
        match self.sink.last_event.replace(now) {
            None => metrics.observe_first_part(true, now - self.sink.arrived),
            Some(last) => metrics.event_gap.observe((now - last).as_secs_f64()),
        }
        self.sink.unnumbered |= event.number.is_none() && !event.is_comment();
        let limit = self.context.limits.caller_stall;
        let bytes = self.hold_event(&event.bytes, limit).await?;
        self.sink.send(BodyPart::Data(bytes), limit).await?;
        self.sink.position = event.number.or(self.sink.position);
        Ok(true)
    }

    /// A copy of an event whose memory is charged until it has been written. Small events are covered by the charge
    /// for their request. Without a copy, they would keep the buffer in which they arrived.
    async fn hold_event(&self, event: &[u8], limit: Duration) -> Result<Bytes, PartNotTaken> {
        let copy = || Bytes::copy_from_slice(event);
        if event.len() <= SMALL_EVENT_BYTES {
            return Ok(copy());
        }
        let turn = self.sink.large_events.clone().acquire_owned();
        let Ok(Ok(permit)) = timeout(limit, turn).await else { return Err(PartNotTaken::Stalled) };
        let charge = self.charge_stream(event.len(), limit).await?;
        Ok(Bytes::from_owner(LargeEvent { bytes: charge.attach(copy()), _permit: permit }))
    }

    /// Charges memory of a stream beyond what the charge for its request covers.
    async fn charge_stream(
        &self,
        bytes: usize,
        limit: Duration,
    ) -> Result<MemoryCharge, PartNotTaken> {
        let share = MemoryShare::Streams;
        let charge = self.context.memory.charge_within(share, bytes, limit).await;
        charge.ok_or_else(|| {
            self.context.metrics.memory_refusals.with_label_values(&[share.name()]).inc();
            tracing::info!(request = self.call.tag, bytes, "no memory for events of a stream");
            PartNotTaken::Stalled
        })
    }

    fn end_stream(
        &self,
        order: &DispatchOrder,
        progress: &mut StreamProgress,
        end: AttemptEnd,
    ) -> AttemptReport<ForwardAnswer> {
        self.report_progress(order, progress, true);
        AttemptReport::Ended(end)
    }

    /// Reports progress to the node: the first event at once, later ones at intervals unless `force` is set.
    fn report_progress(&self, order: &DispatchOrder, progress: &mut StreamProgress, force: bool) {
        let Some(first_token) = progress.first_event else { return };
        let due = progress.reported.is_none_or(|time| force || time.elapsed() >= PROGRESS_INTERVAL);
        if !due {
            return;
        }
        progress.reported = Some(Instant::now());
        let progress = AttemptProgress {
            request: order.request,
            attempt: order.attempt,
            tokens: progress.events.saturating_mul(self.call.event_tokens),
            prefill_tokens: None,
            cached_tokens: None,
            first_token,
        };
        self.context.node.run(|node, now, actions| {
            node.handle(now, SchedulerEvent::AttemptProgress(progress), actions);
        });
    }
}

/// Ends a stream whose caller does not read it: it would occupy a slot at the target that others wait for.
fn part_not_taken(fault: PartNotTaken) -> AttemptReport<ForwardAnswer> {
    let message = match fault {
        PartNotTaken::Disconnected => "the caller has disconnected",
        PartNotTaken::Stalled => "the caller did not take its answer in time",
    };
    let refusal = Refusal::unknown(RefusalCode::DeadlineExceeded, message);
    AttemptReport::Refused(AttemptEnd::Cancelled, refusal)
}

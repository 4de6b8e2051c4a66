//! What the answers of a target say about the target itself.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use http::{HeaderMap, Request, StatusCode, header};
use tarragon_fleet::{prelude::*, published::InstanceName};
use tarragon_server::target::pool::CallBody;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::{
    context::GatewayContext,
    platform::{AnswerEcho, AnswerHead, AnswerKind, CallProtocol},
};

/// Interim (1xx) answers accepted for one attempt. A target that sends more is treated as sending no answer.
const MAX_INTERIM_ANSWERS: u32 = 64;
/// How long an idle connection is kept if the target's `Keep-Alive` header gives no limit: the limit may be
/// below one second.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(400);
/// Longest idle limit of a target that is taken as stated.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3_600);
/// Share of the idle limit in a target's `Keep-Alive` header for which its connection is reused.
const IDLE_SHARE: f64 = 0.7;

/// Who answers, and what.
#[derive(Debug, Clone)]
pub struct TargetNotice {
    /// Target.
    pub target: TargetName,
    /// Instance that is expected at its address.
    pub instance: InstanceName,
    /// The caller's id of the request.
    pub tag: String,
}

/// What the interim answers of one attempt have shown.
#[derive(Debug, Clone, Default)]
pub struct InterimWatch {
    /// Cancelled when there are too many of them.
    pub too_many: CancellationToken,
    misplaced: Arc<AtomicBool>,
}

impl InterimWatch {
    /// Whether one of them belongs to another request.
    pub fn is_misplaced(&self) -> bool {
        self.misplaced.load(Ordering::Relaxed)
    }
}

/// Checks interim answers for notices of the target about itself.
pub fn watch_interim_answers<D>(
    context: &Arc<GatewayContext<D>>,
    notice: &TargetNotice,
    is_reused: bool,
    request: &mut Request<CallBody>,
) -> InterimWatch
where
    D: CallProtocol,
{
    let context = context.clone();
    let TargetNotice { target, instance, tag } = notice.clone();
    let sent = Instant::now().into_std();
    let watch = InterimWatch::default();
    let InterimWatch { too_many, misplaced } = watch.clone();
    let count = AtomicU32::new(0);
    hyper::ext::on_informational(request, move |interim| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_ANSWERS {
            too_many.cancel();
        }
        let headers = interim.headers();
        let echo = context.protocol.read_echo(&tag, headers);
        if echo == AnswerEcho::Other {
            let target_address = &*target;
            tracing::warn!(
                request = tag,
                target_address,
                "interim answer belongs to another request"
            );
            misplaced.store(true, Ordering::Relaxed);
            return;
        }
        // An answer without an id may be that of an earlier call, but a process doesn't take leaving back.
        if context.protocol.is_leaving(headers) {
            report_leaving(&context, &target, &instance);
        }
        // Interim answers may lack headers that the final one has, so they don't end a limit.
        let rate = context.protocol.read_rate(headers);
        if rate != RateStatement::Unlimited && answers_the_call(echo, is_reused) {
            let answer = RateAnswer { request: &tag, instance: &instance, sent, statement: rate };
            report_rate(&context, &target, &answer);
        }
        let statement = context.protocol.read_rejections(headers);
        if statement != RejectionStatement::Unlimited && answers_the_call(echo, is_reused) {
            let answer = RejectionAnswer { request: &tag, instance: &instance, sent, statement };
            report_rejections(&context, &target, &answer);
        }
    });
    watch
}

/// Reports to the node what the head of an answer says about the target itself.
pub fn apply_answer_head<D>(
    context: &GatewayContext<D>,
    notice: &TargetNotice,
    head: &AnswerHead,
    status: StatusCode,
    sent: Instant,
) {
    let TargetNotice { target, instance, tag } = notice;
    if let Some(load) = head.load {
        context.node.run(|node, now, actions| {
            node.update_target_load(now, target, load, actions);
        });
    }
    if head.leaving {
        report_leaving(context, target, instance);
    }
    if let Some(pause) = head.pause {
        context.node.run(|node, now, actions| {
            node.pause_target(now, target, instance, pause, actions);
        });
    }
    // Only a success of this target shows that its limit has ended: an error may come from a part of the
    // target that knows nothing of it, and other answers from another instance.
    let is_own_success = head.kind == AnswerKind::Answered && status.is_success();
    if is_own_success || head.rate.limit().is_some() {
        let sent = sent.into_std();
        let answer = RateAnswer { request: tag, instance, sent, statement: head.rate };
        report_rate(context, target, &answer);
    }
    if is_own_success || head.rejections.limit().is_some() {
        let (sent, statement) = (sent.into_std(), head.rejections);
        let answer = RejectionAnswer { request: tag, instance, sent, statement };
        report_rejections(context, target, &answer);
    }
}

/// Whether an answer belongs to the call that was sent last on its connection. An answer without an id on a
/// reused connection may belong to an earlier call.
pub fn answers_the_call(echo: AnswerEcho, is_reused: bool) -> bool {
    match echo {
        AnswerEcho::Own => true,
        AnswerEcho::Missing => !is_reused,
        AnswerEcho::Other => false,
    }
}

/// Tells the node that a target is about to stop, and closes the idle connections to it.
fn report_leaving<D>(context: &GatewayContext<D>, target: &TargetName, instance: &str) {
    context.node.run(|node, now, actions| node.mark_target_leaving(now, target, instance, actions));
    context.pool.retain(|address| address != &**target);
}

/// Tells the node what an answer says about the rate that its target accepts.
fn report_rate<D>(context: &GatewayContext<D>, target: &TargetName, answer: &RateAnswer<'_>) {
    context.metrics.rate_statements.with_label_values(&[answer.statement.name()]).inc();
    let changed =
        context.node.run(|node, now, actions| node.apply_rate(now, target, answer, actions));
    if changed {
        context.node.urgent_digest.notify_one();
    }
}

/// Tells the node what an answer says about the rejections that its target can bear.
fn report_rejections<D>(
    context: &GatewayContext<D>,
    target: &TargetName,
    answer: &RejectionAnswer<'_>,
) {
    context.metrics.rejection_statements.with_label_values(&[answer.statement.name()]).inc();
    let changed =
        context.node.run(|node, now, actions| node.apply_rejections(now, target, answer, actions));
    if changed {
        context.node.urgent_digest.notify_one();
    }
}

/// Whether the end of an answer shows only by the end of its connection. A target that has crashed before its
/// first event leaves such an answer empty.
pub fn is_unframed(headers: &HeaderMap) -> bool {
    !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}

/// Time for which an idle connection may be reused, from the target's `Keep-Alive` header.
pub fn idle_limit(headers: &HeaderMap) -> Duration {
    let text = headers.get("keep-alive").and_then(|value| value.to_str().ok()).unwrap_or("");
    let seconds = text.split(',').find_map(|part| {
        let value = part.trim().strip_prefix("timeout=")?;
        value.trim().parse::<u64>().ok()
    });
    seconds.map_or(DEFAULT_IDLE_TIME, |seconds| {
        Duration::from_secs(seconds).min(MAX_IDLE_TIME).mul_f64(IDLE_SHARE)
    })
}

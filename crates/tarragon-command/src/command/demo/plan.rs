//! The requests of the demo: short questions, longer drafts, assessments and dispatches.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tarragon_protocol::{engine::ChatMessage, prelude::*};

/// A request with its intended start.
#[derive(Debug, Clone)]
pub(super) struct DemoRequest {
    pub(super) start: Duration,
    pub(super) workspace: &'static str,
    pub(super) tier: Tier,
    pub(super) deadline: Duration,
    pub(super) kind: DemoKind,
    /// Chooses the VM.
    pub(super) choice: usize,
}

/// What is asked for.
#[derive(Debug, Clone)]
pub(super) enum DemoKind {
    /// A generation, streamed or not.
    Chat { messages: Vec<ChatMessage>, stream: bool },
    /// A dispatch that must run at most once. Some are sent again after the answer.
    Dispatch { call_id: String, repeated: bool },
}

/// One kind of request: its part of the load in percent, who sends it and how long its answer is.
struct RequestClass {
    percent: u32,
    workspace: &'static str,
    tier: Tier,
    deadline: Duration,
    /// Words of the prompt, and tokens of the answer; none for a dispatch.
    size: Option<(usize, u32)>,
}

/// Deadlines are such that the longest answer of each class can be generated in time by a full batch of the
/// older generation, at 33 ms a token.
const CLASSES: [RequestClass; 5] = [
    RequestClass {
        percent: 35,
        workspace: "field-crews",
        tier: Tier::Urgent,
        deadline: Duration::from_secs(8),
        size: Some((30, 16)),
    },
    RequestClass {
        percent: 10,
        workspace: "field-crews",
        tier: Tier::Urgent,
        deadline: Duration::from_secs(8),
        size: None,
    },
    RequestClass {
        percent: 5,
        workspace: "depot-supervisors",
        tier: Tier::High,
        deadline: Duration::from_secs(12),
        size: Some((800, 160)),
    },
    RequestClass {
        percent: 20,
        workspace: "repair-orders",
        tier: Tier::Normal,
        deadline: Duration::from_secs(10),
        size: Some((200, 80)),
    },
    RequestClass {
        percent: 30,
        workspace: "archive",
        tier: Tier::Routine,
        deadline: Duration::from_secs(10),
        size: Some((400, 100)),
    },
];

/// Plans the whole load before it starts, so that a slow answer does not delay the requests after it.
pub(super) fn plan_requests(seed: u64, rate: u64, length: Duration) -> Vec<DemoRequest> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let count = usize::try_from(rate * length.as_secs()).unwrap_or(usize::MAX);
    let mut starts: Vec<f64> = (0..count).map(|_| random.random::<f64>()).collect();
    starts.sort_by(f64::total_cmp);
    let request =
        |(index, start): (usize, &f64)| plan_request(&mut random, index, length.mul_f64(*start));
    starts.iter().enumerate().map(request).collect()
}

fn plan_request(random: &mut ChaCha8Rng, index: usize, start: Duration) -> DemoRequest {
    let class = pick_class(random.random_range(0..100));
    let kind = match class.size {
        Some((words, tokens)) => DemoKind::Chat {
            messages: messages(random, class, index, words, tokens),
            stream: random.random_bool(0.8),
        },
        None => DemoKind::Dispatch {
            call_id: format!("dispatch-{index}"),
            repeated: random.random_bool(0.5),
        },
    };
    DemoRequest {
        start,
        workspace: class.workspace,
        tier: class.tier,
        deadline: class.deadline,
        kind,
        choice: random.random_range(0..1_000_000),
    }
}

fn pick_class(mut percent: u32) -> &'static RequestClass {
    for class in &CLASSES {
        if percent < class.percent {
            return class;
        }
        percent -= class.percent;
    }
    &CLASSES[0]
}

/// A prompt whose first two thirds are shared by a few groups of requests, and which names the length of
/// the answer that the stand-in gives.
fn messages(
    random: &mut ChaCha8Rng,
    class: &RequestClass,
    index: usize,
    words: usize,
    tokens: u32,
) -> Vec<ChatMessage> {
    let group = random.random_range(0..4);
    let shared = format!("{} {group} channel culvert depot ", class.workspace).repeat(words / 6);
    let tokens = random.random_range(tokens / 2..=tokens * 2);
    let own = "which of these to clear first ".repeat(words / 18 + 1);
    vec![
        ChatMessage { role: "system".to_owned(), content: shared },
        ChatMessage {
            role: "user".to_owned(),
            content: format!("request {index}: {own}[answer={tokens}]"),
        },
    ]
}

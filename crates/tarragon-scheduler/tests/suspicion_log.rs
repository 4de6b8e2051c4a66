//! Log of changed suspicions. It is the only test of its program, since others would use the same log statement
//! without a subscriber.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
    time::Instant,
};

use tarragon_protocol::peer::SuspectEntry;
use tarragon_scheduler::prelude::*;

const FINGERPRINT: Fingerprint = 666;

/// Text that the test has logged.
#[derive(Clone, Default)]
struct LoggedText(Arc<Mutex<Vec<u8>>>);

impl Write for LoggedText {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LoggedText {
    /// Level, and suspicion before and after, of each logged change.
    fn changes(&self) -> Vec<String> {
        let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
        let changes = text.lines().filter(|line| line.contains("suspicion of crashing targets"));
        let summary = |line: &str| {
            let is_shown = |word: &&str| {
                ["INFO", "DEBUG"].contains(word)
                    || word.starts_with("before=")
                    || word.starts_with("after=")
            };
            line.split_whitespace().filter(is_shown).collect::<Vec<_>>().join(" ")
        };
        changes.map(summary).collect()
    }
}

/// Guards against a log that is full of suspicions which hold nothing back, and against refusals whose cause can't
/// be found at the level info.
#[test]
fn only_changes_that_affect_requests_are_logged_at_info() {
    let text = LoggedText::default();
    let writer = text.clone();
    let subscriber = tracing_subscriber::fmt()
        .with_ansi(false)
        .with_max_level(tracing_subscriber::filter::LevelFilter::DEBUG)
        .with_writer(move || writer.clone())
        .finish();
    tracing::subscriber::with_default(subscriber, || {
        let mut scheduler = Scheduler::new(SchedulerLimits::default(), 7);
        let crashes = ["t0", "t1", "t2", "t3"].map(|target| (TargetName::from(target), 1));
        for known in [&crashes[..1], &crashes[..]] {
            let entry = SuspectEntry::of_request(FINGERPRINT, known.iter().cloned());
            let event = SchedulerEvent::SuspectReported(entry);
            scheduler.handle(Instant::now(), event, &mut Vec::new());
        }
    });
    let expected = ["DEBUG before=None after=Suspect", "INFO before=Suspect after=Convicted"];
    assert_eq!(text.changes(), expected);
}

//! Record of a run: a hash over all events, and the last of them in words.

use std::{collections::VecDeque, fmt, time::Duration};

use xxhash_rust::xxh3::Xxh3;

/// Events that are kept in words.
const KEPT_EVENTS: usize = 50;

/// Record of a run. Two runs with the same seed must give the same hash.
pub(crate) struct Journal {
    hasher: Xxh3,
    recent: VecDeque<String>,
    step: u64,
    echo: bool,
}

impl Journal {
    /// An empty journal. With `echo`, each event is also printed.
    pub(crate) fn new(echo: bool) -> Journal {
        Journal { hasher: Xxh3::new(), recent: VecDeque::new(), step: 0, echo }
    }

    /// Counts a step of the run.
    pub(crate) fn advance(&mut self) {
        self.step += 1;
    }

    /// Number of steps so far.
    pub(crate) fn step(&self) -> u64 {
        self.step
    }

    /// Adds an event.
    pub(crate) fn note(&mut self, now: Duration, event: fmt::Arguments<'_>) {
        let line = format!("{:11.6} #{} {event}", now.as_secs_f64(), self.step);
        self.hasher.update(line.as_bytes());
        if self.echo {
            println!("{line}");
        }
        if self.recent.len() == KEPT_EVENTS {
            self.recent.pop_front();
        }
        self.recent.push_back(line);
    }

    /// Hash over all events.
    pub(crate) fn hash(&self) -> u64 {
        self.hasher.digest()
    }

    /// The last events, the oldest first.
    pub(crate) fn recent(&self) -> Vec<String> {
        self.recent.iter().cloned().collect()
    }
}

//! How often published values are read, so that changes are in force within the bounds of the deployment.
//!
//! Three times add up to the age of what a process knows: a call that waits for a change on a connection that has
//! fallen silent, the calls that fail during an outage, and the time until a process that leaves the reading to
//! others does it itself. [`ReadTimes`] derives all of them from the bounds.

use std::time::Duration;

/// Times within which changes of published values have to be in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessBounds {
    /// From the acknowledgement of a change by operators until it is in force.
    pub change: Duration,
    /// From the end of a disruption until the other bounds hold again.
    pub contact: Duration,
    /// From the acknowledgement that a target leaves until it gets no more requests.
    pub leave: Duration,
}

impl Default for FreshnessBounds {
    fn default() -> FreshnessBounds {
        FreshnessBounds {
            change: Duration::from_secs(2),
            contact: Duration::from_secs(3),
            leave: Duration::from_secs(2),
        }
    }
}

/// Random factor on the interval between two listings.
pub const LISTING_JITTER: std::ops::Range<f64> = 0.9..1.1;
/// Random factor on the delay after a call that failed.
pub const RETRY_JITTER: std::ops::Range<f64> = 0.7..1.3;

/// Longest watch, and the age of the operator state above which other processes watch the store, as fractions of
/// the time in which a change has to be in force.
const WATCH_SHARE: f64 = 0.6;
const OPERATOR_AGE_SHARE: f64 = 0.7;
/// Watches end at random between this fraction of the longest one and the whole: any change ends the watches of
/// all processes at once, and one of them has to notice first that the store has fallen silent.
const WATCH_SPREAD: f64 = 0.6;
/// Silence after which a second call goes out on a new connection, as a fraction of the time in which a change has
/// to be in force. A slow store takes longer than a sound one, which answers within milliseconds.
const PATIENCE_SHARE: f64 = 0.125;
/// Interval at which a process that doesn't read the store itself checks whether it has to, as such a fraction, and
/// the longest one in any deployment.
const STANDBY_SHARE: f64 = 0.075;
const MAX_STANDBY_INTERVAL: Duration = Duration::from_millis(150);
/// Longest wait for an answer, and longest delay between two calls that fail, as fractions of the time after which
/// the bounds hold again.
const ANSWER_SHARE: f64 = 0.27;
const RETRY_SHARE: f64 = 0.27;
/// Longest delay between two calls that fail in any deployment.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Interval of listings, and the age of the listing above which other processes read it, as fractions of the time
/// in which a target gets no more requests after it has left; and the largest values in any deployment.
const LISTING_SHARE: f64 = 0.45;
const LISTING_AGE_SHARE: f64 = 0.7;
const MAX_LISTING_INTERVAL: Duration = Duration::from_millis(900);
const MAX_LISTING_AGE: Duration = Duration::from_millis(1_500);

/// Times of the calls to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadTimes {
    /// Longest wait of a watch for a change.
    pub watch: Duration,
    /// Silence after which a second call goes out on a new connection.
    pub patience: Duration,
    /// Longest wait for the answer to a read.
    pub answer: Duration,
    /// Longest delay before a failed call is retried.
    pub max_retry_delay: Duration,
    /// Interval of listings.
    pub listing_interval: Duration,
    /// Interval at which a process that doesn't read the store itself checks whether it has to.
    pub standby_check: Duration,
    /// Age of the operator state above which a process watches the store itself.
    pub max_operator_age: Duration,
    /// Age of the target listing above which a process reads the store itself.
    pub max_listing_age: Duration,
}

impl ReadTimes {
    /// The times for a deployment with these bounds.
    pub fn of(bounds: &FreshnessBounds) -> ReadTimes {
        let FreshnessBounds { change, contact, leave } = *bounds;
        ReadTimes {
            watch: change.mul_f64(WATCH_SHARE),
            patience: change.min(leave).mul_f64(PATIENCE_SHARE),
            answer: contact.mul_f64(ANSWER_SHARE),
            max_retry_delay: contact.mul_f64(RETRY_SHARE).min(MAX_RETRY_DELAY),
            listing_interval: leave.mul_f64(LISTING_SHARE).min(MAX_LISTING_INTERVAL),
            standby_check: change.min(leave).mul_f64(STANDBY_SHARE).min(MAX_STANDBY_INTERVAL),
            max_operator_age: change.mul_f64(OPERATOR_AGE_SHARE),
            max_listing_age: leave.mul_f64(LISTING_AGE_SHARE).min(MAX_LISTING_AGE),
        }
    }

    /// The wait of one watch, for a random number from 0 to 1.
    pub fn next_watch(&self, random: f64) -> Duration {
        self.watch.mul_f64(WATCH_SPREAD + (1.0 - WATCH_SPREAD) * random)
    }

    /// Longest time until a process that reads the store itself has a change, if its connection has fallen silent.
    pub fn silent_watch(&self) -> Duration {
        self.watch + 2 * self.patience
    }

    /// Longest time until such a process has a new listing, if its connection has fallen silent.
    pub fn silent_listing(&self) -> Duration {
        self.listing_interval.mul_f64(LISTING_JITTER.end) + 2 * self.patience
    }

    /// Longest time until a call succeeds after an outage of the store.
    pub fn after_outage(&self) -> Duration {
        self.answer + self.max_retry_delay.mul_f64(RETRY_JITTER.end) + self.patience
    }

    /// Longest time until a process has a change if the processes that read the store for it don't reach it.
    pub fn standby_change(&self) -> Duration {
        self.max_operator_age + self.standby_check + self.patience
    }

    /// The same for a listing.
    pub fn standby_listing(&self) -> Duration {
        self.max_listing_age + self.standby_check + self.patience
    }
}

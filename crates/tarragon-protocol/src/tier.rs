//! The four tiers of urgency.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Urgency of a request. The variants are in ascending order of priority: a higher tier is served first
/// and shed last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Tier {
    /// Work that can wait and is shed first.
    Routine,
    /// Ordinary interactive work.
    Normal,
    /// Work for which someone is waiting.
    High,
    /// Work that is served before all other.
    Urgent,
}

impl Tier {
    /// Number of tiers.
    pub const COUNT: usize = 4;

    /// All tiers, most urgent first.
    pub const DESCENDING: [Tier; Tier::COUNT] =
        [Tier::Urgent, Tier::High, Tier::Normal, Tier::Routine];

    /// Index in arrays with one element per tier; 0 is [`Tier::Routine`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// Name in headers, rules and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Tier::Routine => "routine",
            Tier::Normal => "normal",
            Tier::High => "high",
            Tier::Urgent => "urgent",
        }
    }
}

impl fmt::Display for Tier {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// Error for a text that is not the name of a tier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownTier;

impl fmt::Display for UnknownTier {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("expected one of urgent, high, normal, routine")
    }
}

impl std::error::Error for UnknownTier {}

impl FromStr for Tier {
    type Err = UnknownTier;

    fn from_str(text: &str) -> Result<Tier, UnknownTier> {
        Tier::DESCENDING.into_iter().find(|tier| tier.name() == text).ok_or(UnknownTier)
    }
}

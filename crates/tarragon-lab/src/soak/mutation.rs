//! Deliberate faults, each of which breaks one rule. They show that the checks can find something.

use std::str::FromStr;

/// A rule that is broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// A repeat of a ticketed call gets a new ticket of the VM where it arrives.
    RunRepeats,
    /// "Unknown" is passed on as "not-run".
    ClaimNotRun,
    /// Reports of cold targets are read as reports of warm ones.
    HideCold,
    /// Reports of leaving targets are read as reports of warm ones.
    HideLeaving,
    /// Processes read the rule that takes a data centre out as one that leaves it in.
    IgnoreOut,
    /// The most urgent tier is scheduled as the least urgent one and the other way round.
    InvertTiers,
    /// The last part of a generation is dropped.
    CutAnswers,
    /// A draining process ends at once.
    ExitAtOnce,
    /// A process forgets its configuration.
    ForgetVersion,
    /// News of configurations don't arrive.
    DropConfiguration,
    /// Refusals are not passed on.
    SwallowRefusals,
    /// Requests that crash targets can't be recognised when they are sent again, and callers do not wait
    /// as they are asked to.
    ChangeFingerprints,
}

impl Mutation {
    /// All mutations.
    pub const ALL: [Mutation; 12] = [
        Mutation::RunRepeats,
        Mutation::ClaimNotRun,
        Mutation::HideCold,
        Mutation::HideLeaving,
        Mutation::IgnoreOut,
        Mutation::InvertTiers,
        Mutation::CutAnswers,
        Mutation::ExitAtOnce,
        Mutation::ForgetVersion,
        Mutation::DropConfiguration,
        Mutation::SwallowRefusals,
        Mutation::ChangeFingerprints,
    ];

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Mutation::RunRepeats => "run-repeats",
            Mutation::ClaimNotRun => "claim-not-run",
            Mutation::HideCold => "hide-cold",
            Mutation::HideLeaving => "hide-leaving",
            Mutation::IgnoreOut => "ignore-out",
            Mutation::InvertTiers => "invert-tiers",
            Mutation::CutAnswers => "cut-answers",
            Mutation::ExitAtOnce => "exit-at-once",
            Mutation::ForgetVersion => "forget-version",
            Mutation::DropConfiguration => "drop-configuration",
            Mutation::SwallowRefusals => "swallow-refusals",
            Mutation::ChangeFingerprints => "change-fingerprints",
        }
    }
}

impl FromStr for Mutation {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Mutation> {
        let found = Mutation::ALL.into_iter().find(|mutation| mutation.name() == text);
        found.ok_or_else(|| anyhow::anyhow!("unknown mutation `{text}`"))
    }
}

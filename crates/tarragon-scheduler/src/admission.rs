//! Admission under overload: the plug-in interface and registry.

pub mod first_come;
pub mod tiered;

use crate::prelude::*;

/// Plug-in that is used where no rule names one.
pub const DEFAULT_ADMISSION: &str = "tiered";

/// Input of a plug-in.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionView {
    /// Tier of the new request.
    pub tier: Tier,
    /// Whether the queue has no room for the request, in entries or in tokens.
    pub full: bool,
    /// Lowest tier that waits, if anything waits.
    pub lowest_waiting: Option<Tier>,
    /// Highest shed floor in effect.
    pub floor: Tier,
}

/// Decision on a new request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionVerdict {
    /// It is queued.
    Admit,
    /// It is queued if shedding waiting requests makes room: those of lower tiers first, then those of its
    /// own tier that can't meet their deadline.
    Displace,
    /// It is refused because its tier is below the floor.
    BelowFloor,
    /// It is refused because there is no room.
    Refuse,
}

/// A plug-in that decides whether new requests are admitted under overload.
pub trait AdmitRequest {
    /// Name in rules.
    const NAME: &'static str;

    /// Whether the plug-in promises that lower tiers are shed first.
    const BY_TIER: bool;

    /// Decides on a new request.
    fn admit(view: AdmissionView) -> AdmissionVerdict;
}

/// A registered plug-in.
#[derive(Clone, Copy)]
pub struct AdmissionEntry {
    /// Name in rules.
    pub name: &'static str,
    /// See [`AdmitRequest::BY_TIER`].
    pub by_tier: bool,
    /// See [`AdmitRequest::admit`].
    pub admit: fn(AdmissionView) -> AdmissionVerdict,
}

impl AdmissionEntry {
    /// The entry of a plug-in.
    pub const fn of<P>() -> AdmissionEntry
    where
        P: AdmitRequest,
    {
        AdmissionEntry { name: P::NAME, by_tier: P::BY_TIER, admit: P::admit }
    }
}

inventory::collect!(AdmissionEntry);

/// The plug-in with this name.
pub fn find_admission(name: &str) -> Option<AdmissionEntry> {
    inventory::iter::<AdmissionEntry>.into_iter().find(|entry| entry.name == name).copied()
}

/// Names of all plug-ins, sorted.
pub fn admission_names() -> Vec<&'static str> {
    let mut names: Vec<_> =
        inventory::iter::<AdmissionEntry>.into_iter().map(|entry| entry.name).collect();
    names.sort_unstable();
    names
}

//! Default plug-in: the lowest tier is shed first.

use crate::admission::{AdmissionEntry, AdmissionVerdict, AdmissionView, AdmitRequest};

/// Refuses requests below the shed floor; a full queue sheds lower tiers in favour of higher ones.
pub struct TieredAdmission;

impl AdmitRequest for TieredAdmission {
    const NAME: &'static str = "tiered";
    const BY_TIER: bool = true;

    fn admit(view: AdmissionView) -> AdmissionVerdict {
        if view.tier < view.floor {
            return AdmissionVerdict::BelowFloor;
        }
        if !view.full {
            return AdmissionVerdict::Admit;
        }
        match view.lowest_waiting {
            Some(lowest) if lowest <= view.tier => AdmissionVerdict::Displace,
            _ => AdmissionVerdict::Refuse,
        }
    }
}

inventory::submit! { AdmissionEntry::of::<TieredAdmission>() }

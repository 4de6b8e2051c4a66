//! Default: the lowest tier is shed first.

use crate::admission::{AdmissionEntry, AdmissionVerdict, AdmissionView, AdmitRequest};

/// Refuses below the floor; a full queue makes room for the higher tier.
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

//! Baseline: requests are admitted in order of arrival, whatever their tier.

use crate::admission::{AdmissionEntry, AdmissionVerdict, AdmissionView, AdmitRequest};

/// Refuses new requests while the queue is full.
pub struct FirstCome;

impl AdmitRequest for FirstCome {
    const NAME: &'static str = "first-come";
    const BY_TIER: bool = false;

    fn admit(view: AdmissionView) -> AdmissionVerdict {
        if view.full { AdmissionVerdict::Refuse } else { AdmissionVerdict::Admit }
    }
}

inventory::submit! { AdmissionEntry::of::<FirstCome>() }

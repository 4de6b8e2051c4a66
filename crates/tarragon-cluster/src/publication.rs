//! The active configuration: taken from the platform or from peers, always complete, and never replaced
//! by an older one.

use std::{collections::VecDeque, sync::Arc};

use indexmap::IndexMap;
use tarragon_config::publication::{Configuration, content_hash};
use tarragon_protocol::{
    peer::PartSplice,
    platform::{ConfigurationManifest, ManifestPart},
};

use crate::{
    invariant::{Invariant, check_invariant},
    prelude::*,
};

/// Number of earlier versions that transfers to peers can build on. At 0.8 changes a second a peer that
/// gossips each second is a few versions behind. Unchanged parts share their text.
const MAX_RECENT_VERSIONS: usize = 16;

/// Text of the parts of one version, by name.
type PartTexts = IndexMap<String, Arc<str>>;

/// Parts of a version that was active earlier. Processes that are behind skip versions, so two processes
/// seldom have had the same ones.
#[derive(Debug, Clone)]
struct RecentVersion {
    version: ConfigurationVersion,
    texts: PartTexts,
    hashes: IndexMap<String, String>,
}

/// Result of offering a configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum OfferOutcome {
    /// It is active now.
    Applied(Arc<Configuration>),
    /// Parts with these names are needed first.
    NeedsParts(Vec<String>),
    /// It is the active version, or one that was refused before.
    Known,
    /// It is older than the active version. Counted.
    Older,
    /// It is not valid; the active version stays.
    Invalid(ConfigurationVersion, FindingList),
    /// The transfer builds on this version, which is not known here.
    WrongBase(ConfigurationVersion),
    /// A part does not match its hash, or the splices don't fit: read it again.
    Mismatch,
}

/// The active configuration, earlier versions, and the manifest whose parts are being fetched.
#[derive(Debug, Default)]
pub struct PublicationState {
    current: Option<Arc<Configuration>>,
    recent: VecDeque<RecentVersion>,
    hashes: IndexMap<String, String>,
    pending: Option<ConfigurationManifest>,
    refused: Option<ConfigurationVersion>,
    older_refused: u64,
    invalid_refused: u64,
}

impl PublicationState {
    /// The active configuration.
    pub fn current(&self) -> Option<&Arc<Configuration>> {
        self.current.as_ref()
    }

    /// Active version; 0 before the first.
    pub fn version(&self) -> ConfigurationVersion {
        self.current.as_ref().map_or(0, |configuration| configuration.version)
    }

    /// Highest version that has been validated, with either result.
    pub fn highest_checked_version(&self) -> ConfigurationVersion {
        self.version().max(self.refused.unwrap_or(0))
    }

    /// Offers refused because they were older.
    pub fn older_refused(&self) -> u64 {
        self.older_refused
    }

    /// Offers refused because they were not valid.
    pub fn invalid_refused(&self) -> u64 {
        self.invalid_refused
    }

    /// Offers a manifest from the platform.
    pub fn offer_manifest(&mut self, manifest: ConfigurationManifest) -> OfferOutcome {
        if let Some(outcome) = self.reject_not_newer(manifest.version) {
            return outcome;
        }
        let needed: Vec<String> = manifest
            .parts
            .iter()
            .filter(|part| self.hashes.get(&part.name) != Some(&part.hash))
            .map(|part| part.name.clone())
            .collect();
        if needed.is_empty() {
            return self.assemble(manifest, PartTexts::new());
        }
        self.pending = Some(manifest);
        OfferOutcome::NeedsParts(needed)
    }

    /// Offers the parts that the last manifest needs.
    pub fn offer_parts(&mut self, parts: Vec<(String, Arc<str>)>) -> OfferOutcome {
        let Some(manifest) = self.pending.take() else {
            return OfferOutcome::Known;
        };
        if let Some(outcome) = self.reject_not_newer(manifest.version) {
            return outcome;
        }
        let fits = parts.iter().all(|(name, text)| {
            let expected = manifest.parts.iter().find(|part| part.name == *name);
            expected.is_none_or(|part| part.hash == content_hash(text))
        });
        // A part that a lagging replica of the service did not have yet is read again. If the version
        // were refused instead, processes would differ in which versions they refuse.
        let complete = manifest.parts.iter().all(|part| {
            self.hashes.get(&part.name) == Some(&part.hash)
                || parts.iter().any(|(name, _)| *name == part.name)
        });
        if !fits || !complete {
            return OfferOutcome::Mismatch;
        }
        self.assemble(manifest, parts.into_iter().collect())
    }

    /// Offers a peer's answer to a pull.
    pub fn offer_transfer(&mut self, transfer: ConfigurationTransfer) -> OfferOutcome {
        if let Some(outcome) = self.reject_not_newer(transfer.version) {
            return outcome;
        }
        let Some((mut texts, mut hashes)) = self.parts_of(transfer.base) else {
            return OfferOutcome::WrongBase(transfer.base);
        };
        let names = if transfer.part_names.is_empty() {
            texts.keys().cloned().collect()
        } else {
            transfer.part_names
        };
        for splice in &transfer.splices {
            let old = texts.get(&splice.name).map_or("", |text| text);
            let Some(text) = apply_splice(old, splice) else {
                return OfferOutcome::Mismatch;
            };
            hashes.insert(splice.name.clone(), splice.hash.clone());
            texts.insert(splice.name.clone(), text);
        }
        let known =
            |name: String| hashes.get(&name).cloned().map(|hash| ManifestPart { name, hash });
        let parts: Option<Vec<ManifestPart>> = names.into_iter().map(known).collect();
        let Some(parts) = parts else {
            return OfferOutcome::Mismatch;
        };
        self.assemble(ConfigurationManifest { version: transfer.version, parts }, texts)
    }

    /// The version to name in the next pull after a transfer that built on a version not known here: the
    /// next lower known one, or 0 to get the whole configuration.
    pub fn version_below(&self, base: ConfigurationVersion) -> ConfigurationVersion {
        let known = self.recent.iter().map(|recent| recent.version);
        known.filter(|version| *version < base).max().unwrap_or(0)
    }

    /// The changes since version `have`, or since the next lower one that was active here, or the whole
    /// configuration. `None` if the peer is not behind.
    pub fn transfer_for(&self, have: ConfigurationVersion) -> Option<ConfigurationTransfer> {
        let current = self.current.as_ref()?;
        if have >= current.version {
            return None;
        }
        let none = PartTexts::new();
        let below = self.recent.iter().filter(|recent| recent.version <= have);
        let old = below.max_by_key(|recent| recent.version);
        let (base, old) = old.map_or((0, &none), |recent| (recent.version, &recent.texts));
        let changed = current.parts.iter().filter(|(name, text)| old.get(*name) != Some(text));
        let splices = changed
            .map(|(name, text)| {
                let hash = self.hashes.get(name).cloned().unwrap_or_else(|| content_hash(text));
                make_splice(name, old.get(name).map_or("", |text| text), text, hash)
            })
            .collect();
        let same_names = base != 0 && old.keys().eq(current.parts.keys());
        let part_names =
            if same_names { Vec::new() } else { current.parts.keys().cloned().collect() };
        Some(ConfigurationTransfer { base, version: current.version, part_names, splices })
    }

    fn reject_not_newer(&mut self, version: ConfigurationVersion) -> Option<OfferOutcome> {
        if version < self.version() {
            self.older_refused += 1;
            return Some(OfferOutcome::Older);
        }
        let known = version == self.version() || self.refused == Some(version);
        known.then_some(OfferOutcome::Known)
    }

    /// Texts and hashes of the parts of a version that is or was active; empty for version 0.
    fn parts_of(
        &self,
        version: ConfigurationVersion,
    ) -> Option<(PartTexts, IndexMap<String, String>)> {
        if version == 0 {
            return Some(Default::default());
        }
        if let Some(current) = self.current.as_ref().filter(|it| it.version == version) {
            return Some((current.parts.clone(), self.hashes.clone()));
        }
        let recent = self.recent.iter().find(|recent| recent.version == version)?;
        Some((recent.texts.clone(), recent.hashes.clone()))
    }

    /// Activates a configuration if it is valid. `new_parts` holds the parts that the active version
    /// lacks.
    fn assemble(
        &mut self,
        manifest: ConfigurationManifest,
        mut new_parts: PartTexts,
    ) -> OfferOutcome {
        if let Some(current) = &self.current {
            for part in &manifest.parts {
                if self.hashes.get(&part.name) == Some(&part.hash)
                    && let Some(text) = current.parts.get(&part.name)
                {
                    new_parts.entry(part.name.clone()).or_insert_with(|| text.clone());
                }
            }
        }
        match Configuration::assemble(&manifest, new_parts) {
            Ok(configuration) => self.activate(manifest, configuration),
            Err(findings) => {
                self.refused = Some(manifest.version);
                self.invalid_refused += 1;
                OfferOutcome::Invalid(manifest.version, findings)
            }
        }
    }

    fn activate(
        &mut self,
        manifest: ConfigurationManifest,
        configuration: Configuration,
    ) -> OfferOutcome {
        let rises = check_invariant(
            Invariant::ConfigurationVersionRises,
            configuration.version > self.version(),
            || format!("version {} after {}", configuration.version, self.version()),
        );
        if !rises {
            return OfferOutcome::Older;
        }
        if let Some(before) = self.current.take() {
            if self.recent.len() == MAX_RECENT_VERSIONS {
                self.recent.pop_front();
            }
            let hashes = std::mem::take(&mut self.hashes);
            let texts = before.parts.clone();
            self.recent.push_back(RecentVersion { version: before.version, texts, hashes });
        }
        self.hashes = manifest.parts.into_iter().map(|part| (part.name, part.hash)).collect();
        let configuration = Arc::new(configuration);
        self.current = Some(configuration.clone());
        OfferOutcome::Applied(configuration)
    }
}

/// The change from one text to another, cut at character boundaries.
fn make_splice(name: &str, old: &str, new: &str, hash: String) -> PartSplice {
    let limit = old.len().min(new.len());
    let pairs = old.bytes().zip(new.bytes());
    let mut keep_prefix = pairs.take_while(|(left, right)| left == right).count();
    while !new.is_char_boundary(keep_prefix) || !old.is_char_boundary(keep_prefix) {
        keep_prefix -= 1;
    }
    let pairs = old.bytes().rev().zip(new.bytes().rev()).take(limit - keep_prefix);
    let mut keep_suffix = pairs.take_while(|(left, right)| left == right).count();
    while !new.is_char_boundary(new.len() - keep_suffix)
        || !old.is_char_boundary(old.len() - keep_suffix)
    {
        keep_suffix -= 1;
    }
    let middle = new[keep_prefix..new.len() - keep_suffix].to_owned();
    PartSplice { name: name.to_owned(), keep_prefix, keep_suffix, middle, hash }
}

/// The new text, if the splice fits the old one and the result has the stated hash.
fn apply_splice(old: &str, splice: &PartSplice) -> Option<Arc<str>> {
    let kept = splice.keep_prefix.checked_add(splice.keep_suffix)?;
    if kept > old.len() {
        return None;
    }
    let prefix = old.get(..splice.keep_prefix)?;
    let suffix = old.get(old.len() - splice.keep_suffix..)?;
    let text = [prefix, &splice.middle, suffix].concat();
    (content_hash(&text) == splice.hash).then(|| text.into())
}

//! Text form of a digest: compact binary fields in base64.
//!
//! Digests, four a second, are the largest part of the control messages. Names are sorted and
//! prefix-compressed, since names of VMs and targets of one data centre mostly differ in their last
//! characters. Ages are rounded up to tenths of a second, so that a report never looks younger than it
//! is.

use std::fmt;

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use serde::{Deserialize, Serialize};
use tarragon_protocol::peer::{LoadEntry, LoadUpdate, MemberEntry};

use crate::prelude::*;

/// Greatest accepted length of the text in bytes.
const MAX_TEXT_BYTES: usize = 256 * 1024;

/// Unit of the ages of load entries, in milliseconds.
const AGE_UNIT_MS: u64 = 100;

/// Why a text is not a digest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DigestFault(&'static str);

impl fmt::Display for DigestFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the text is not a digest: {}", self.0)
    }
}

impl std::error::Error for DigestFault {}

#[derive(Serialize, Deserialize)]
struct WireDigest {
    vm: String,
    incarnation: [u8; 8],
    data_centre: String,
    peer_address: String,
    heartbeat: u64,
    vm_list_version: u64,
    configuration: u64,
    shed_floor: Tier,
    draining: bool,
    waiting: [u32; Tier::COUNT],
    members: Vec<WireMember>,
    loads: Vec<WireLoad>,
    load_updates: Vec<WireUpdate>,
    borrowed: Vec<u64>,
    suspects: Vec<SuspectEntry>,
    successors: Vec<SuccessorEntry>,
}

/// A name without the prefix that it shares with the preceding one. `shared` is the prefix's length in
/// bytes.
#[derive(Serialize, Deserialize)]
struct WireName {
    shared: u16,
    rest: String,
}

#[derive(Serialize, Deserialize)]
struct WireMember {
    name: WireName,
    /// Random, so that a variable-length encoding would take more bytes.
    incarnation: [u8; 8],
    heartbeat: u64,
    address: Option<String>,
}

#[derive(Serialize, Deserialize)]
struct WireLoad {
    name: WireName,
    restart: u64,
    state: TargetState,
    bears: u32,
    occupied: u32,
    age: u64,
}

#[derive(Serialize, Deserialize)]
struct WireUpdate {
    name: WireName,
    restart_check: [u8; 2],
    state: TargetState,
    bears: u32,
    occupied: u32,
    age: u64,
}

/// Encodes a digest as text.
pub fn encode_digest(digest: &GossipDigest) -> String {
    let wire = WireDigest {
        vm: digest.sender.vm.to_string(),
        incarnation: digest.sender.incarnation.to_le_bytes(),
        data_centre: digest.data_centre.to_string(),
        peer_address: digest.peer_address.clone(),
        heartbeat: digest.heartbeat,
        vm_list_version: digest.vm_list_version,
        configuration: digest.configuration,
        shed_floor: digest.shed_floor,
        draining: digest.draining,
        waiting: digest.waiting,
        members: encode_members(&digest.members),
        loads: encode_loads(&digest.loads),
        load_updates: encode_updates(&digest.load_updates),
        borrowed: digest.borrowed.clone(),
        suspects: digest.suspects.clone(),
        successors: digest.successors.clone(),
    };
    STANDARD_NO_PAD.encode(postcard::to_stdvec(&wire).expect("a digest has only plain fields"))
}

/// Decodes the text of a digest. Members and loads are sorted by name.
pub fn decode_digest(text: &str) -> Result<GossipDigest, DigestFault> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(DigestFault("it is too long"));
    }
    let bytes = STANDARD_NO_PAD.decode(text).map_err(|_| DigestFault("it is not base64"))?;
    let wire: WireDigest =
        postcard::from_bytes(&bytes).map_err(|_| DigestFault("a field can't be read"))?;
    let incarnation = Incarnation::from_le_bytes(wire.incarnation);
    Ok(GossipDigest {
        sender: PeerIdentity { vm: wire.vm.into(), incarnation },
        data_centre: wire.data_centre.into(),
        peer_address: wire.peer_address,
        heartbeat: wire.heartbeat,
        vm_list_version: wire.vm_list_version,
        configuration: wire.configuration,
        shed_floor: wire.shed_floor,
        draining: wire.draining,
        waiting: wire.waiting,
        members: decode_members(wire.members)?,
        loads: decode_loads(wire.loads)?,
        load_updates: decode_updates(wire.load_updates)?,
        borrowed: wire.borrowed,
        suspects: wire.suspects,
        successors: wire.successors,
    })
}

fn encode_members(members: &[MemberEntry]) -> Vec<WireMember> {
    let mut sorted: Vec<&MemberEntry> = members.iter().collect();
    sorted.sort_by(|left, right| left.peer.vm.cmp(&right.peer.vm));
    let mut names = NameWriter::default();
    let encode = |member: &MemberEntry| WireMember {
        name: names.write(&member.peer.vm),
        incarnation: member.peer.incarnation.to_le_bytes(),
        heartbeat: member.heartbeat,
        address: member.address.clone(),
    };
    sorted.into_iter().map(encode).collect()
}

fn encode_loads(loads: &[LoadEntry]) -> Vec<WireLoad> {
    let mut sorted: Vec<&LoadEntry> = loads.iter().collect();
    sorted.sort_by(|left, right| left.target.cmp(&right.target));
    let mut names = NameWriter::default();
    let encode = |load: &LoadEntry| WireLoad {
        name: names.write(&load.target),
        restart: load.restart_id,
        state: load.state,
        bears: load.capacity,
        occupied: load.occupied,
        age: load.age_ms.div_ceil(AGE_UNIT_MS),
    };
    sorted.into_iter().map(encode).collect()
}

fn encode_updates(updates: &[LoadUpdate]) -> Vec<WireUpdate> {
    let mut sorted: Vec<&LoadUpdate> = updates.iter().collect();
    sorted.sort_by(|left, right| left.target.cmp(&right.target));
    let mut names = NameWriter::default();
    let encode = |update: &LoadUpdate| WireUpdate {
        name: names.write(&update.target),
        restart_check: update.restart_id_hash,
        state: update.state,
        bears: update.capacity,
        occupied: update.occupied,
        age: update.age_ms.div_ceil(AGE_UNIT_MS),
    };
    sorted.into_iter().map(encode).collect()
}

fn decode_members(members: Vec<WireMember>) -> Result<Vec<MemberEntry>, DigestFault> {
    let mut names = NameReader::default();
    let decode = |member: WireMember| {
        let vm = names.read(&member.name)?;
        let incarnation = Incarnation::from_le_bytes(member.incarnation);
        let peer = PeerIdentity { vm, incarnation };
        Ok(MemberEntry { peer, heartbeat: member.heartbeat, address: member.address })
    };
    members.into_iter().map(decode).collect()
}

fn decode_loads(loads: Vec<WireLoad>) -> Result<Vec<LoadEntry>, DigestFault> {
    let mut names = NameReader::default();
    let decode = |load: WireLoad| {
        Ok(LoadEntry {
            target: names.read(&load.name)?,
            restart_id: load.restart,
            state: load.state,
            capacity: load.bears,
            occupied: load.occupied,
            age_ms: load.age.saturating_mul(AGE_UNIT_MS),
        })
    };
    loads.into_iter().map(decode).collect()
}

fn decode_updates(updates: Vec<WireUpdate>) -> Result<Vec<LoadUpdate>, DigestFault> {
    let mut names = NameReader::default();
    let decode = |update: WireUpdate| {
        Ok(LoadUpdate {
            target: names.read(&update.name)?,
            restart_id_hash: update.restart_check,
            state: update.state,
            capacity: update.bears,
            occupied: update.occupied,
            age_ms: update.age.saturating_mul(AGE_UNIT_MS),
        })
    };
    updates.into_iter().map(decode).collect()
}

#[derive(Default)]
struct NameWriter {
    before: String,
}

impl NameWriter {
    fn write(&mut self, name: &str) -> WireName {
        let pairs = self.before.bytes().zip(name.bytes());
        let mut shared = pairs.take_while(|(left, right)| left == right).count();
        shared = shared.min(u16::MAX as usize);
        while !name.is_char_boundary(shared) {
            shared -= 1;
        }
        self.before = name.to_owned();
        WireName { shared: shared as u16, rest: name[shared..].to_owned() }
    }
}

#[derive(Default)]
struct NameReader {
    before: String,
}

impl NameReader {
    fn read(&mut self, name: &WireName) -> Result<VmName, DigestFault> {
        let shared = self.before.get(..name.shared.into()).ok_or(DigestFault("a name is cut"))?;
        let whole = [shared, &name.rest].concat();
        self.before = whole.clone();
        Ok(whole.into())
    }
}

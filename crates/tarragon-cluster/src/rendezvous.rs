//! Rendezvous hashing: each member gets a score for a key, and the highest scores win. When a member
//! leaves, only the keys that it held move.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Seed for the scores of one key. The result is the same on every VM.
pub fn key_seed(key: &str) -> u64 {
    xxh3_64(key.as_bytes())
}

/// Score of a member for a key's seed.
pub fn score(seed: u64, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), seed)
}

/// Number of members that rank above `own` for a key: 0 if `own` ranks highest. Equal scores are ordered
/// by name.
pub fn rank<'a, Members>(key: &str, own: &str, members: Members) -> usize
where
    Members: IntoIterator<Item = &'a str>,
{
    let seed = key_seed(key);
    let own_score = (score(seed, own), own);
    members.into_iter().filter(|member| (score(seed, member), *member) > own_score).count()
}

/// All members, the highest-ranked first.
pub fn ranked<'a, Member, Name>(key: &str, members: &'a [Member], name: Name) -> Vec<&'a Member>
where
    Name: Fn(&Member) -> &str,
{
    let seed = key_seed(key);
    let mut ranked: Vec<&Member> = members.iter().collect();
    ranked.sort_by_cached_key(|member| {
        let name = name(member);
        std::cmp::Reverse((score(seed, name), name.to_owned()))
    });
    ranked
}

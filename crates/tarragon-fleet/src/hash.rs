//! Hashes of several texts that differ if any of the texts does.

use xxhash_rust::xxh3::Xxh3;

/// Adds a field with its length, so that fields can't pass into each other.
pub fn update_field(hasher: &mut Xxh3, field: &[u8]) {
    hasher.update(&(field.len() as u64).to_le_bytes());
    hasher.update(field);
}

/// Hash of a few texts.
pub fn hash_texts(texts: &[&str]) -> u64 {
    let mut hasher = Xxh3::new();
    texts.iter().for_each(|text| update_field(&mut hasher, text.as_bytes()));
    hasher.digest()
}

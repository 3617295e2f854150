//! The digest of a configuration version.

use std::{fmt::Write, sync::Arc};

use sha2::{Digest, Sha256};

use crate::{objects::ObjectSet, types::ConfigVersion};

/// SHA-256 of a version number and its set, in hexadecimal.
pub type ConfigDigest = Arc<str>;

/// Returns the digest of a version.
///
/// The number is part of it, so that a set cannot pass for another version.
/// Maps are ordered, so equal sets have equal digests.
///
/// # Panics
///
/// Never: a set has only text keys, which JSON can express.
#[must_use]
pub fn digest_objects(version: ConfigVersion, objects: &ObjectSet) -> ConfigDigest {
    let text = serde_json::to_vec(objects).expect("a set has only text keys");
    let mut hasher = Sha256::new();
    hasher.update(version.to_be_bytes());
    hasher.update(&text);
    let mut digest = String::with_capacity(2 * Sha256::output_size());
    for byte in hasher.finalize() {
        // Writing to a string does not fail.
        let _ = write!(digest, "{byte:02x}");
    }
    digest.into()
}

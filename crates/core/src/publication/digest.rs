//! Digests of configuration versions.

use std::{fmt::Write, sync::Arc};

use sha2::{Digest, Sha256};

use crate::{objects::ObjectSet, types::ConfigVersion};

/// SHA-256 of a version number and its set of objects, in lower-case hexadecimal.
pub type ConfigDigest = Arc<str>;

/// Returns the digest of a version with the given objects.
///
/// The digest covers the version number, so that a set is not accepted as another
/// version. Equal sets have equal digests, as all maps are ordered.
///
/// # Panics
///
/// Never: all map keys of a set are strings, so it can be written as JSON.
#[must_use]
pub fn digest_objects(version: ConfigVersion, objects: &ObjectSet) -> ConfigDigest {
    let text = serde_json::to_vec(objects).expect("all map keys are strings");
    let mut hasher = Sha256::new();
    hasher.update(version.to_be_bytes());
    hasher.update(&text);
    let mut digest = String::with_capacity(2 * Sha256::output_size());
    for byte in hasher.finalize() {
        // Writing to a `String` does not fail.
        let _ = write!(digest, "{byte:02x}");
    }
    digest.into()
}

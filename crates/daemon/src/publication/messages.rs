//! Messages of publication.

use auburnsaddle_core::{ConfigVersion, ObjectSet};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// A configuration as kept in the store.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PublishedConfig {
    /// Number of the version; zero before the first publication.
    pub(crate) version: ConfigVersion,
    /// All objects.
    pub(crate) objects: ObjectSet,
}

/// A configuration that was not published.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[non_exhaustive]
pub(crate) enum PublishError {
    /// Another operator published first.
    #[snafu(display(
        "version {found} is in force instead of the base version {base}; \
         merge its changes and apply again"
    ))]
    Conflict {
        /// The version that the operator saw.
        base: ConfigVersion,
        /// The version in force.
        found: ConfigVersion,
    },
}

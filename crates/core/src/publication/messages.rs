//! Events, actions and messages of configuration publication.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::digest::ConfigDigest;
use crate::{
    objects::{ObjectChange, ObjectDelta, ObjectProblem, ObjectSet},
    types::{ConfigVersion, DaemonId},
};

/// The newest version, as kept in the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigHead {
    /// The number of the version; zero before the first publication.
    pub version: ConfigVersion,
    /// The digest of the version's set of objects.
    pub digest: ConfigDigest,
}

/// A version as a delta to the previous version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDelta {
    /// The number of the version.
    pub version: ConfigVersion,
    /// The digest of the whole set after the change.
    pub digest: ConfigDigest,
    /// The changed objects.
    pub delta: ObjectDelta,
}

/// A version as a complete set of objects.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigSnapshot {
    /// The number of the version.
    pub version: ConfigVersion,
    /// The digest of the set of objects.
    pub digest: ConfigDigest,
    /// All objects.
    pub objects: ObjectSet,
}

/// The versions that a daemon that is behind fetches.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigPull {
    /// A snapshot to apply first, if the deltas do not reach back far enough.
    pub snapshot: Option<ConfigSnapshot>,
    /// The deltas, by ascending version.
    pub deltas: Vec<ConfigDelta>,
}

/// Where missing versions can be fetched.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigSource {
    /// The store, whose head has this version.
    Store(ConfigVersion),
    /// A peer daemon.
    Peer(DaemonId),
}

/// An input of [`ConfigState::handle`](super::ConfigState::handle).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigEvent {
    /// A source has announced this version, which may be newer than the one in
    /// force.
    VersionSeen(ConfigVersion, ConfigSource),
    /// Versions were fetched.
    Fetched(ConfigPull),
}

/// A request or report of [`ConfigState::handle`](super::ConfigState::handle).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigAction {
    /// Fetches the versions after `from`.
    Fetch {
        /// The version in force.
        from: ConfigVersion,
        /// Where to fetch them.
        source: ConfigSource,
    },
    /// A newer version is in force.
    InForce(ConfigVersion),
    /// A version was rejected; the version in force is unchanged.
    Rejected(ConfigVersion, ConfigRejection),
}

/// Why a version was rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
#[non_exhaustive]
pub enum ConfigRejection {
    /// The set of objects does not match its digest.
    #[snafu(display("the digest does not match; wait for a peer to pass the version on"))]
    Corrupted,
    /// The set of objects is not valid.
    #[snafu(display("{problem}; apply corrected objects"))]
    CheckFailed {
        /// The first problem found.
        problem: ObjectProblem,
    },
}

/// A new version, to be written to the store in one transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigUpdate {
    /// The head that the store must hold.
    pub previous: ConfigHead,
    /// The head to write.
    pub head: ConfigHead,
    /// The delta to write.
    pub delta: ConfigDelta,
    /// The snapshot to write, once per
    /// [`SNAPSHOT_INTERVAL`](super::SNAPSHOT_INTERVAL) versions.
    pub snapshot: Option<ConfigSnapshot>,
}

/// Why a set of objects was not published.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
#[non_exhaustive]
pub enum PublishError {
    /// Another version was published since the operator read the base version.
    #[snafu(display("version {found} is in force instead of the base version {base}"))]
    Conflict {
        /// The version on which the request is based.
        base: ConfigVersion,
        /// The version in force.
        found: ConfigVersion,
        /// The objects changed since the base version, as far as the history
        /// reaches.
        changes: Vec<ObjectChange>,
    },
    /// The set of objects is not valid.
    #[snafu(display("the objects are not valid"))]
    Invalid {
        /// All problems of the set, warnings excluded.
        problems: Vec<ObjectProblem>,
    },
    /// The set is equal to the one in force.
    #[snafu(display("version {version} has the same objects already"))]
    Unchanged {
        /// The version in force.
        version: ConfigVersion,
    },
}

/// An operator's request to publish objects.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PublishRequest {
    /// The version on which the request is based; it must be in force.
    pub base: ConfigVersion,
    /// All objects of the new version.
    pub objects: ObjectSet,
}

/// The reply to a successful publication.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PublishReply {
    /// The version that holds the published objects.
    pub version: ConfigVersion,
}

/// The reply to a request for the configuration in force.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ConfigReply {
    /// The version in force.
    pub version: ConfigVersion,
    /// All objects.
    pub objects: ObjectSet,
}

/// The status of a daemon and its peers, as shown to operators.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct StatusReply {
    /// The daemon that answers.
    pub daemon: DaemonId,
    /// The version in force at each daemon.
    pub versions: BTreeMap<DaemonId, ConfigVersion>,
    /// The owner of each shard.
    pub owners: BTreeMap<String, DaemonId>,
    /// Peers from which no heartbeat arrives.
    pub suspected: BTreeSet<DaemonId>,
    /// Shards that the answering daemon owns but cannot serve, with the reasons.
    pub unavailable: BTreeMap<String, String>,
}

/// The reply to a rejected request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct ErrorReply {
    /// The cause of the rejection.
    pub error: String,
    /// What the operator or caller can do.
    pub remedy: String,
    /// One line for each problem of the objects or each changed object.
    pub details: Vec<String>,
}

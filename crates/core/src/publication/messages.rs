//! Events, actions and messages of publication.

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
    /// Its number; zero before the first publication.
    pub version: ConfigVersion,
    /// The digest of its set.
    pub digest: ConfigDigest,
}

/// A version as the difference from the one before it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDelta {
    /// The number of the version.
    pub version: ConfigVersion,
    /// The digest of the whole set after the change.
    pub digest: ConfigDigest,
    /// What differs.
    pub delta: ObjectDelta,
}

/// A version as a whole set.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigSnapshot {
    /// The number of the version.
    pub version: ConfigVersion,
    /// The digest of the set.
    pub digest: ConfigDigest,
    /// All objects.
    pub objects: ObjectSet,
}

/// Versions for a daemon that is behind.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigPull {
    /// A whole set to start from, if the deltas alone do not reach back.
    pub snapshot: Option<ConfigSnapshot>,
    /// Deltas in order of version.
    pub deltas: Vec<ConfigDelta>,
}

/// Where missing versions can be had.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigSource {
    /// From the store, whose head has this version.
    Store(ConfigVersion),
    /// From a peer.
    Peer(DaemonId),
}

/// Something that happened to the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigEvent {
    /// A version higher than the one in force may be available.
    VersionSeen(ConfigVersion, ConfigSource),
    /// Versions were fetched.
    Fetched(ConfigPull),
}

/// Something to be done for the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigAction {
    /// Fetches the versions after `from`.
    Fetch {
        /// The version in force.
        from: ConfigVersion,
        /// Where to fetch.
        source: ConfigSource,
    },
    /// A new version is in force.
    InForce(ConfigVersion),
    /// A version was rejected; the one in force stays.
    Rejected(ConfigVersion, ConfigRejection),
}

/// Why a version was rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
#[non_exhaustive]
pub enum ConfigRejection {
    /// The set does not match its digest.
    #[snafu(display("the digest does not match; wait for a peer to pass the version on"))]
    Corrupted,
    /// The set does not pass the check.
    #[snafu(display("{problem}; apply corrected objects"))]
    CheckFailed {
        /// The first problem of the set.
        problem: ObjectProblem,
    },
}

/// A version that is ready to be written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigUpdate {
    /// The head that must be in the store.
    pub previous: ConfigHead,
    /// The head to write.
    pub head: ConfigHead,
    /// The delta to write.
    pub delta: ConfigDelta,
    /// The whole set, at versions that get a snapshot.
    pub snapshot: Option<ConfigSnapshot>,
}

/// A set that was not published.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
#[non_exhaustive]
pub enum PublishError {
    /// Another operator published first.
    #[snafu(display("version {found} is in force instead of the base version {base}"))]
    Conflict {
        /// The version that the operator saw.
        base: ConfigVersion,
        /// The version in force.
        found: ConfigVersion,
        /// The objects changed since the base, as far as they are known.
        changes: Vec<ObjectChange>,
    },
    /// The set does not pass the check.
    #[snafu(display("the objects are not valid"))]
    Invalid {
        /// Everything that is wrong.
        problems: Vec<ObjectProblem>,
    },
    /// The set is the one in force.
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
    /// The version that the operator saw.
    pub base: ConfigVersion,
    /// All objects.
    pub objects: ObjectSet,
}

/// The version that holds the published objects.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PublishReply {
    /// Its number.
    pub version: ConfigVersion,
}

/// The configuration in force.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ConfigReply {
    /// Its version.
    pub version: ConfigVersion,
    /// All objects.
    pub objects: ObjectSet,
}

/// What a daemon tells operators about itself and its peers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct StatusReply {
    /// The daemon that answers.
    pub daemon: DaemonId,
    /// Versions in force by daemon.
    pub versions: BTreeMap<DaemonId, ConfigVersion>,
    /// Owners by shard.
    pub owners: BTreeMap<String, DaemonId>,
    /// Peers from which no heartbeat arrives.
    pub suspected: BTreeSet<DaemonId>,
    /// Shards of the answering daemon that cannot be served, with the reasons.
    pub unavailable: BTreeMap<String, String>,
}

/// A request that a daemon rejected.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct ErrorReply {
    /// What went wrong.
    pub error: String,
    /// What to do next.
    pub remedy: String,
    /// Details, one to a line: problems of objects, or changed objects.
    pub details: Vec<String>,
}

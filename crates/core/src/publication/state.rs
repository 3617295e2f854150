//! The version in force and the transitions to newer versions.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    digest::{ConfigDigest, digest_objects},
    messages::{
        ConfigAction, ConfigDelta, ConfigEvent, ConfigHead, ConfigPull, ConfigRejection,
        ConfigSnapshot, ConfigSource, ConfigUpdate, PublishError,
    },
};
use crate::{
    objects::{ObjectChange, ObjectDelta, ObjectSet, check_objects},
    types::ConfigVersion,
};

/// Number of versions from one snapshot to the next.
///
/// A daemon that starts reads one snapshot and, on average, 16 deltas of about
/// 1 KB each.
pub const SNAPSHOT_INTERVAL: ConfigVersion = 32;

/// Number of deltas kept for peers that are behind and for the lists of changes in
/// conflicts: about 0.3 MB, or three hours at 2,300 changes a day.
const MAX_HISTORY_DELTAS: usize = 288;

/// Time after which a fetch without result is repeated from the other kind of
/// source; from the same kind it is repeated after twice this time. A single lost
/// fetch thus leaves time within the 7 s in which a version must be in force, and
/// a version that is corrupted in the store is fetched from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of changed objects up to which a peer receives deltas even if the whole
/// set is smaller. Unlike a snapshot, deltas extend its history, from which it
/// lists the changes in conflicts.
const ALWAYS_DELTA_OBJECTS: usize = 256;

/// The version in force at one daemon, with its recent history.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    version: ConfigVersion,
    digest: ConfigDigest,
    objects: Arc<ObjectSet>,
    history: BTreeMap<ConfigVersion, HistoryEntry>,
    fetch: Option<FetchAttempt>,
}

/// The latest fetch that has not yet brought a newer version into force.
#[derive(Clone, Debug)]
struct FetchAttempt {
    started_at: Duration,
    source: ConfigSource,
}

/// An applied delta, with the changes relative to the previous version.
#[derive(Clone, Debug)]
struct HistoryEntry {
    delta: ConfigDelta,
    changes: Vec<ObjectChange>,
}

impl ConfigState {
    /// Returns the version in force; zero before the first publication.
    #[must_use]
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the objects in force.
    #[must_use]
    pub const fn objects(&self) -> &Arc<ObjectSet> {
        &self.objects
    }

    /// Returns the number and the digest of the version in force.
    #[must_use]
    pub fn head(&self) -> ConfigHead {
        ConfigHead {
            version: self.version,
            digest: self.digest.clone(),
        }
    }

    /// Applies an event and returns the resulting actions.
    pub fn handle(&mut self, event: ConfigEvent, now: Duration) -> Vec<ConfigAction> {
        match event {
            ConfigEvent::VersionSeen(version, source) => self.fetch_if_newer(version, source, now),
            ConfigEvent::Fetched(pull) => self.apply_pull(pull),
        }
    }

    /// Prepares the publication of `objects` as the version after `base`.
    ///
    /// # Errors
    ///
    /// Returns an error if `base` is not the version in force, or if the set is
    /// invalid or unchanged.
    pub fn prepare(
        &self,
        base: ConfigVersion,
        objects: ObjectSet,
    ) -> Result<ConfigUpdate, PublishError> {
        if base != self.version {
            return Err(self.conflict(base));
        }
        let mut problems = check_objects(&objects);
        problems.retain(|problem| !problem.kind.is_warning());
        if !problems.is_empty() {
            return Err(PublishError::Invalid { problems });
        }
        let delta = ObjectDelta::between(&self.objects, &objects);
        if delta.is_empty() && self.version > 0 {
            return Err(PublishError::Unchanged {
                version: self.version,
            });
        }
        Ok(self.next_update(delta, objects))
    }

    /// Returns the error for a request based on `base` when another version is in
    /// force. It lists the objects changed since `base` as far as the history
    /// reaches.
    #[must_use]
    pub fn conflict(&self, base: ConfigVersion) -> PublishError {
        let later = self.history.range(base.saturating_add(1)..);
        let mut changes = BTreeMap::new();
        for change in later.flat_map(|(_, entry)| &entry.changes) {
            changes.insert(change.object.clone(), change.clone());
        }
        PublishError::Conflict {
            base,
            found: self.version,
            changes: changes.into_values().collect(),
        }
    }

    /// Returns the versions after `from` for a daemon that is behind.
    ///
    /// A snapshot replaces the deltas if the history does not reach back to `from`
    /// or if the deltas hold more objects than the set, so that the size of the
    /// message is bounded.
    #[must_use]
    pub fn pull(&self, from: ConfigVersion) -> ConfigPull {
        if from >= self.version {
            return ConfigPull::default();
        }
        let later = self.history.range(from + 1..);
        let deltas: Vec<_> = later.map(|(_, entry)| entry.delta.clone()).collect();
        let reaches_back = deltas
            .first()
            .is_some_and(|first| first.version == from + 1);
        let changed_objects: usize = deltas.iter().map(|delta| delta.delta.len()).sum();
        if reaches_back && changed_objects <= self.objects.len().max(ALWAYS_DELTA_OBJECTS) {
            return ConfigPull {
                snapshot: None,
                deltas,
            };
        }
        ConfigPull {
            snapshot: Some(self.snapshot()),
            deltas: Vec::new(),
        }
    }

    fn snapshot(&self) -> ConfigSnapshot {
        ConfigSnapshot {
            version: self.version,
            digest: self.digest.clone(),
            objects: self.objects.as_ref().clone(),
        }
    }

    fn next_update(&self, delta: ObjectDelta, objects: ObjectSet) -> ConfigUpdate {
        let version = self.version + 1;
        let digest = digest_objects(version, &objects);
        ConfigUpdate {
            previous: self.head(),
            head: ConfigHead {
                version,
                digest: digest.clone(),
            },
            delta: ConfigDelta {
                version,
                digest: digest.clone(),
                delta,
            },
            snapshot: version
                .is_multiple_of(SNAPSHOT_INTERVAL)
                .then_some(ConfigSnapshot {
                    version,
                    digest,
                    objects,
                }),
        }
    }

    /// Starts a fetch of a newer version, unless the latest fetch has not timed out
    /// yet.
    fn fetch_if_newer(
        &mut self,
        version: ConfigVersion,
        source: ConfigSource,
        now: Duration,
    ) -> Vec<ConfigAction> {
        let is_fetch_pending = self
            .fetch
            .as_ref()
            .is_some_and(|fetch| now < fetch.retry_at(&source));
        if version <= self.version || is_fetch_pending {
            return Vec::new();
        }
        self.fetch = Some(FetchAttempt {
            started_at: now,
            source: source.clone(),
        });
        vec![ConfigAction::Fetch {
            from: self.version,
            source,
        }]
    }

    /// Applies fetched versions and drops those that do not follow the version in
    /// force.
    fn apply_pull(&mut self, pull: ConfigPull) -> Vec<ConfigAction> {
        let before = self.version;
        let mut actions = Vec::new();
        match pull.snapshot {
            Some(snapshot) if snapshot.version > self.version => {
                actions.extend(self.apply_snapshot(snapshot));
            }
            _ => {}
        }
        for delta in pull.deltas {
            if delta.version == self.version + 1 {
                actions.extend(self.apply_delta(delta));
            }
        }
        // A fetch without progress counts as pending until its timeout, so that
        // a corrupted version is not fetched again at every poll.
        if self.version > before {
            self.fetch = None;
            actions.push(ConfigAction::InForce(self.version));
        }
        actions
    }

    fn apply_snapshot(&mut self, snapshot: ConfigSnapshot) -> Option<ConfigAction> {
        let ConfigSnapshot {
            version,
            digest,
            objects,
        } = snapshot;
        if let Err(reason) = verify_version(version, &digest, &objects) {
            return Some(ConfigAction::Rejected(version, reason));
        }
        // With a gap in the history the list of changes would be incomplete.
        self.history.clear();
        self.install_version(version, digest, objects);
        None
    }

    fn apply_delta(&mut self, delta: ConfigDelta) -> Option<ConfigAction> {
        let objects = delta.delta.apply(&self.objects);
        if let Err(reason) = verify_version(delta.version, &delta.digest, &objects) {
            return Some(ConfigAction::Rejected(delta.version, reason));
        }
        let changes = delta.delta.changes(&self.objects);
        self.install_version(delta.version, delta.digest.clone(), objects);
        self.history
            .insert(delta.version, HistoryEntry { delta, changes });
        while self.history.len() > MAX_HISTORY_DELTAS {
            self.history.pop_first();
        }
        None
    }

    fn install_version(
        &mut self,
        version: ConfigVersion,
        digest: ConfigDigest,
        objects: ObjectSet,
    ) {
        self.version = version;
        self.digest = digest;
        self.objects = Arc::new(objects);
    }
}

impl FetchAttempt {
    /// Returns the earliest time of another fetch, from `source`.
    fn retry_at(&self, source: &ConfigSource) -> Duration {
        let wait = match (&self.source, source) {
            (ConfigSource::Store(_), ConfigSource::Store(_))
            | (ConfigSource::Peer(_), ConfigSource::Peer(_)) => 2 * FETCH_TIMEOUT,
            _ => FETCH_TIMEOUT,
        };
        self.started_at.saturating_add(wait)
    }
}

/// Checks the digest and the validity of a version.
fn verify_version(
    version: ConfigVersion,
    digest: &ConfigDigest,
    objects: &ObjectSet,
) -> Result<(), ConfigRejection> {
    if digest_objects(version, objects) != *digest {
        return Err(ConfigRejection::Corrupted);
    }
    let mut problems = check_objects(objects).into_iter();
    match problems.find(|problem| !problem.kind.is_warning()) {
        Some(problem) => Err(ConfigRejection::CheckFailed { problem }),
        None => Ok(()),
    }
}

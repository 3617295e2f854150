//! The version in force and the way to the next one.

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

/// Versions from one snapshot to the next.
///
/// A start reads one snapshot and on average 16 deltas of about 1 KB.
pub const SNAPSHOT_INTERVAL: ConfigVersion = 32;

/// Deltas kept for peers and for conflicts; about 0.3 MB, three hours of
/// changes at 2,300 a day.
const HISTORY_LENGTH: usize = 288;

/// Time after which a fetch without result is repeated from another kind of
/// source; the same kind is asked again after twice this time. One loss is thus made good
/// within the 7 s in which a version must be in force, and a version that is
/// corrupted in the store is fetched from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Objects that a peer gets in deltas even if the whole set is smaller; deltas
/// leave it the list of changes for conflicts.
const MIN_PULL_OBJECTS: usize = 256;

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    version: ConfigVersion,
    digest: ConfigDigest,
    objects: Arc<ObjectSet>,
    history: BTreeMap<ConfigVersion, RecordedChange>,
    fetch: Option<FetchAttempt>,
}

/// The latest fetch, until it brings a version into force.
#[derive(Clone, Debug)]
struct FetchAttempt {
    since: Duration,
    source: ConfigSource,
}

#[derive(Clone, Debug)]
struct RecordedChange {
    delta: ConfigDelta,
    changes: Vec<ObjectChange>,
}

impl ConfigState {
    /// Returns the version in force; zero before the first one.
    #[must_use]
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the objects in force.
    #[must_use]
    pub const fn objects(&self) -> &Arc<ObjectSet> {
        &self.objects
    }

    /// Returns the head that corresponds to the version in force.
    #[must_use]
    pub fn head(&self) -> ConfigHead {
        ConfigHead {
            version: self.version,
            digest: self.digest.clone(),
        }
    }

    /// Applies an event and returns what to do.
    pub fn handle(&mut self, event: ConfigEvent, now: Duration) -> Vec<ConfigAction> {
        match event {
            ConfigEvent::VersionSeen(version, source) => self.note_version(version, source, now),
            ConfigEvent::Fetched(pull) => self.accept(pull),
        }
    }

    /// Prepares the version after `base`.
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

    /// Returns the conflict of an operator who saw `base`, with the objects
    /// changed since then as far as the history reaches.
    #[must_use]
    pub fn conflict(&self, base: ConfigVersion) -> PublishError {
        let later = self.history.range(base.saturating_add(1)..);
        let mut changes = BTreeMap::new();
        for change in later.flat_map(|(_, recorded)| &recorded.changes) {
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
    /// The whole set takes the place of deltas that do not reach back, or that
    /// hold more objects than the set, so that the message stays bounded.
    #[must_use]
    pub fn pull(&self, from: ConfigVersion) -> ConfigPull {
        if from >= self.version {
            return ConfigPull::default();
        }
        let later = self.history.range(from + 1..);
        let deltas: Vec<_> = later.map(|(_, recorded)| recorded.delta.clone()).collect();
        let reaches_back = deltas
            .first()
            .is_some_and(|first| first.version == from + 1);
        let size: usize = deltas.iter().map(|delta| delta.delta.len()).sum();
        if reaches_back && size <= self.objects.len().max(MIN_PULL_OBJECTS) {
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

    fn note_version(
        &mut self,
        version: ConfigVersion,
        source: ConfigSource,
        now: Duration,
    ) -> Vec<ConfigAction> {
        let is_waiting = self
            .fetch
            .as_ref()
            .is_some_and(|fetch| now < fetch.retry_at(&source));
        if version <= self.version || is_waiting {
            return Vec::new();
        }
        self.fetch = Some(FetchAttempt {
            since: now,
            source: source.clone(),
        });
        vec![ConfigAction::Fetch {
            from: self.version,
            source,
        }]
    }

    fn accept(&mut self, pull: ConfigPull) -> Vec<ConfigAction> {
        let before = self.version;
        let mut actions = Vec::new();
        match pull.snapshot {
            Some(snapshot) if snapshot.version > self.version => {
                actions.extend(self.accept_snapshot(snapshot));
            }
            _ => {}
        }
        for delta in pull.deltas {
            if delta.version == self.version + 1 {
                actions.extend(self.accept_delta(delta));
            }
        }
        // A fetch without progress counts as under way until its timeout, so
        // that a corrupted version is not read again at every poll.
        if self.version > before {
            self.fetch = None;
            actions.push(ConfigAction::InForce(self.version));
        }
        actions
    }

    fn accept_snapshot(&mut self, snapshot: ConfigSnapshot) -> Option<ConfigAction> {
        let ConfigSnapshot {
            version,
            digest,
            objects,
        } = snapshot;
        if let Err(reason) = verify(version, &digest, &objects) {
            return Some(ConfigAction::Rejected(version, reason));
        }
        // Deltas before a gap would give an incomplete list of changes.
        self.history.clear();
        self.take(version, digest, objects);
        None
    }

    fn accept_delta(&mut self, delta: ConfigDelta) -> Option<ConfigAction> {
        let objects = delta.delta.apply(&self.objects);
        if let Err(reason) = verify(delta.version, &delta.digest, &objects) {
            return Some(ConfigAction::Rejected(delta.version, reason));
        }
        let changes = delta.delta.changes(&self.objects);
        self.take(delta.version, delta.digest.clone(), objects);
        self.history
            .insert(delta.version, RecordedChange { delta, changes });
        while self.history.len() > HISTORY_LENGTH {
            self.history.pop_first();
        }
        None
    }

    fn take(&mut self, version: ConfigVersion, digest: ConfigDigest, objects: ObjectSet) {
        self.version = version;
        self.digest = digest;
        self.objects = Arc::new(objects);
    }
}

impl FetchAttempt {
    /// Returns when a fetch from `source` may follow this one.
    fn retry_at(&self, source: &ConfigSource) -> Duration {
        let wait = match (&self.source, source) {
            (ConfigSource::Store(_), ConfigSource::Store(_))
            | (ConfigSource::Peer(_), ConfigSource::Peer(_)) => 2 * FETCH_TIMEOUT,
            _ => FETCH_TIMEOUT,
        };
        self.since.saturating_add(wait)
    }
}

fn verify(
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

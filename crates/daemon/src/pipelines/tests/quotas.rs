//! Tests of the transactions that change the allotments of teams.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use auburnsaddle_core::{
    PipelineEvent, QuotaOutcome, ResourceCap, ResourceVector, StepSpec, TeamTable, TeamTerms,
};
use auburnsaddle_platform::{MANIFEST_KEY, StoreTransaction, TransactionOutcome};

use super::{
    super::{CellKey, OwnedShard, StoredJob, quotas::quota_event},
    empty_shard, job, service_id, shard_settings,
};

/// Revision of the owner's key in the fixtures.
const OWNER_REVISION: u64 = 40;

/// Revision of the manifest.
const MANIFEST_REVISION: u64 = 12;

/// Returns the terms of a team with a cap on its CPU.
fn capped_team() -> TeamTable {
    let cap = ResourceCap {
        cpu_milli: Some(16_000),
        ..ResourceCap::default()
    };
    TeamTable::from([("red".into(), TeamTerms { weight: 1, cap })])
}

/// Returns a shard with a job of the team that waits for an allotment.
fn shard_with_waiting_job() -> OwnedShard {
    let mut settings = shard_settings();
    settings.enforces_caps = true;
    let mut shard = OwnedShard::new(empty_shard(), settings, Duration::ZERO);
    let spec = StoredJob {
        steps: vec![StepSpec {
            count: 2,
            demand: ResourceVector::new(1_000, 10, 0),
            ..StepSpec::default()
        }],
        team: Some("red".into()),
        ..job()
    };
    let confirmed = PipelineEvent::OwnershipConfirmed(Duration::from_mins(1));
    let teams = PipelineEvent::TeamsChanged(Arc::new(capped_team()));
    let read = PipelineEvent::QuotasRead(1, BTreeMap::new());
    let stored = PipelineEvent::Stored(1, Arc::new(spec), None);
    for event in [confirmed, teams, read, stored] {
        shard.handle(event, Duration::ZERO);
    }
    shard.state.schedule(Duration::ZERO);
    shard
}

/// Returns the revision that a transaction expects of a key.
fn expected(transaction: &StoreTransaction, key: &str) -> Option<u64> {
    let conditions = transaction.expected.iter();
    let mut conditions = conditions.filter(|(other, _)| other == key);
    conditions.next().map(|(_, revision)| *revision)
}

/// Guards against a raise by a replaced owner, or by an owner that does not know of a lower cap.
#[test]
fn a_raise_expects_the_owner_the_manifest_and_the_record() {
    let mut shard = shard_with_waiting_job();

    let transaction = shard.next_quota_write(MANIFEST_REVISION, Duration::ZERO);

    let transaction = transaction.unwrap();
    let owner_key = CellKey::Owner(service_id()).path();
    let quota_key = CellKey::Quota("red".into()).path();
    assert_eq!(expected(&transaction, &owner_key), Some(OWNER_REVISION));
    assert_eq!(
        expected(&transaction, MANIFEST_KEY),
        Some(MANIFEST_REVISION)
    );
    assert_eq!(expected(&transaction, &quota_key), Some(0));
    assert_eq!(transaction.puts.len(), 1);
}

/// Guards against an owner that waits for a change for good whose outcome is unknown.
#[test]
fn a_change_without_an_outcome_is_made_again() {
    let mut shard = shard_with_waiting_job();
    let first = shard.next_quota_write(MANIFEST_REVISION, Duration::ZERO);

    let pending = shard.next_quota_write(MANIFEST_REVISION, Duration::from_secs(1));
    let event = quota_event(&TransactionOutcome::Unknown);
    shard.handle(event.clone(), Duration::from_secs(1));
    let second = shard.next_quota_write(MANIFEST_REVISION, Duration::from_secs(1));

    assert_eq!(event, PipelineEvent::QuotaWritten(QuotaOutcome::Unknown));
    assert_eq!(pending, None);
    assert_eq!(second, first);
}

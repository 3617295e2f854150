//! Tests of ownership.

use std::{collections::BTreeMap, time::Duration};

use super::{OwnerRecord, OwnerTable, OwnershipAction, OwnershipEvent};
use crate::types::ShardName;

fn shard() -> ShardName {
    ShardName::Pool("sales".into())
}

fn record(daemon: &str, epoch: u64) -> OwnerRecord {
    OwnerRecord {
        daemon: daemon.into(),
        epoch,
    }
}

fn table(owner: Option<OwnerRecord>) -> OwnerTable {
    let mut table = OwnerTable::new("a".into());
    let owners = owner.into_iter().map(|record| (shard(), record)).collect();
    let candidates = BTreeMap::from([("a".into(), "z1".into())]);
    table.handle(
        OwnershipEvent::CandidatesChanged(candidates),
        Duration::ZERO,
    );
    table.handle(OwnershipEvent::OwnersRead(owners), Duration::ZERO);
    table
}

/// Guards against two owners with one epoch.
#[test]
fn takeover_raises_the_epoch() {
    let mut table = table(Some(record("b", 4)));
    table.handle(
        OwnershipEvent::ShardsChanged([shard()].into()),
        Duration::ZERO,
    );

    let actions = table.handle(
        OwnershipEvent::DaemonsDead(["b".into()].into()),
        Duration::ZERO,
    );

    let claim = OwnershipAction::Claim {
        shard: shard(),
        expected: Some(record("b", 4)),
        next: record("a", 5),
    };
    assert_eq!(actions, vec![claim]);
}

/// Guards against a delayed reading that brings a former owner back.
#[test]
fn older_epochs_are_ignored() {
    let mut table = table(Some(record("a", 5)));

    let owners = BTreeMap::from([(shard(), record("b", 4))]);
    let actions = table.handle(OwnershipEvent::OwnersRead(owners), Duration::ZERO);

    assert_eq!(actions, vec![]);
    assert_eq!(table.owned_epoch(&shard()), Some(5));
}

use std::{collections::BTreeMap, time::Duration};

use auburnsaddle_core::UNCONFIRMED_RENEWAL_TIME;
use proptest::prelude::*;

use super::{
    EXTENSION_END_DELAY, EpochNotice, EpochRegister, ExtensionPermit, WitnessEntry, WitnessList,
    choose_witnesses,
};

/// Time of the latest confirmation by the store in the tests.
const STORE_CONFIRMED_AT: Duration = Duration::from_secs(50);

fn entry(daemon: &str, registration: u64) -> WitnessEntry {
    WitnessEntry {
        daemon: daemon.to_owned(),
        address: format!("{daemon}:1"),
        registration,
    }
}

/// Returns the entries of this many daemons, named `d0`, `d1` and so on.
fn entries(count: usize) -> Vec<WitnessEntry> {
    let entries = (0..count).map(|index| entry(&format!("d{index}"), 10));
    entries.collect()
}

/// Returns the permit of an owner that the store has confirmed.
fn permit(entries: Vec<WitnessEntry>) -> ExtensionPermit {
    permit_for(list(entries))
}

fn list(entries: Vec<WitnessEntry>) -> WitnessList {
    WitnessList {
        epoch: 4,
        entries,
        is_alone: false,
    }
}

/// Like [`permit`], for any list.
fn permit_for(list: WitnessList) -> ExtensionPermit {
    let mut permit = ExtensionPermit::new(list);
    permit.confirm_by_store(STORE_CONFIRMED_AT, STORE_CONFIRMED_AT);
    permit
}

fn notice(epoch: u64) -> EpochNotice {
    EpochNotice {
        service: "sales".into(),
        epoch,
    }
}

/// Guards against a witness that confirms an owner after a later one was announced to it.
#[test]
fn a_witness_answers_with_the_highest_epoch() {
    let mut register = EpochRegister::default();

    let answers = [4, 6, 5].map(|epoch| register.raise(&notice(epoch)));
    let other = register.raise(&EpochNotice {
        service: "settlement".into(),
        epoch: 2,
    });

    assert_eq!((answers, other), ([4, 6, 6], 2));
}

/// Guards against leases that an owner extends without the store on the word of a minority, which a
/// successor may not have asked, and against the end of all runs in an outage of the store although a
/// majority of the daemons, the owner among them, is alive.
#[test]
fn a_majority_of_all_daemons_permits_extensions() {
    for daemons in 2..9 {
        let mut permit = permit(entries(daemons - 1));
        let before = permit.until();
        let others = daemons / 2;
        let later = STORE_CONFIRMED_AT + Duration::from_secs(3);

        let limits = (0..others).map(|index| {
            permit.confirm_by_witness(&format!("d{index}"), 10, later);
            permit.until()
        });
        let limits: Vec<Duration> = limits.collect();

        let (last, earlier) = limits.split_last().unwrap();
        assert!(earlier.iter().all(|limit| *limit == before));
        assert_eq!(*last, before + Duration::from_secs(3));
    }
}

/// Guards against an owner that half of its witnesses let extend leases for longer than a successor
/// waits which cannot reach them, and against the end of all runs in an outage of the store that
/// every daemon survives.
#[test]
fn only_all_witnesses_permit_extensions_for_long() {
    let mut permit = permit(entries(4));
    let confirm = |permit: &mut ExtensionPermit, daemons: &[&str], seconds| {
        let sent_at = STORE_CONFIRMED_AT + Duration::from_secs(seconds);
        for daemon in daemons {
            permit.confirm_by_witness(daemon, 10, sent_at);
        }
        permit.until().saturating_sub(STORE_CONFIRMED_AT)
    };

    let half = confirm(&mut permit, &["d0", "d1"], 3);
    let late_half = confirm(&mut permit, &["d0", "d1", "d2"], 9);
    let all = confirm(&mut permit, &["d0", "d1", "d2", "d3"], 9);

    let expected = [3_900, 4_000, 9_900].map(Duration::from_millis);
    assert_eq!([half, late_half, all], expected);
}

/// Guards against a confirmation by a witness that has forgotten the later owner in a restart.
#[test]
fn a_witness_that_has_restarted_does_not_count() {
    let mut permit = permit(entries(1));
    let before = permit.until();

    permit.confirm_by_witness("d0", 11, STORE_CONFIRMED_AT + Duration::from_secs(3));
    permit.confirm_by_witness("d9", 10, STORE_CONFIRMED_AT + Duration::from_secs(3));

    assert_eq!(permit.until(), before);
}

/// Guards against the end of all runs in an outage of the store if there has been no other daemon for
/// long, and against a successor that waits for an owner which had none for a moment only.
#[test]
fn only_an_owner_that_is_alone_for_long_extends_leases_by_itself() {
    let alone = WitnessList {
        is_alone: true,
        ..list(Vec::new())
    };
    let mut joining = permit_for(alone.clone());
    joining.begin_change(list(entries(2)));
    let taken_over_at = STORE_CONFIRMED_AT * 2;

    let limits = [permit_for(alone.clone()), permit(Vec::new()), joining].map(|p| p.until());
    let fences = [alone, list(Vec::new())].map(|list| list.fenced_at(taken_over_at, |_| None));

    let by_itself = STORE_CONFIRMED_AT + UNCONFIRMED_RENEWAL_TIME;
    let by_store = permit(entries(1)).until();
    assert_eq!(limits, [by_itself, by_store, by_store]);
    assert_eq!(fences, [None, Some(taken_over_at)]);
}

/// Guards against extensions that a successor does not know of, because it reads the list of a
/// commit that has no outcome yet.
#[test]
fn both_lists_count_until_the_outcome_of_a_change_is_known() {
    let mut permit = permit(entries(1));
    let later = STORE_CONFIRMED_AT + Duration::from_secs(3);
    let next = list(vec![entry("d7", 20)]);

    permit.begin_change(next);
    let before = permit.until();
    permit.confirm_by_witness("d0", 10, later);
    let former_only = permit.until();
    permit.confirm_by_witness("d7", 20, later);
    let both = permit.until();
    permit.finish_change();
    permit.confirm_by_witness("d0", 10, later * 2);

    assert_eq!(former_only, before);
    assert_eq!(both, before + Duration::from_secs(3));
    assert_eq!(permit.until(), both);
}

/// Guards against calls to the witnesses while the store answers, and against none while it does not.
#[test]
fn witnesses_are_asked_while_the_store_is_silent() {
    let permit = permit(entries(3));
    let asked = |after_ms| {
        let now = STORE_CONFIRMED_AT + Duration::from_millis(after_ms);
        permit.witnesses_to_ask(now).len()
    };

    assert_eq!([500, 700, 9_900, 10_000].map(asked), [0, 3, 3, 0]);
}

/// Guards against a daemon that counts itself, and against witnesses that change with the order in
/// which daemons join.
#[test]
fn witnesses_are_other_daemons_in_a_fixed_order() {
    let mut daemons = entries(40);

    let chosen = choose_witnesses(&"sales".into(), "d3", daemons.clone());
    daemons.reverse();
    let again = choose_witnesses(&"sales".into(), "d3", daemons);

    assert_eq!(chosen, again);
    assert_eq!(chosen.len(), 31);
    assert!(chosen.iter().all(|entry| entry.daemon != "d3"));
}

proptest! {
    /// Guards against an owner that extends leases after its successor counts them as not extended:
    /// each witness confirms the owner up to the time at which the successor reaches it.
    #[test]
    fn no_extension_is_permitted_after_the_witnesses_fence_the_owner(
        acked_ms in prop::collection::vec(prop::option::of(0_u64..5_000), 1..12),
        asked_ms in prop::collection::vec(0_u64..6_000, 1..60),
    ) {
        let entries = entries(acked_ms.len());
        let acked_at: BTreeMap<String, Duration> = entries
            .iter()
            .zip(&acked_ms)
            .filter_map(|(entry, acked)| {
                Some((entry.daemon.clone(), STORE_CONFIRMED_AT + Duration::from_millis((*acked)?)))
            })
            .collect();
        let list = list(entries.clone());
        let mut permit = permit(entries.clone());
        for asked in asked_ms {
            let sent_at = STORE_CONFIRMED_AT + Duration::from_millis(asked);
            for entry in &entries {
                if acked_at.get(&entry.daemon).is_none_or(|acked| sent_at < *acked) {
                    permit.confirm_by_witness(&entry.daemon, 10, sent_at);
                }
            }
        }

        let fenced_at = list.fenced_at(STORE_CONFIRMED_AT, |entry| acked_at.get(&entry.daemon).copied());

        if let Some(fenced_at) = fenced_at {
            prop_assert!(permit.until() <= fenced_at + EXTENSION_END_DELAY);
        }
    }

    /// Guards against an owner that extends leases after a successor which reaches only some of its
    /// witnesses counts them as not extended. The clock of the owner is 2 % slow, and the store has
    /// confirmed the owner up to the takeover.
    #[test]
    fn no_extension_is_permitted_after_one_witness_fences_the_owner(
        acked_ms in prop::collection::vec(prop::option::of(0_u64..9_000), 1..12),
        asked_ms in prop::collection::vec(0_u64..12_000, 1..60),
    ) {
        let entries = entries(acked_ms.len());
        let acked_at: BTreeMap<String, Duration> = entries
            .iter()
            .zip(&acked_ms)
            .filter_map(|(entry, acked)| {
                Some((entry.daemon.clone(), STORE_CONFIRMED_AT + Duration::from_millis((*acked)?)))
            })
            .collect();
        let list = list(entries.clone());
        let mut permit = permit(entries.clone());
        for asked in asked_ms {
            let sent_at = STORE_CONFIRMED_AT + Duration::from_millis(asked);
            let owner_clock = STORE_CONFIRMED_AT + Duration::from_millis(asked) * 98 / 100;
            for entry in &entries {
                if acked_at.get(&entry.daemon).is_none_or(|acked| sent_at < *acked) {
                    permit.confirm_by_witness(&entry.daemon, 10, owner_clock);
                }
            }
        }

        let fenced_at = list.partly_fenced_at(STORE_CONFIRMED_AT, |entry| {
            acked_at.get(&entry.daemon).copied()
        });

        if let Some(fenced_at) = fenced_at {
            let permitted = permit.until().saturating_sub(STORE_CONFIRMED_AT) * 100 / 98;
            prop_assert!(STORE_CONFIRMED_AT + permitted <= fenced_at);
        }
    }
}

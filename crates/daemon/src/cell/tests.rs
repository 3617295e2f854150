use std::collections::{BTreeMap, BTreeSet};

use super::control::relay_order;

/// Guards against relaying all calls through the first daemon of the list, whatever
/// its processors, when many daemons lose the store at once.
#[test]
fn relayed_calls_are_spread_over_the_daemons_with_most_processors() {
    let strong = (0..6).map(|index| (format!("strong-{index}"), 500));
    let weak = (0..34).map(|index| (format!("weak-{index}"), 120));
    let cpu_by_daemon: BTreeMap<String, u64> = strong.chain(weak).collect();

    let orders = (0..34).map(|index| relay_order(&format!("weak-{index}"), &cpu_by_daemon));
    let orders: Vec<Vec<&str>> = orders.collect();

    assert!(orders.iter().all(|order| order.len() == 39));
    assert!(
        orders
            .iter()
            .all(|order| order[..6].iter().all(|row| row.starts_with("strong")))
    );
    let first: BTreeSet<&str> = orders.iter().map(|order| order[0]).collect();
    assert!(first.len() >= 5, "{first:?}");
}

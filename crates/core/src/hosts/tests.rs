//! Tests of the host table.

use super::{HostEntry, HostKind, HostState, HostTable};
use crate::types::ResourceVector;

fn runner(name: &str, state: HostState) -> HostEntry {
    HostEntry {
        name: name.into(),
        kind: HostKind::Runner,
        pool: "sales".into(),
        service: Some("settlement".into()),
        zone: "z1".into(),
        rack: "k1".into(),
        address: "127.0.0.1:1".into(),
        state,
        capacity: ResourceVector::default(),
        slots: 8,
    }
}

/// Guards against new calls to a host that is about to be removed.
#[test]
fn leaving_runners_are_not_live() {
    let mut table = HostTable::default();

    table.replace(vec![
        runner("a", HostState::Live),
        runner("b", HostState::Leaving),
    ]);

    let live = table.live_runners(&"settlement".into(), &"z1".into());
    assert_eq!(live, vec![runner("a", HostState::Live)]);
}

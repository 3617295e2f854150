//! Tests of parsing, validating and comparing objects.

use expect_test::expect;

use super::{ObjectDelta, ObjectLoader, ObjectReport};

const POOL: &str = "
[[pool]]
name = 'general'
region = 'r1'
zones = ['z1']
shapes = [{ count = 2, rack_size = 2, capacity = { cpu_milli = 4000, memory_mib = 8192 } }]
";

const TEAM: &str = "
[[team]]
name = 'crew'
quota = { cpu_milli = 100000, memory_mib = 100000 }
";

fn work(kind: &str, name: &str, fields: &str) -> String {
    format!(
        "[[{kind}]]\nname = '{name}'\npool = 'general'\nteam = 'crew'\n\
         request = {{ cpu_milli = 1000, memory_mib = 512 }}\n{fields}\n"
    )
}

fn load(text: &str) -> ObjectReport {
    let mut loader = ObjectLoader::default();
    loader.add("base.toml", &format!("{POOL}{TEAM}"));
    loader.add("a.toml", text);
    loader.finish()
}

fn problems(text: &str) -> String {
    let problems = load(text).problems;
    let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Guards against a check that stops at the first problem or omits its location.
#[test]
fn all_problems_are_reported_with_file_object_and_remedy() {
    let text = [
        "[[pool]]\nname = 'general'\nregion = 'r2'\nzones = ['z1']",
        "[[pool]]\nname = 'empty'\nregion = 'r1'",
        "[[service]]\nname = 'Photo check'\npool = 'nowhere'\nurgent_share_percent = 101",
        "[[service]]\nname = 'orders'",
        "[[team]]\nname = 'greedy'\nquota = { cpu_milli = 1 }\nguaranteed = { cpu_milli = 2 }",
        "[[market]]\nname = 'north'\nregion = 'r9'\nservices = ['orders']\ngangs = ['x']",
        "[[task]]\nname = 'bad'\ncount = -1",
        "[[frob]]\nname = 'x'",
    ]
    .join("\n");

    let found = problems(&text);

    expect![[r"
        a.toml: `frob` is no kind of object; correct the text or the field that is named
        a.toml: pool `general`: defined twice, first in base.toml; rename or remove one of the two
        a.toml: task `bad`: invalid value: integer `-1`, expected u64 in `count`; correct the text or the field that is named
        a.toml: market `north`: refers to gang `x`, which is not defined; define it or correct the name
        a.toml: pool `empty`: `zones` is missing; add it
        a.toml: service `Photo check`: `Photo check` is no valid name; use 1 to 63 characters of a-z, 0-9 and `-`
        a.toml: service `Photo check`: refers to pool `nowhere`, which is not defined; define it or correct the name
        a.toml: service `Photo check`: `urgent_share_percent` is 101; use a value from 0 to 100
        a.toml: service `orders`: `pool` is missing; add it
        a.toml: team `greedy`: `guaranteed` is over `quota`; raise the quota or lower the guarantee"]]
    .assert_eq(&found);
}

/// Guards against batch runs that wait for each other forever.
#[test]
fn each_dependency_cycle_is_reported_once() {
    let text = work("batch", "a", "after = ['b']")
        + &work("batch", "b", "after = ['c']")
        + &work("batch", "c", "after = ['a']")
        + &work("batch", "d", "after = ['a', 'd']");

    let found = problems(&text);

    expect![[r"
        a.toml: batch `a`: waits for itself through a -> b -> c -> a; remove one `after`
        a.toml: batch `d`: waits for itself through d -> d; remove one `after`"]]
    .assert_eq(&found);
}

/// Guards against accepted work that its pool can never run.
#[test]
fn work_larger_than_its_pool_is_rejected() {
    let text = work("gang", "wide", "count = 9")
        + &work("gang", "fits", "count = 8")
        + "[[task]]\nname = 'tall'\npool = 'general'\nteam = 'crew'\n\
           request = { cpu_milli = 5000, memory_mib = 1 }\n";

    let found = problems(&text);

    expect![[r"
        a.toml: gang `wide`: pool `general` holds 8 of 9 tasks at once; lower `count` or `request`, or declare more hosts
        a.toml: task `tall`: no host of pool `general` can hold one task; lower `request` or declare larger hosts"]]
    .assert_eq(&found);
}

/// Guards against guarantees that exceed the capacity of all pools.
#[test]
fn guarantees_above_the_total_capacity_are_rejected() {
    let text = "[[team]]\nname = 'big'\nquota = { cpu_milli = 9000 }\n\
                guaranteed = { cpu_milli = 9000 }";

    let found = problems(text);

    expect!["all teams together are guaranteed 9000 cpu_milli of 8000 in all pools; lower guarantees or declare more hosts"].assert_eq(&found);
}

/// Guards against a market that depends on another region, which it cannot reach
/// during a partition.
#[test]
fn market_with_objects_of_another_region_is_rejected() {
    let text =
        work("batch", "count", "") + "[[market]]\nname = 'far'\nregion = 'r2'\nbatches = ['count']";

    let found = problems(&text);

    expect![
        "a.toml: market `far`: uses batch `count` in region `r1`; use an object of region `r2`"
    ]
    .assert_eq(&found);
}

/// Guards against work whose attempts must not overlap on targets that cannot list
/// their tasks.
#[test]
fn exclusive_work_needs_targets_that_list_their_tasks() {
    let pool = "[[pool]]\nname = 'blind'\nregion = 'r1'\nzones = ['z1']\n\
                targets_list_tasks = false\n";
    let watch = work("task", "watch", "").replace("general", "blind");
    let again = work("task", "again", "restart = 'anytime'").replace("general", "blind");

    let report = load(&format!("{pool}{watch}{again}"));

    assert_eq!(report.problems.len(), 1, "{:?}", report.problems);
    assert!(report.problems[0].to_string().contains("task `watch`"));
}

/// Guards against rejection of a large pool, which only deserves a warning.
#[test]
fn large_pool_is_a_warning() {
    let text = "[[pool]]\nname = 'wide'\nregion = 'r1'\nzones = ['z1']\n\
                shapes = [{ count = 201, rack_size = 5, capacity = { cpu_milli = 1, memory_mib = 1 } }]";

    let report = load(text);

    assert!(report.is_valid());
    assert_eq!(report.problems.len(), 1);
}

/// Guards against a delta that misses an addition, a change or a removal.
#[test]
fn delta_transforms_the_older_set_into_the_newer() {
    let older = load(&(work("batch", "a", "") + &work("batch", "b", ""))).set;
    let newer = load(&(work("batch", "b", "count = 2") + &work("task", "c", ""))).set;

    let delta = ObjectDelta::between(&older, &newer);
    let changes: Vec<_> = delta
        .changes(&older)
        .iter()
        .map(ToString::to_string)
        .collect();

    assert_eq!(delta.apply(&older), newer);
    assert_eq!(
        changes,
        ["removed batch `a`", "changed batch `b`", "added task `c`"]
    );
}

/// Guards against a misspelt field that is silently ignored.
#[test]
fn unknown_fields_are_rejected() {
    let text = "[[pool]]\nname = 'other'\nregion = 'r1'\nzones = ['z1']\nzonse = []";

    let found = problems(text);

    assert!(found.contains("unknown field `zonse`"), "{found}");
}

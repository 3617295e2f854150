//! Tests of the check of the cap of a team.

use std::time::{Duration, Instant};

use crate::{JobRecord, RunRecord, SoakHistory, SubmitOutcome, check_history};

/// Returns a history of jobs of the team with a cap, whose tasks run at the same time.
fn capped_history(start: Instant, count: u64) -> SoakHistory {
    let mut history = SoakHistory {
        team_cap: 3_000,
        ..SoakHistory::default()
    };
    for id in 1..=count {
        let job = JobRecord {
            tasks_per_step: vec![1],
            is_capped: true,
            cpu: 1_000,
            outcomes: vec![SubmitOutcome::Accepted],
            state: Some("completed".to_owned()),
            ..JobRecord::default()
        };
        history.jobs.insert(id, job);
        history.runs.push(RunRecord {
            worker: usize::try_from(id).unwrap(),
            task: (id, 0, 0),
            began_at: start + Duration::from_millis(id),
            ended: Some((start + Duration::from_secs(1), "done")),
            kind: String::new(),
            is_for_former_instance: false,
            renewed_at: Some(start),
        });
    }
    history
}

/// Guards against a check that does not notice a team above its cap, or that forbids the one task more
/// that is allowed.
#[test]
fn a_team_above_its_cap_breaks_a_promise() {
    let start = Instant::now();

    let allowed = check_history(&capped_history(start, 4), 4_000);
    let above = check_history(&capped_history(start, 5), 4_000);

    assert_eq!(allowed, Vec::new());
    assert_eq!(above.len(), 1);
    assert_eq!(above[0].promise, "a team keeps to its cap");
}

use std::time::{Duration, Instant};

use super::UnresolvedJobs;

/// Guards against a set of jobs that grows for as long as the daemon runs.
#[test]
fn unresolved_jobs_are_forgotten_once_their_callers_have_given_up() {
    let (jobs, started_at) = (UnresolvedJobs::default(), Instant::now());
    let later = started_at + Duration::from_mins(2);

    jobs.insert(1, started_at);
    jobs.insert(2, later);

    assert!(jobs.contains(2, later));
    assert!(!jobs.contains(1, later));
    assert!(!jobs.contains(3, later));
}

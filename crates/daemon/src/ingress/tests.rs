mod access;
mod intake;

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

/// Guards against a job that counts as undecided although its submission has an outcome.
#[test]
fn an_unresolved_job_is_forgotten_once_its_submission_has_an_outcome() {
    let (jobs, now) = (UnresolvedJobs::default(), Instant::now());
    jobs.insert(1, now);
    jobs.insert(2, now);

    jobs.remove(1);

    assert!(!jobs.contains(1, now));
    assert!(jobs.contains(2, now));
}

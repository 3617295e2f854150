//! Tests of the health table.

use super::{HealthAction, HealthConfig, HealthEvent, HealthTable};

fn table(targets: u32) -> HealthTable<u32, u32> {
    let mut table = HealthTable::new(HealthConfig::default());
    for target in 0..targets {
        table.handle(HealthEvent::TargetAdded(target));
    }
    table
}

fn fail(
    table: &mut HealthTable<u32, u32>,
    target: u32,
    jobs: &[u32],
) -> Vec<HealthAction<u32, u32>> {
    jobs.iter()
        .flat_map(|job| table.handle(HealthEvent::Failed(target, *job)))
        .collect()
}

/// Guards against a worker that fails all jobs and still receives new ones, and
/// against probation for the retries of one job.
#[test]
fn failures_of_different_jobs_put_a_worker_on_probation() {
    let mut table = table(10);

    let same_job = fail(&mut table, 0, &[1, 1, 1]);
    let different = fail(&mut table, 1, &[2, 3, 4]);

    assert_eq!(same_job, vec![]);
    assert_eq!(different, vec![HealthAction::Probation(1)]);
}

/// Guards against a recovered worker that stays on probation.
#[test]
fn consecutive_successes_end_a_probation() {
    let mut table = table(10);
    fail(&mut table, 1, &[2, 3, 4]);

    let actions: Vec<_> = (0..3)
        .flat_map(|job| table.handle(HealthEvent::Succeeded(1, job)))
        .collect();

    assert_eq!(actions, vec![HealthAction::Restored(1)]);
    assert!(!table.is_on_probation(&1));
}

/// Guards against most of a pool being put on probation by a common fault.
#[test]
fn at_most_a_fifth_of_the_pool_is_on_probation() {
    let mut table = table(10);

    for target in 0..10 {
        fail(
            &mut table,
            target,
            &[target * 3, target * 3 + 1, target * 3 + 2],
        );
    }

    assert_eq!(table.probation_len(), 2);
}

/// Guards against a faulty job that puts working workers on probation.
#[test]
fn a_job_that_fails_on_many_workers_puts_none_on_probation() {
    let mut table = table(10);
    fail(&mut table, 0, &[1, 2]);

    let actions: Vec<_> = [1, 2, 0]
        .iter()
        .flat_map(|target| fail(&mut table, *target, &[9]))
        .collect();

    assert_eq!(actions, vec![HealthAction::FailJob(9)]);
    assert!(!table.is_on_probation(&0));
}

/// Guards against a worker whose many failures are never consecutive.
#[test]
fn a_high_failure_rate_puts_a_worker_on_probation() {
    let mut table = table(10);
    for job in 0..200 {
        table.handle(HealthEvent::Succeeded(1 + job % 9, job));
    }

    let actions: Vec<_> = (0..20)
        .flat_map(|job| {
            table.handle(HealthEvent::Succeeded(0, 1_000 + job));
            fail(&mut table, 0, &[2_000 + job])
        })
        .collect();

    assert_eq!(actions, vec![HealthAction::Probation(0)]);
}

use std::time::Duration;

use auburnsaddle_core::{PipelineId, PipelinePhase, ServiceId};
use auburnsaddle_platform::{StoreItem, StoreTransaction, TransactionOutcome};

use super::{EndedJobs, JobSummary, JobTable};

/// Time for which the summaries of ended jobs are kept.
const RETENTION: Duration = Duration::from_secs(5);

/// A time at which the summaries that were read at the start are due to be removed.
const DUE: Duration = Duration::from_secs(10);

fn summary(phase: PipelinePhase) -> JobSummary {
    JobSummary {
        service: "sales".into(),
        queue: "tokens".to_owned(),
        phase,
        is_scheduled: false,
        team: None,
    }
}

/// Guards against a delayed update that turns a completed job into a running one.
#[test]
fn an_earlier_phase_does_not_replace_a_later_one() {
    let mut table = JobTable::default();
    table.insert(1, summary(PipelinePhase::Completed));

    table.insert(1, summary(PipelinePhase::Running));

    assert_eq!(
        table.get(1).map(|row| row.phase),
        Some(PipelinePhase::Completed)
    );
}

/// Guards against counting a job once for each update, or after it has started.
#[test]
fn a_waiting_job_is_counted_once_until_it_starts() {
    let mut table = JobTable::default();
    table.insert(1, summary(PipelinePhase::Queued));
    table.insert(1, summary(PipelinePhase::Queued));
    table.insert(2, summary(PipelinePhase::Queued));

    table.insert(2, summary(PipelinePhase::Running));

    assert_eq!(table.waiting("tokens"), 1);
}

fn summary_key(id: PipelineId) -> String {
    format!("phase/{id}")
}

/// Returns ended jobs that were read from the store at the start, with these identifiers and
/// revisions.
fn ended_jobs(jobs: &[(PipelineId, u64)]) -> EndedJobs {
    let mut ended = EndedJobs::default();
    for (id, revision) in jobs {
        let summary = summary(PipelinePhase::Completed);
        ended.update(*id, &summary, *revision, Duration::ZERO);
    }
    ended
}

/// Starts a removal by the owner of all services.
fn next_removal(ended: &mut EndedJobs, now: Duration) -> Option<StoreTransaction> {
    let is_removable = |_, _: &ServiceId| true;
    ended.next_removal(RETENTION, now, is_removable, summary_key)
}

/// Guards against summaries that stay in the store for good, or are removed before the time for
/// which callers may ask for them.
#[test]
fn a_summary_is_removed_after_its_retention_in_the_revision_that_was_read() {
    let mut ended = ended_jobs(&[(1, 11), (2, 12)]);

    let early = next_removal(&mut ended, RETENTION);
    let due = next_removal(&mut ended, DUE);
    ended.finish_removal(&TransactionOutcome::Done(20), summary_key);
    let later = next_removal(&mut ended, DUE * 2);

    assert_eq!(early, None);
    let due = due.unwrap();
    let expected = [("phase/1".to_owned(), 11), ("phase/2".to_owned(), 12)];
    assert_eq!(due.expected, expected);
    assert_eq!(due.removals, ["phase/1", "phase/2"]);
    assert_eq!(later, None);
}

/// Guards against the removal of the summary of a job that was submitted again.
#[test]
fn a_summary_that_was_written_again_is_not_removed() {
    let mut ended = ended_jobs(&[(1, 11), (2, 12)]);
    ended.update(1, &summary(PipelinePhase::Queued), 15, DUE);

    let removal = next_removal(&mut ended, DUE);

    assert_eq!(removal.unwrap().removals, ["phase/2"]);
}

/// Guards against removals that fail for good since one of their summaries has changed.
#[test]
fn a_conflict_removes_only_the_changed_summaries_from_the_next_removal() {
    let mut ended = ended_jobs(&[(1, 11), (2, 12)]);
    let unchanged = StoreItem {
        key: summary_key(2),
        value: Vec::new(),
        revision: 12,
    };

    next_removal(&mut ended, DUE);
    let outcome = TransactionOutcome::Conflict(vec![unchanged]);
    ended.finish_removal(&outcome, summary_key);
    let repeated = next_removal(&mut ended, DUE * 2);

    assert_eq!(repeated.unwrap().removals, ["phase/2"]);
}

/// Guards against summaries that a removal without an outcome leaves in the store, and against
/// several removals at a time.
#[test]
fn a_removal_without_an_outcome_is_repeated_alone() {
    let mut ended = ended_jobs(&[(1, 11)]);

    let first = next_removal(&mut ended, DUE);
    let second = next_removal(&mut ended, DUE * 2);
    ended.finish_removal(&TransactionOutcome::Unknown, summary_key);
    let repeated = next_removal(&mut ended, DUE * 2);

    assert_eq!(second, None);
    assert_eq!(repeated, first);
}

/// Guards against a mark that is removed before a late submission has failed on it, and against
/// one that stays in the store for good.
#[test]
fn the_mark_of_a_cancelled_job_is_kept_for_a_minute() {
    let mut ended = EndedJobs::default();
    let mark = JobSummary::mark("sales".into(), None);
    ended.update(1, &mark, 11, Duration::ZERO);

    let early = next_removal(&mut ended, Duration::from_mins(1));
    let due = next_removal(&mut ended, Duration::from_secs(65));

    assert_eq!(early, None);
    assert_eq!(due.unwrap().expected, [("phase/1".to_owned(), 11)]);
}

/// Guards against a job that nobody submitted and that is shown as cancelled, and against the
/// memory of each daemon for it.
#[test]
fn a_mark_is_not_shown_as_a_job() {
    let mut table = JobTable::default();

    table.insert(1, JobSummary::mark("sales".into(), None));
    table.insert(2, summary(PipelinePhase::Cancelled));

    assert_eq!((table.get(1), table.len()), (None, 1));
}

use auburnsaddle_core::PipelinePhase;

use super::{JobSummary, JobTable};

fn summary(phase: PipelinePhase) -> JobSummary {
    JobSummary {
        service: "sales".into(),
        queue: "tokens".to_owned(),
        phase,
        is_scheduled: false,
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

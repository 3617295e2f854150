use auburnsaddle_core::PipelinePhase;

use super::{JobBoard, JobSummary};

fn summary(phase: PipelinePhase) -> JobSummary {
    JobSummary {
        service: "sales".into(),
        queue: "tokens".to_owned(),
        phase,
        is_scheduled: false,
    }
}

/// Guards against a late message that shows a finished job as running.
#[test]
fn a_phase_never_goes_back() {
    let mut board = JobBoard::default();
    board.insert(1, summary(PipelinePhase::Completed));

    board.insert(1, summary(PipelinePhase::Running));

    assert_eq!(
        board.get(1).map(|row| row.phase),
        Some(PipelinePhase::Completed)
    );
}

/// Guards against counting a job twice, or still counting one that has begun.
#[test]
fn waiting_jobs_are_counted_once() {
    let mut board = JobBoard::default();
    board.insert(1, summary(PipelinePhase::Queued));
    board.insert(1, summary(PipelinePhase::Queued));
    board.insert(2, summary(PipelinePhase::Queued));

    board.insert(2, summary(PipelinePhase::Running));

    assert_eq!(board.waiting("tokens"), 1);
}

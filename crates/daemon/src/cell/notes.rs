//! Log lines and metrics for the scheduling decisions of an owned service.

use std::time::Duration;

use auburnsaddle_core::{Epoch, PipelineNote};

use super::metrics::CellMetrics;

/// Logs a decision, and records the waiting time of a placed job.
pub(super) fn log_note(service: &str, epoch: Epoch, note: &PipelineNote, metrics: &CellMetrics) {
    match note {
        PipelineNote::Placed {
            pipeline,
            queue,
            waited_ms,
            worker,
        } => {
            metrics.record_job_wait(Duration::from_millis(*waited_ms));
            log::info!(
                request_id = format!("{pipeline:016x}").as_str(), service, epoch,
                queue = queue.as_str(), waited_ms, worker = worker.as_ref();
                "job placed"
            );
        }
        PipelineNote::Completed {
            pipeline,
            queue,
            age_ms,
            late_ms,
        } => log::info!(
            request_id = format!("{pipeline:016x}").as_str(), service, epoch,
            queue = queue.as_str(), age_ms, late_ms;
            "job completed"
        ),
        PipelineNote::Failed {
            run,
            failures,
            max_attempts,
        } => log::warn!(
            request_id = format!("{:016x}", run.task.step.pipeline).as_str(), service, epoch,
            task = run.task.to_string().as_str(), attempt = run.attempt, failures, max_attempts;
            "job failed: a task has used up its attempts"
        ),
        PipelineNote::GivenUp { run } => log::warn!(
            request_id = format!("{:016x}", run.task.step.pipeline).as_str(), service, epoch,
            task = run.task.to_string().as_str(), attempt = run.attempt;
            "job failed: its workers crash under a task"
        ),
        PipelineNote::CrashBlamed {
            run,
            worker,
            suspicion,
            max_suspicion,
        } => log::warn!(
            request_id = format!("{:016x}", run.task.step.pipeline).as_str(), service, epoch,
            task = run.task.to_string().as_str(), attempt = run.attempt,
            worker = worker.as_ref(), suspicion, max_suspicion;
            "a worker crashed under a task that may be the cause"
        ),
        PipelineNote::Cancelled { pipeline } => log::info!(
            request_id = format!("{pipeline:016x}").as_str(), service, epoch;
            "job cancelled"
        ),
        PipelineNote::StepWaiting { step, queue, wait } => log::info!(
            request_id = format!("{:016x}", step.pipeline).as_str(), service, epoch,
            step = step.to_string().as_str(), queue = queue.as_str(),
            waited_ms = wait.waited.as_millis(), is_skipped = wait.is_skipped,
            waiting_tasks = wait.waiting_tasks, capped_tasks = wait.capped_tasks, lost_tasks = wait.lost_tasks, held = wait.held,
            steps_before = wait.steps_before, placed_before = wait.placed_before,
            labelled = wait.labelled, labelled_free_percent = wait.labelled_free_percent,
            allowed_full = wait.allowed_full, fitting = wait.fitting, ticketed = wait.ticketed,
            allowed = wait.allowed, refused = wait.refused, withheld = wait.withheld,
            withheld_ticketed = wait.withheld_ticketed,
            withheld_unproven = wait.withheld_unproven, on_probation = wait.on_probation,
            requests = wait.requests,
            failed_requests = wait.failed_requests,
            is_request_pending = wait.request_age.is_some(),
            request_age_ms = wait.request_age.unwrap_or_default().as_millis(),
            pending_requests = wait.pending_requests;
            "tasks of a step wait"
        ),
        PipelineNote::TeamCapped { team, usage } => log::info!(
            service, epoch, team = team.as_ref(), cap:? = usage.cap, used:? = usage.used,
            allotted:? = usage.allotted, lacking:? = usage.lacking;
            "tasks of a team wait for its cap"
        ),
        PipelineNote::RunEnded {
            run,
            worker,
            end,
            age,
        } => log::info!(
            request_id = format!("{:016x}", run.task.step.pipeline).as_str(), service, epoch,
            task = run.task.to_string().as_str(), attempt = run.attempt,
            worker = worker.as_ref(), end = end.map_or("lost", |end| end.name()),
            since_placement_ms = age.as_millis();
            "run ended without a result"
        ),
        PipelineNote::StartRejected {
            run,
            worker,
            result,
        } => log::info!(
            request_id = format!("{:016x}", run.task.step.pipeline).as_str(), service, epoch,
            task = run.task.to_string().as_str(), attempt = run.attempt,
            worker = worker.as_ref(), result = result.name();
            "the worker did not carry out a start order"
        ),
        other => log_worker_note(service, epoch, other),
    }
}

/// Logs a decision about a worker, or about a run because of its worker's state.
fn log_worker_note(service: &str, epoch: Epoch, note: &PipelineNote) {
    match note {
        PipelineNote::UnexpectedRun { run, worker } => log::warn!(
            request_id = format!("{:016x}", run.task.step.pipeline).as_str(), service, epoch,
            task = run.task.to_string().as_str(), attempt = run.attempt,
            worker = worker.as_ref();
            "stopping a run that is not placed on this worker"
        ),
        PipelineNote::WorkerSuspected {
            worker,
            runs,
            failure,
            lapses_in,
        } => log::warn!(
            service, epoch, worker = worker.as_ref(), runs, failure:? = failure,
            lapses_in_ms = lapses_in.as_millis();
            "a renewal of a worker's lease failed; nothing is placed there"
        ),
        PipelineNote::WorkerUnreached {
            worker,
            runs,
            long_running,
            have_predecessors_ended,
            lapses_in,
            unlocated,
            unlocated_lapse_in,
        } => log::warn!(
            service, epoch, worker = worker.as_ref(), runs, long_running, have_predecessors_ended,
            lapses_in_ms = lapses_in.as_millis(), unlocated,
            unlocated_lapse_in_ms = unlocated_lapse_in.as_millis();
            "a worker has not answered since the takeover; its runs are kept until its lease lapses"
        ),
        PipelineNote::RunStalled {
            run,
            worker,
            percent,
            stalled_for,
        } => log::warn!(
            request_id = format!("{:016x}", run.task.step.pipeline).as_str(), service, epoch,
            task = run.task.to_string().as_str(), attempt = run.attempt,
            worker = worker.as_ref(), percent, since_ms = stalled_for.as_millis();
            "stopping a run that makes no progress"
        ),
        PipelineNote::WorkerEvacuated { worker, runs } => log::info!(
            service, epoch, worker = worker.as_ref(), runs;
            "stopping the runs of a worker that is about to leave"
        ),
        PipelineNote::WorkerLost {
            worker,
            runs,
            kept,
            long_running,
            silent_for,
            unreported,
            ordered_ago,
            cause,
        } => log::warn!(
            service, epoch, worker = worker.as_ref(), runs, kept, long_running, unreported,
            ordered_ms_ago = ordered_ago.map(|ago| ago.as_millis()),
            silent_ms = silent_for.as_millis(), cause:? = cause;
            "the runs of a worker have ended"
        ),
        other => log_instance_note(service, epoch, other),
    }
}

/// Logs a decision that follows from which instance of a worker has answered.
fn log_instance_note(service: &str, epoch: Epoch, note: &PipelineNote) {
    match note {
        PipelineNote::WorkerClaimed {
            worker,
            running,
            ended,
            started_unix_ms,
            token,
            lapses_in,
        } => log::info!(
            service, epoch, worker = worker.as_ref(), running, ended, started_unix_ms, token,
            lapses_in_ms = lapses_in.as_millis();
            "a worker answered; its running and ended runs are known"
        ),
        PipelineNote::ClockDiffers {
            worker,
            run,
            result,
            clock_ms,
            expected_ms,
        } => log::warn!(
            request_id = format!("{:016x}", run.task.step.pipeline).as_str(), service, epoch,
            task = run.task.to_string().as_str(), attempt = run.attempt,
            worker = worker.as_ref(), result = result.name(), clock_ms, expected_ms;
            "the clock in the answer to a start order is not that of the known worker instance"
        ),
        PipelineNote::RunsPreempted {
            runs,
            cpu_milli,
            unplaced_cpu_milli,
            free_cpu_milli,
        } => log::info!(
            service, epoch, runs, cpu_milli, unplaced_cpu_milli, free_cpu_milli;
            "stopping runs with checkpoints for urgent work"
        ),
        PipelineNote::JobBeyondRate { team, queue } => log::info!(
            service, epoch, team = team.as_ref(), queue = queue.as_str();
            "a job is beyond the rate of its team; it waits behind the others while there is too little room"
        ),
        PipelineNote::TaskAtFault { run, failures } => log::info!(
            request_id = format!("{:016x}", run.task.step.pipeline).as_str(), service, epoch,
            task = run.task.to_string().as_str(), attempt = run.attempt, failures;
            "a task fails on sound workers; its failures do not count against workers until a run holds"
        ),
        PipelineNote::WorkerOnProbation { worker } => log::warn!(
            service, epoch, worker = worker.as_ref();
            "runs of several jobs failed on a worker; it gets one run at a time until one holds"
        ),
        PipelineNote::WorkerRestarted {
            worker,
            lost,
            running,
            ended,
            started_unix_ms,
            former_started_unix_ms,
        } => log::warn!(
            service, epoch, worker = worker.as_ref(), lost, running, ended, started_unix_ms,
            former_started_unix_ms;
            "a worker was restarted; its other runs are known once it is claimed"
        ),
        PipelineNote::Placed { .. }
        | PipelineNote::Completed { .. }
        | PipelineNote::Failed { .. }
        | PipelineNote::GivenUp { .. }
        | PipelineNote::CrashBlamed { .. }
        | PipelineNote::Cancelled { .. }
        | PipelineNote::StepWaiting { .. }
        | PipelineNote::TeamCapped { .. }
        | PipelineNote::RunEnded { .. }
        | PipelineNote::StartRejected { .. }
        | PipelineNote::UnexpectedRun { .. }
        | PipelineNote::WorkerSuspected { .. }
        | PipelineNote::WorkerUnreached { .. }
        | PipelineNote::RunStalled { .. }
        | PipelineNote::WorkerEvacuated { .. }
        | PipelineNote::WorkerLost { .. } => {}
    }
}

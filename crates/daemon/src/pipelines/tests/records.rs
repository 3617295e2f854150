//! Tests of the encoding of progress records across versions.

use std::{sync::Arc, time::Duration};

use auburnsaddle_core::{
    PipelineEvent, PipelineId, PipelineProgress, PipelineSchedule, StepSpec, TaskKey, TaskPlace,
};
use auburnsaddle_platform::TransactionOutcome;

use super::{
    MAX_VALUE_BYTES, OwnedShard, ProgressRecord, empty_shard, job, record_with_jobs, shard_with,
};
use crate::pipelines::{StoredJob, decode_value, encode_value, log::progress_bytes};

/// Key of the record in the log lines of a failure.
const KEY: &str = "prog/sales/1";

/// What earlier versions write and read.
type EarlierRecord = Vec<(PipelineId, Option<PipelineProgress>)>;

/// Returns a record with two jobs, with this suspicion of a task of the second one.
fn record_with_suspicion(suspicion: u32) -> ProgressRecord {
    let mut record = record_with_jobs([1, 2], 3);
    let progress = record.entries[1].1.as_mut().unwrap();
    progress.occurrences.get_mut(&0).unwrap()[0].tasks[2].suspicion = suspicion;
    record
}

/// Guards against a successor that starts a task again that has crashed its workers under its
/// predecessors.
#[test]
fn a_record_keeps_the_suspicions_of_its_tasks() {
    let record = record_with_suspicion(4);

    let decoded = ProgressRecord::decode(KEY, &record.encode());

    assert_eq!(decoded, Some(record));
}

/// Guards against an upgrade or a rollback that loses the progress of all jobs.
#[test]
fn a_record_is_exchanged_with_earlier_versions() {
    let record = record_with_suspicion(4);

    let read_by_earlier: EarlierRecord = decode_value(KEY, &record.encode()).unwrap();
    let written_by_earlier = encode_value(&read_by_earlier);
    let read_again = ProgressRecord::decode(KEY, &written_by_earlier);

    assert_eq!(read_again, Some(record_with_suspicion(0)));
}

/// Returns a record with two jobs, with the holder of the only placed run of the second one.
fn record_with_holder() -> ProgressRecord {
    let mut record = record_with_suspicion(4);
    let progress = record.entries[1].1.as_mut().unwrap();
    let task = &mut progress.occurrences.get_mut(&0).unwrap()[0].tasks[1];
    task.attempt = 3;
    task.place = TaskPlace::Placed("w1".into());
    task.holder = Some(1_784_960_978_815);
    record
}

/// Guards against a successor that waits for the longest lease for a lasting task whose instance its
/// predecessor knew.
#[test]
fn a_record_keeps_the_holders_of_its_runs() {
    let record = record_with_holder();

    let decoded = ProgressRecord::decode(KEY, &record.encode());

    assert_eq!(decoded, Some(record));
}

/// Guards against a holder that counts for a later run, which a version without holders has placed.
#[test]
fn an_earlier_version_drops_the_holders_and_keeps_the_suspicions() {
    type SuspicionRecord = (EarlierRecord, Vec<(TaskKey, u32)>);
    let record = record_with_holder();

    let read_by_earlier: SuspicionRecord = decode_value(KEY, &record.encode()).unwrap();
    let written_by_earlier = encode_value(&read_by_earlier);
    let read_again = ProgressRecord::decode(KEY, &written_by_earlier).unwrap();

    let progress = read_again.entries[1].1.as_ref().unwrap();
    assert_eq!(progress.suspicions(2).count(), 1);
    assert_eq!(progress.holders(2).count(), 0);
}

/// Returns progress in which everything takes as much space as possible.
fn largest_progress(tasks: usize) -> PipelineProgress {
    let mut record = record_with_jobs([1], tasks);
    let mut progress = record.entries.remove(0).1.unwrap();
    let mut steps = progress.occurrences.remove(&0).unwrap();
    steps[0].gang_failures = u32::MAX;
    steps[0].gang_failed_attempt = u32::MAX;
    for task in &mut steps[0].tasks {
        task.attempt = u32::MAX;
        task.failures = u32::MAX;
        task.failed_attempt = u32::MAX;
        task.place = TaskPlace::Placed("i-0123456789".into());
        task.checkpoint = "c".repeat(300);
        task.suspicion = u32::MAX;
        task.holder = Some(u64::MAX);
    }
    for occurrence in u32::MAX - 2..=u32::MAX {
        progress.occurrences.insert(occurrence, steps.clone());
        progress.done.insert(occurrence - 10);
    }
    progress
}

/// Guards against records that are larger than expected, which the store rejects.
#[test]
fn the_size_of_progress_is_not_underestimated() {
    for tasks in [0, 1, 7, 300] {
        for progress in [PipelineProgress::default(), largest_progress(tasks)] {
            let bound = progress_bytes(&progress);
            let record = ProgressRecord {
                entries: vec![(PipelineId::MAX, Some(progress))],
            };

            let bytes = record.encode().len();

            assert!(bytes <= bound, "{bytes} bytes, at most {bound} expected");
        }
    }
}

/// Returns a shard with these jobs and their progress, and all of them to be written.
fn shard_to_write(jobs: Vec<(StoredJob, PipelineProgress)>) -> OwnedShard {
    let mut shard = shard_with(empty_shard());
    for (id, (spec, progress)) in (1..).zip(jobs) {
        let event = PipelineEvent::Stored(id, Arc::new(spec), Some(progress));
        shard.handle(event, Duration::ZERO);
        shard.state.request_rewrite(id);
    }
    shard
}

/// Returns the sizes of the largest values of all commits of a shard.
fn largest_values(shard: &mut OwnedShard) -> Vec<usize> {
    let mut sizes = Vec::new();
    while let Some(transaction) = shard.next_commit(Duration::ZERO) {
        let values = transaction.puts.iter().map(|(_, value, _)| value.len());
        sizes.extend(values.max());
        shard.finish_commit(&TransactionOutcome::Done(50), Duration::ZERO);
    }
    sizes
}

/// Returns a job without a deadline whose steps are those of [`largest_progress`].
fn large_job(tasks: u32) -> StoredJob {
    StoredJob {
        steps: vec![StepSpec {
            count: tasks,
            ..StepSpec::default()
        }],
        schedule: Some(PipelineSchedule {
            first_unix_ms: 0,
            interval_ms: 1,
            occurrences: 3,
        }),
        ..job()
    }
}

/// Guards against a record that no value of the store can hold, so that no job of the service
/// makes progress any more: jobs with large checkpoints, alone and together.
#[test]
fn records_fit_into_a_value_of_the_store() {
    for (jobs, tasks) in [(1, 200), (40, 10), (3, 60)] {
        let entries = (0..jobs).map(|_| (large_job(tasks), largest_progress(tasks as usize)));
        let mut shard = shard_to_write(entries.collect());

        let sizes = largest_values(&mut shard);

        assert!(!sizes.is_empty());
        let mut sizes = sizes.iter();
        assert!(sizes.all(|size| *size <= MAX_VALUE_BYTES), "{sizes:?}");
        assert!(shard.is_durable());
    }
}

//! Tests of values that are stored with a team.

use auburnsaddle_core::{PipelinePhase, TeamId};

use super::job;
use crate::{
    job_table::JobSummary,
    pipelines::{
        StoredJob,
        notices::{JobChange, JobNotice},
        records::{decode_team_value, decode_value, encode_team_value, encode_value},
    },
};

fn team_job() -> StoredJob {
    StoredJob {
        team: Some("north".into()),
        ..job()
    }
}

/// Guards against a job that loses its team in the store, and so is charged to nobody.
#[test]
fn a_stored_value_keeps_its_team() {
    let (spec, summary) = (
        team_job(),
        JobSummary::new(&team_job(), PipelinePhase::Queued),
    );

    let stored_spec: Option<StoredJob> = decode_team_value("job", &encode_team_value(&spec));
    let stored_summary: Option<JobSummary> =
        decode_team_value("summary", &encode_team_value(&summary));

    assert_eq!(stored_spec, Some(spec));
    assert_eq!(stored_summary, Some(summary));
}

/// Guards against a job without a team that earlier versions cannot read, or that costs a byte more,
/// and against one with a team that they cannot read.
#[test]
fn earlier_versions_read_values_with_and_without_a_team() {
    let with_team = encode_team_value(&team_job());
    let without_team = encode_team_value(&job());

    let read: Option<StoredJob> = decode_value("job", &with_team);

    assert_eq!(without_team, encode_value(&job()));
    assert_eq!(read, Some(job()));
}

/// Guards against a value that was cut short and counts as one without a team, which any caller may
/// see.
#[test]
fn a_value_with_a_broken_team_is_not_read() {
    let mut stored = encode_team_value(&team_job());
    stored.pop();

    let read: Option<StoredJob> = decode_team_value("job", &stored);

    assert_eq!(read, None);
}

/// Guards against a notice that delivers a job without its team to the owner.
#[test]
fn a_notice_carries_the_team_of_its_job() {
    let sent = JobNotice {
        service: "sales".into(),
        id: 1,
        revision: 5,
        team: Some("north".into()),
        change: JobChange::Accepted(team_job().into()),
    };

    let text = serde_json::to_vec(&sent).unwrap();
    let mut received: JobNotice = serde_json::from_slice(&text).unwrap();
    received.restore_team();

    let JobChange::Accepted(spec) = received.change else {
        panic!("the notice is not of an accepted job");
    };
    assert_eq!(spec.team, Some(TeamId::from("north")));
}

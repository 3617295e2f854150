//! Tests of command-line parsing, output formats, failover and exit codes.

use std::{ffi::OsString, fs, net::TcpListener, time::Duration};

use auburnsaddle_core::StatusReply;
use expect_test::expect;
use serde_json::json;

use crate::{
    arguments::{Command, CommandLine, LabelPair, UsageError, parse},
    client::{ClientError, DaemonClient, READ_TIMEOUT},
    commands::{self, CommandError},
    output::{format_status, format_tasks},
    tasks::percent_encode,
};

fn parse_words(words: &[&str]) -> Result<CommandLine, UsageError> {
    let arguments = words.iter().map(OsString::from).collect();
    parse(pico_args::Arguments::from_vec(arguments), |_| None)
}

fn sample_status() -> StatusReply {
    StatusReply {
        daemon: "daemon-1".into(),
        versions: [("daemon-1".into(), 12), ("daemon-10".into(), 9)].into(),
        owners: [("pool/general".to_owned(), "daemon-1".into())].into(),
        suspected: ["daemon-10".into()].into(),
        unavailable: [].into(),
    }
}

/// Guards against a status table that shell tools cannot split into columns.
#[test]
fn status_table_has_aligned_columns() {
    let text = format_status(&sample_status());

    expect![[r"
        DAEMON     VERSION  STATE
        daemon-1   12       alive
        daemon-10  9        suspected

        SHARD         OWNER
        pool/general  daemon-1"]]
    .assert_eq(&text);
}

/// Guards against empty cells, which shift the following columns when shell
/// tools split a row.
#[test]
fn missing_values_are_printed_as_dashes() {
    let answer = json!({ "tasks": [
        { "id": "1", "state": "queued", "worker": null, "reason": "no-target" },
        { "id": "2", "state": "running", "worker": "w-7" },
    ]});

    let text = format_tasks(&answer);

    expect![[r"
        ID  STATE    WORKER  REASON
        1   queued   -       no-target
        2   running  w-7     -"]]
    .assert_eq(&text);
}

/// Guards against options that are parsed as operands or dropped, depending on
/// their position.
#[test]
fn options_are_accepted_before_and_after_the_operand() {
    let line = parse_words(&[
        "--daemon",
        "a:1,b:2",
        "submit",
        "photos",
        "--label",
        "fair=north",
        "--count",
        "3",
        "--key",
        "north-3",
    ]);

    let line = line.unwrap();
    let label = LabelPair {
        key: "fair".to_owned(),
        value: "north".to_owned(),
    };
    assert_eq!(line.daemons, ["a:1", "b:2"]);
    assert_eq!(
        line.command,
        Command::Submit {
            object: "photos".to_owned(),
            labels: vec![label],
            count: Some(3),
            key: Some("north-3".to_owned()),
        }
    );
}

/// Guards against invalid command lines that are accepted and run another
/// command than intended, and against errors without a hint.
#[test]
fn invalid_command_lines_are_rejected_with_a_hint() {
    let lines: [&[&str]; 9] = [
        &[],
        &["frob"],
        &["check"],
        &["cancel", "--label", "north"],
        &["get", "../admin/dump"],
        &["status", "--output", "xml"],
        &["apply", "dir", "--dryrun"],
        &["apply", "dir", "--base", "-1"],
        &["submit", "photos", "--count", "0"],
    ];

    let errors = lines.map(|line| parse_words(line).unwrap_err().to_string());

    expect![[r"
        missing command; see `auburnsaddle help`
        unknown command `frob`; see `auburnsaddle help`
        missing argument DIR; see `auburnsaddle help`
        invalid --label `north`: expected KEY=VALUE; see `auburnsaddle help`
        invalid task id `../admin/dump`; see `auburnsaddle help`
        invalid --output `xml`: expected json or table; see `auburnsaddle help`
        unexpected argument `--dryrun`; see `auburnsaddle help`
        --base must be a non-negative integer; see `auburnsaddle help`
        --count must be greater than zero; see `auburnsaddle help`"]]
    .assert_eq(&errors.join("\n"));
}

/// Guards against an environment variable that overrides an option.
#[test]
fn options_override_the_environment() {
    let arguments = ["--daemon", "a:1", "status"].map(OsString::from).into();

    let line = parse(pico_args::Arguments::from_vec(arguments), |_| {
        Some("json".to_owned())
    });

    assert_eq!(line.unwrap().daemons, ["a:1"]);
}

/// Guards against label values that add fields to the query or end it.
#[test]
fn query_values_are_percent_encoded() {
    let text = percent_encode("fair=north & south");

    assert_eq!(text, "fair%3Dnorth%20%26%20south");
}

/// Guards against help of a command without its usage line and summary.
#[tokio::test]
async fn command_help_shows_usage_and_summary() {
    let line = parse_words(&["help", "cancel"]).unwrap();

    let text = commands::run(line).await.unwrap();

    expect![[r"
        Usage: auburnsaddle [OPTIONS] cancel ID | --label KEY=VALUE

        cancel one task, or all tasks with a label."]]
    .assert_eq(text.split("\n\nOptions").next().unwrap_or_default());
}

/// Guards against example configurations that fail validation.
#[tokio::test]
async fn example_configurations_are_valid() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

    for name in ["jegue-vale", "rehandling-authority"] {
        let line = parse_words(&["check", &format!("{root}/{name}")]).unwrap();
        let result = commands::run(line).await;

        assert!(result.is_ok(), "{name}: {result:?}");
    }
}

fn create_directory_with(name: &str, text: &str) -> String {
    let directory = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    fs::create_dir_all(directory.join("nested")).unwrap();
    fs::write(directory.join("nested/a.toml"), text).unwrap();
    directory.display().to_string()
}

/// Guards against skipping files in subdirectories, and against validation
/// problems that are not machine-readable with `--output json`.
#[tokio::test]
async fn validation_problems_are_listed_as_json() {
    let directory = create_directory_with("auburnsaddle-check", "[[team]]\nname = 'crew'");
    let line = parse_words(&["--output", "json", "check", &directory]).unwrap();

    let error = commands::run(line).await.unwrap_err();

    fs::remove_dir_all(&directory).unwrap();
    assert_eq!(error.exit_code(), 3);
    expect![[r#"
        {
          "objects": 1,
          "problems": [
            {
              "file": "DIR/nested/a.toml",
              "message": "`quota` is missing; add it",
              "object": {
                "kind": "team",
                "name": "crew"
              },
              "warning": false
            }
          ],
          "valid": false
        }"#]]
    .assert_eq(&error.to_string().replace(&directory, "DIR"));
}

/// Guards against unreachable daemons being reported with the exit code of
/// another failure.
#[tokio::test]
async fn unreachable_daemons_have_a_distinct_exit_code() {
    // Nothing listens on port 1 of the loopback interface.
    let addresses = vec!["127.0.0.1:1".to_owned(), "127.0.0.1:1".to_owned()];
    let client = DaemonClient::new(addresses, READ_TIMEOUT);

    let source = client.get::<serde_json::Value>("/").await.unwrap_err();

    let ClientError::Unreachable { causes } = &source else {
        panic!("{source}");
    };
    assert_eq!(causes.len(), 2);
    assert_eq!(CommandError::Client { source }.exit_code(), 5);
}

/// Guards against reads that block on a paused daemon instead of trying the
/// next one.
#[tokio::test]
async fn reads_fail_over_when_a_daemon_does_not_respond() {
    // The listener never accepts, so connections stay in the backlog, as they do
    // for a paused process.
    let unresponsive = TcpListener::bind("127.0.0.1:0").unwrap();
    let addresses = vec![
        unresponsive.local_addr().unwrap().to_string(),
        "127.0.0.1:1".to_owned(),
    ];
    let client = DaemonClient::new(addresses, Duration::from_millis(100));

    let error = client.get::<serde_json::Value>("/").await.unwrap_err();

    let ClientError::Unreachable { causes } = &error else {
        panic!("{error}");
    };
    assert!(causes[0].contains("deadline has elapsed"), "{causes:?}");
    assert_eq!(causes.len(), 2);
}

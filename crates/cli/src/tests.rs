//! Tests of the command line and of the output.

use std::{ffi::OsString, fs, net::TcpListener, time::Duration};

use auburnsaddle_core::StatusReply;
use expect_test::expect;
use serde_json::json;

use crate::{
    arguments::{Command, CommandLine, LabelPair, UsageError, parse},
    client::{ClientError, DaemonClient, READ_TIMEOUT},
    commands::{self, CommandError},
    output::{status_table, task_table},
    tasks::percent_encode,
};

fn parse_texts(texts: &[&str]) -> Result<CommandLine, UsageError> {
    let arguments = texts.iter().map(OsString::from).collect();
    parse(pico_args::Arguments::from_vec(arguments), |_| None)
}

fn status() -> StatusReply {
    StatusReply {
        daemon: "daemon-1".into(),
        versions: [("daemon-1".into(), 12), ("daemon-10".into(), 9)].into(),
        owners: [("pool/general".to_owned(), "daemon-1".into())].into(),
        suspected: ["daemon-10".into()].into(),
        unavailable: [].into(),
    }
}

/// Guards against a table that shell tools cannot split into columns.
#[test]
fn status_is_an_aligned_table() {
    let text = status_table(&status());

    expect![[r"
        DAEMON     VERSION  STATE
        daemon-1   12       alive
        daemon-10  9        suspected

        SHARD         OWNER
        pool/general  daemon-1"]]
    .assert_eq(&text);
}

/// Guards against a missing value that shifts the columns after it.
#[test]
fn missing_values_are_dashes() {
    let answer = json!({ "tasks": [
        { "id": "1", "state": "queued", "worker": null, "reason": "no-target" },
        { "id": "2", "state": "running", "worker": "w-7" },
    ]});

    let text = task_table(&answer);

    expect![[r"
        ID  STATE    WORKER  REASON
        1   queued   -       no-target
        2   running  w-7     -"]]
    .assert_eq(&text);
}

/// Guards against options that are taken for operands or lost.
#[test]
fn options_may_stand_before_or_after_the_operand() {
    let line = parse_texts(&[
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

/// Guards against a mistyped command line that does something else.
#[test]
fn bad_command_lines_are_rejected_with_a_remedy() {
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

    let errors = lines.map(|line| parse_texts(line).unwrap_err().to_string());

    expect![[r"
        no command is given; see `auburnsaddle help`
        `frob` is no command; see `auburnsaddle help`
        DIR is missing; see `auburnsaddle help`
        --label `north` is not written as KEY=VALUE; see `auburnsaddle help`
        `../admin/dump` is no task id; see `auburnsaddle help`
        --output `xml` is neither json nor table; see `auburnsaddle help`
        `--dryrun` is not expected; see `auburnsaddle help`
        --base is not a whole number; see `auburnsaddle help`
        --count is not positive; see `auburnsaddle help`"]]
    .assert_eq(&errors.join("\n"));
}

/// Guards against an environment variable that overrides an option.
#[test]
fn options_win_over_the_environment() {
    let arguments = ["--daemon", "a:1", "status"].map(OsString::from).into();

    let line = parse(pico_args::Arguments::from_vec(arguments), |_| {
        Some("json".to_owned())
    });

    assert_eq!(line.unwrap().daemons, ["a:1"]);
}

/// Guards against a label that changes the meaning of the query.
#[test]
fn query_values_are_encoded() {
    let text = percent_encode("fair=north & south");

    assert_eq!(text, "fair%3Dnorth%20%26%20south");
}

/// Guards against help texts that drift from the commands.
#[tokio::test]
async fn each_command_has_help() {
    let line = parse_texts(&["help", "cancel"]).unwrap();

    let text = commands::run(line).await.unwrap();

    expect![[r"
        Usage: auburnsaddle [OPTIONS] cancel ID | --label KEY=VALUE

        cancel one task, or all tasks with a label."]]
    .assert_eq(text.split("\n\nOptions").next().unwrap_or_default());
}

/// Guards against examples that no longer pass the check.
#[tokio::test]
async fn the_examples_are_valid() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

    for name in ["jegue-vale", "rehandling-authority"] {
        let line = parse_texts(&["check", &format!("{root}/{name}")]).unwrap();
        let result = commands::run(line).await;

        assert!(result.is_ok(), "{name}: {result:?}");
    }
}

fn directory_with(name: &str, text: &str) -> String {
    let directory = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    fs::create_dir_all(directory.join("nested")).unwrap();
    fs::write(directory.join("nested/a.toml"), text).unwrap();
    directory.display().to_string()
}

/// Guards against files of subdirectories that are passed over, and against
/// problems that a program cannot read.
#[tokio::test]
async fn problems_are_listed_as_json() {
    let directory = directory_with("auburnsaddle-check", "[[team]]\nname = 'crew'");
    let line = parse_texts(&["--output", "json", "check", &directory]).unwrap();

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

/// Guards against an unreachable daemon that looks like another failure.
#[tokio::test]
async fn unreachable_daemons_have_their_own_exit_code() {
    // Port 1 of the loopback interface has no listener.
    let addresses = vec!["127.0.0.1:1".to_owned(), "127.0.0.1:1".to_owned()];
    let client = DaemonClient::new(addresses, READ_TIMEOUT);

    let source = client.get::<serde_json::Value>("/").await.unwrap_err();

    let ClientError::Unreachable { causes } = &source else {
        panic!("{source}");
    };
    assert_eq!(causes.len(), 2);
    assert_eq!(CommandError::Client { source }.exit_code(), 5);
}

/// Guards against a read that waits for ever for a paused daemon.
#[tokio::test]
async fn reads_go_on_to_the_next_daemon_when_one_stays_silent() {
    // Connections wait in the backlog, as with a paused process.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let addresses = vec![
        silent.local_addr().unwrap().to_string(),
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

//! Tests of parsing and documenting the settings.

use std::{collections::BTreeMap, ffi::OsString, time::Duration};

use expect_test::expect;

use super::{DaemonCommand, DaemonSettings, SettingsError, table};

const REQUIRED_FLAGS: [&str; 10] = [
    "--name",
    "a",
    "--region",
    "r",
    "--zone",
    "z",
    "--store",
    "127.0.0.1:1",
    "--hosts",
    "127.0.0.1:1",
];

fn read(texts: &[&str], environment: &[(&str, &str)]) -> Result<DaemonCommand, SettingsError> {
    let arguments = texts.iter().map(OsString::from).collect();
    let environment: BTreeMap<String, String> = environment
        .iter()
        .map(|(name, value)| (format!("AUBURNSADDLE_{name}"), (*value).to_owned()))
        .collect();
    DaemonCommand::read(arguments, environment)
}

fn settings(texts: &[&str], environment: &[(&str, &str)]) -> DaemonSettings {
    match read(&[&REQUIRED_FLAGS, texts].concat(), environment) {
        Ok(DaemonCommand::Run(settings)) => *settings,
        other => panic!("no settings: {other:?}"),
    }
}

/// Guards against an error that reports only the first invalid setting.
#[test]
fn all_invalid_settings_are_reported_at_once() {
    let error = read(
        &[
            "--name",
            "A b",
            "--region",
            "r",
            "--store",
            "nowhere",
            "--frob",
            "--poll-interval-ms",
            "0",
            "--peers",
            "127.0.0.1:1,x",
            "--log-level",
            "loud",
        ],
        &[],
    )
    .unwrap_err();

    expect![[r"
        8 setting(s) cannot be used:
          --name `A b`: use characters of a-z, 0-9 and `-`
          --zone is missing; pass --zone NAME or set AUBURNSADDLE_ZONE
          --peers `x`: invalid socket address syntax; write IP:PORT,...
          --store `nowhere`: invalid socket address syntax; write IP:PORT
          --hosts is missing; pass --hosts IP:PORT or set AUBURNSADDLE_HOSTS
          --log-level `loud`: attempted to convert a string that doesn't match an existing log level; write LEVEL
          --poll-interval-ms `0`: use a whole number from 50 to 60000
          `--frob` is no setting or is given twice; remove it, or see --help"]]
    .assert_eq(&error.to_string());
}

/// Guards against an environment variable that overrides a flag, and against
/// one that is ignored.
#[test]
fn flags_take_precedence_over_environment_variables() {
    let settings = settings(&[], &[("NAME", "b"), ("COMMIT_INTERVAL_MS", "300")]);

    assert_eq!(&*settings.name, "a");
    assert_eq!(settings.commit_interval, Some(Duration::from_millis(300)));
}

/// Guards against an invalid default in the table of settings.
#[test]
fn defaults_are_valid() {
    let settings = settings(&[], &[]);

    assert_eq!(settings.listen.port(), 7480);
    assert_eq!(settings.limits.connections, 10_000);
    assert_eq!((settings.store_writes, settings.store_reads), (None, None));
    assert!(settings.peers.is_empty());
}

/// Guards against `--check-settings` starting the daemon.
#[test]
fn checking_settings_does_not_run_the_daemon() {
    let command = read(&[&REQUIRED_FLAGS[..], &["--check-settings"]].concat(), &[]);

    assert_eq!(command, Ok(DaemonCommand::CheckSettings));
}

/// Guards against accepting one address for both listeners.
#[test]
fn listeners_need_two_addresses() {
    let flags = ["--listen", "127.0.0.1:7481"];

    let error = read(&[&REQUIRED_FLAGS[..], &flags].concat(), &[]).unwrap_err();

    assert!(error.to_string().contains("use two addresses"), "{error}");
}

/// Guards against a setting that is missing from the help text or the operators'
/// documentation.
#[test]
fn all_settings_are_documented() {
    let page = include_str!("../../../../docs/OPERATIONS.md");
    let help = table::help_text();

    let missing = table::SETTINGS
        .iter()
        .find(|spec| !help.contains(spec.flag) || !help.contains(&spec.environment_variable()));

    assert_eq!(missing, None);
    assert!(
        page.contains(&table::markdown_table()),
        "copy this table to docs/OPERATIONS.md:\n{}",
        table::markdown_table()
    );
}

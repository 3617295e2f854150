//! Tests of the settings.

use std::{collections::BTreeMap, ffi::OsString};

use super::DaemonSettings;

fn arguments(texts: &[&str]) -> Vec<OsString> {
    texts.iter().map(OsString::from).collect()
}

/// Guards against a daemon that reports one bad setting at a time.
#[test]
fn all_bad_settings_are_named_at_once() {
    let flags = arguments(&[
        "--name", "a", "--region", "r", "--store", "nowhere", "--frob",
    ]);

    let error = DaemonSettings::read(flags, BTreeMap::new()).unwrap_err();

    let flags = ["--zone", "--store", "--hosts", "--frob"];
    assert!(
        flags.iter().all(|flag| error.to_string().contains(flag)),
        "{error}"
    );
}

/// Guards against an environment variable that overrides a flag.
#[test]
fn flags_win_over_the_environment() {
    let flags = arguments(&["--name", "a", "--region", "r", "--zone", "z"]);
    let environment = [
        ("NAME", "b"),
        ("STORE", "127.0.0.1:1"),
        ("HOSTS", "127.0.0.1:1"),
    ]
    .map(|(name, value)| (format!("AUBURNSADDLE_{name}"), value.to_owned()));

    let settings = DaemonSettings::read(flags, environment.into()).unwrap();

    assert_eq!(&*settings.name, "a");
}

//! Tests of the access of callers by their keys.

use std::{sync::Arc, time::Duration};

use auburnsaddle_core::PipelinePhase;
use auburnsaddle_platform::Manifest;
use http::{HeaderMap, HeaderValue, header};
use serde_json::json;

use crate::{
    cell::CurrentManifest,
    ingress::access::{AccessDenial, AccessPolicy, is_visible},
    job_table::JobSummary,
};

/// Returns a manifest with a public and another queue, which the store has confirmed at this age.
fn current(age: Duration, teams: &serde_json::Value) -> CurrentManifest {
    let route = |name: &str, is_public: bool| {
        json!({
            "name": name, "host": "jobs.test", "prefix": format!("/{name}/"), "service": "sales",
            "public": is_public,
        })
    };
    let body = json!({
        "version": 1, "routes": [route("tokens", false), route("open", true)], "tenants": teams,
    });
    CurrentManifest {
        manifest: Arc::new(Manifest::decode(body.to_string().as_bytes()).unwrap()),
        age,
    }
}

fn with_team(age: Duration) -> CurrentManifest {
    current(age, &json!([{"name": "north", "api-keys": ["key-one"]}]))
}

fn headers(value: &'static str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(header::AUTHORIZATION, HeaderValue::from_static(value));
    headers
}

/// Returns the team of a request to a queue, or why it is denied.
fn access(
    policy: AccessPolicy,
    current: &CurrentManifest,
    queue: &str,
    headers: &HeaderMap,
) -> Result<Option<String>, AccessDenial> {
    let path = format!("/{queue}/");
    let route = current.manifest.route("jobs.test", &path).unwrap();
    let team = policy.caller_team(headers, route, current)?;
    Ok(team.map(|team| team.to_string()))
}

/// Guards against a request that runs without a key, or with one that no team has.
#[test]
fn only_the_key_of_a_team_opens_its_queue() {
    let (policy, current) = (AccessPolicy::default(), with_team(Duration::ZERO));

    let read = |value| access(policy, &current, "tokens", &headers(value));

    assert_eq!(read("Bearer key-one"), Ok(Some("north".to_owned())));
    assert_eq!(read("bearer  key-one "), Ok(Some("north".to_owned())));
    assert_eq!(read("Bearer key-on"), Err(AccessDenial::UnknownKey));
    assert_eq!(read("Bearer KEY-ONE"), Err(AccessDenial::UnknownKey));
    assert_eq!(read("Basic key-one"), Err(AccessDenial::MissingKey));
    assert_eq!(read("key-one"), Err(AccessDenial::MissingKey));
    let without = access(policy, &current, "tokens", &HeaderMap::new());
    assert_eq!(without, Err(AccessDenial::MissingKey));
}

/// Guards against a public queue that needs a key.
#[test]
fn a_public_queue_needs_no_key() {
    let (policy, current) = (AccessPolicy::default(), with_team(Duration::ZERO));

    let without = access(policy, &current, "open", &HeaderMap::new());

    assert_eq!(without, Ok(None));
}

/// Guards against a deployment without teams that needs keys, and against one that lets everyone in
/// once its last team is removed.
#[test]
fn keys_are_needed_where_the_settings_or_the_manifest_say_so() {
    let none = current(Duration::ZERO, &json!([]));
    let required = AccessPolicy {
        requires_keys: true,
        ..AccessPolicy::default()
    };

    let open = access(AccessPolicy::default(), &none, "tokens", &HeaderMap::new());
    let closed = access(required, &none, "tokens", &HeaderMap::new());

    assert_eq!(open, Ok(None));
    assert_eq!(closed, Err(AccessDenial::MissingKey));
}

/// Guards against keys that stay valid at a daemon that has lost the store, where they must not.
#[test]
fn keys_expire_with_the_confirmation_only_where_that_is_required() {
    let age = Duration::from_secs(6);
    let strict = AccessPolicy {
        key_lifetime: Some(Duration::from_secs(5)),
        ..AccessPolicy::default()
    };

    let read = |policy, age| {
        access(
            policy,
            &with_team(age),
            "tokens",
            &headers("Bearer key-one"),
        )
    };

    assert_eq!(read(strict, age), Err(AccessDenial::UnconfirmedKeys));
    assert!(read(strict, Duration::from_secs(4)).is_ok());
    assert!(read(AccessPolicy::default(), age).is_ok());
}

/// Guards against a caller that sees the job of another team.
#[test]
fn a_job_is_visible_to_its_own_team() {
    let summary = |team: Option<&str>| JobSummary {
        service: "sales".into(),
        queue: "tokens".to_owned(),
        phase: PipelinePhase::Running,
        is_scheduled: false,
        team: team.map(Into::into),
    };

    let (north, south) = (Some("north".into()), Some("south".into()));

    assert!(is_visible(&summary(Some("north")), north.as_ref()));
    assert!(!is_visible(&summary(Some("north")), south.as_ref()));
    assert!(!is_visible(&summary(Some("north")), None));
    assert!(is_visible(&summary(None), south.as_ref()));
}

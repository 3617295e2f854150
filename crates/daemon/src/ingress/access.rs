//! Access of callers by the keys of their teams.
//!
//! A key appears in no log line, metric or response.

use std::time::Duration;

use auburnsaddle_core::TeamId;
use auburnsaddle_platform::{PlatformSettings, QueueRoute};
use http::{HeaderMap, HeaderValue, StatusCode, header};

use super::serve::{IngressResponse, empty_response};
use crate::{cell::CurrentManifest, job_table::JobSummary};

/// Scheme of the `Authorization` header, in lower case.
const KEY_SCHEME: &str = "bearer";

/// When callers need a key.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AccessPolicy {
    /// Whether callers need a key even if the manifest lists no team.
    pub(crate) requires_keys: bool,
    /// Age of the manifest's latest confirmation from which no key is valid any more; `None` for
    /// no limit.
    pub(crate) key_lifetime: Option<Duration>,
}

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AccessDenial {
    /// It has no key, or its header is malformed.
    MissingKey,
    /// No team has the key.
    UnknownKey,
    /// The keys in force are not known, as the store has not confirmed the manifest for too long.
    UnconfirmedKeys,
}

impl AccessDenial {
    /// Returns the name in logs and metrics.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::MissingKey => "no_key",
            Self::UnknownKey => "unknown_key",
            Self::UnconfirmedKeys => "unconfirmed_keys",
        }
    }
}

impl From<&PlatformSettings> for AccessPolicy {
    fn from(settings: &PlatformSettings) -> Self {
        Self {
            requires_keys: settings.requires_keys,
            key_lifetime: settings.key_lifetime,
        }
    }
}

impl AccessPolicy {
    /// Returns the team of a caller. A caller of a public queue has none, and neither has anyone in
    /// a deployment without teams.
    pub(super) fn caller_team(
        &self,
        headers: &HeaderMap,
        route: &QueueRoute,
        current: &CurrentManifest,
    ) -> Result<Option<TeamId>, AccessDenial> {
        let manifest = &current.manifest;
        if route.is_public || !self.needs_keys(current) {
            return Ok(None);
        }
        if self
            .key_lifetime
            .is_some_and(|lifetime| current.age >= lifetime)
        {
            return Err(AccessDenial::UnconfirmedKeys);
        }
        let key = caller_key(headers).ok_or(AccessDenial::MissingKey)?;
        let team = manifest.keys.team(key).ok_or(AccessDenial::UnknownKey)?;
        Ok(Some(team.clone()))
    }

    /// Returns whether callers need a key, unless their queue is public. An old manifest is then
    /// confirmed before it is used: a key may have been withdrawn.
    pub(super) fn needs_keys(&self, current: &CurrentManifest) -> bool {
        self.requires_keys || !current.manifest.teams.is_empty()
    }
}

/// Returns the key in the `Authorization` header.
fn caller_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.trim().split_once(' ')?;
    scheme
        .eq_ignore_ascii_case(KEY_SCHEME)
        .then_some(key.trim())
}

/// Returns whether a caller may learn of a job. A job without a team is one of a public queue, or
/// was accepted before the deployment had teams.
pub(super) fn is_visible(summary: &JobSummary, team: Option<&TeamId>) -> bool {
    summary.team.is_none() || summary.team.as_ref() == team
}

/// Returns the response to a request without a valid key.
pub(super) fn unauthorized_response() -> IngressResponse {
    let mut response = empty_response(StatusCode::UNAUTHORIZED);
    let challenge = HeaderValue::from_static("Bearer");
    response
        .headers_mut()
        .insert(header::WWW_AUTHENTICATE, challenge);
    response
}

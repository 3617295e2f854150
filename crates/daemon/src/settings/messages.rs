//! The error type for invalid settings.

use snafu::Snafu;

/// All missing, unknown and invalid settings of one start.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
#[snafu(display("{} setting(s) cannot be used:\n  {}", problems.len(), problems.join("\n  ")))]
pub struct SettingsError {
    /// One line per problem, which names the setting and a remedy.
    pub problems: Vec<String>,
}

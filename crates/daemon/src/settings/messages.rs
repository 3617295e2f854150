//! Errors in settings.

use snafu::Snafu;

/// All settings that cannot be used, each with its remedy.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
#[snafu(display("{} setting(s) cannot be used:\n  {}", problems.len(), problems.join("\n  ")))]
pub struct SettingsError {
    /// One line for each setting.
    pub problems: Vec<String>,
}

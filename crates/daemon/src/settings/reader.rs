//! Parsing of settings from flags and environment variables.

use std::{collections::BTreeMap, ffi::OsString, fmt::Display, str::FromStr, time::Duration};

use super::{
    messages::SettingsError,
    table::{SETTINGS, SettingSpec},
};

/// Parses settings one by one and collects all problems, so that a single error
/// can report them together.
pub(super) struct SettingsReader {
    arguments: pico_args::Arguments,
    environment: BTreeMap<String, String>,
    problems: Vec<String>,
}

impl SettingsReader {
    pub(super) fn new(arguments: Vec<OsString>, environment: BTreeMap<String, String>) -> Self {
        Self {
            arguments: pico_args::Arguments::from_vec(arguments),
            environment,
            problems: Vec::new(),
        }
    }

    /// Returns whether a flag without a value is present under one of its names.
    pub(super) fn has_flag(&mut self, names: &[&'static str]) -> bool {
        names.iter().any(|name| self.arguments.contains(*name))
    }

    /// Parses a setting. On a problem, records it and returns `fallback`.
    pub(super) fn read<T>(&mut self, flag: &'static str, fallback: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some((spec, text)) = self.raw_value(flag) else {
            return fallback;
        };
        match text.parse() {
            Ok(value) => value,
            Err(error) => {
                self.add_value_problem(
                    spec,
                    &text,
                    &format!("{error}; write {}", spec.placeholder),
                );
                fallback
            }
        }
    }

    /// Parses an optional setting; an empty value counts as absent.
    pub(super) fn read_optional<T>(&mut self, flag: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let (spec, text) = self.raw_value(flag).filter(|(_, text)| !text.is_empty())?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.add_value_problem(
                    spec,
                    &text,
                    &format!("{error}; write {}", spec.placeholder),
                );
                None
            }
        }
    }

    /// Parses a comma-separated list; empty items are skipped.
    pub(super) fn read_list<T>(&mut self, flag: &'static str) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some((spec, text)) = self.raw_value(flag) else {
            return Vec::new();
        };
        let mut values = Vec::new();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            match part.trim().parse() {
                Ok(value) => values.push(value),
                Err(error) => {
                    self.add_value_problem(
                        spec,
                        part,
                        &format!("{error}; write {}", spec.placeholder),
                    );
                }
            }
        }
        values
    }

    /// Parses a name, whose characters must be safe in a store key.
    pub(super) fn read_name(&mut self, flag: &'static str) -> String {
        let Some((spec, text)) = self.raw_value(flag) else {
            return String::new();
        };
        let is_allowed =
            |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
        if !text.is_empty() && text.bytes().all(is_allowed) {
            return text;
        }
        self.add_value_problem(spec, &text, "use characters of a-z, 0-9 and `-`");
        String::new()
    }

    /// Parses an integer within the bounds of its setting.
    pub(super) fn read_number<T>(&mut self, flag: &'static str) -> T
    where
        T: Default + TryFrom<u64>,
    {
        let number = self.read_bounded(flag);
        T::try_from(number).unwrap_or_else(|_| {
            self.add_problem(format!(
                "{flag}: {number} is too large here; use a smaller number"
            ));
            T::default()
        })
    }

    /// Parses an integer within the bounds of its setting, or returns `None` if
    /// the setting is absent and its value is to be derived.
    pub(super) fn read_optional_number<T>(&mut self, flag: &'static str) -> Option<T>
    where
        T: TryFrom<u64>,
    {
        let (spec, text) = self.raw_value(flag).filter(|(_, text)| !text.is_empty())?;
        T::try_from(self.parse_bounded(spec, &text)).ok()
    }

    fn read_bounded(&mut self, flag: &'static str) -> u64 {
        match self.raw_value(flag) {
            Some((spec, text)) => self.parse_bounded(spec, &text),
            None => 0,
        }
    }

    fn parse_bounded(&mut self, spec: &SettingSpec, text: &str) -> u64 {
        let (min, max) = spec.bounds.unwrap_or((0, u64::MAX));
        match text.parse() {
            Ok(value) if (min..=max).contains(&value) => value,
            _ => {
                self.add_value_problem(
                    spec,
                    text,
                    &format!("use a whole number from {min} to {max}"),
                );
                min
            }
        }
    }

    /// Parses a duration in whole milliseconds.
    pub(super) fn read_duration(&mut self, flag: &'static str) -> Duration {
        Duration::from_millis(self.read_bounded(flag))
    }

    /// Records a problem.
    pub(super) fn add_problem(&mut self, problem: String) {
        self.problems.push(problem);
    }

    /// Returns the settings, or an error with all recorded problems and all
    /// arguments that were not read.
    pub(super) fn finish<T>(mut self, settings: T) -> Result<T, SettingsError> {
        for argument in self.arguments.finish() {
            let text = argument.to_string_lossy();
            self.problems.push(format!(
                "`{text}` is no setting or is given twice; remove it, or see --help"
            ));
        }
        if self.problems.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError {
                problems: self.problems,
            })
        }
    }

    /// Returns the value of the flag, else of its environment variable, else the
    /// default. Records a problem if there is none.
    fn raw_value(&mut self, flag: &'static str) -> Option<(&'static SettingSpec, String)> {
        let spec = SETTINGS
            .iter()
            .find(|spec| spec.flag == flag)
            .expect("each setting that is read is in the table");
        let variable = spec.environment_variable();
        let given = match self.arguments.opt_value_from_str::<_, String>(flag) {
            Ok(given) => given,
            Err(error) => {
                let placeholder = spec.placeholder;
                self.add_problem(format!("{flag}: {error}; pass {flag} {placeholder}"));
                return None;
            }
        };
        let given = given
            .or_else(|| self.environment.get(&variable).cloned())
            .or_else(|| spec.default.map(ToOwned::to_owned));
        if given.is_none() {
            let placeholder = spec.placeholder;
            self.add_problem(format!(
                "{flag} is missing; pass {flag} {placeholder} or set {variable}"
            ));
        }
        given.map(|text| (spec, text))
    }

    fn add_value_problem(&mut self, spec: &SettingSpec, text: &str, remedy: &str) {
        let flag = spec.flag;
        self.add_problem(format!("{flag} `{text}`: {remedy}"));
    }
}

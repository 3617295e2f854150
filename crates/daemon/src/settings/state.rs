//! The daemon's settings.

use std::{
    collections::BTreeMap, ffi::OsString, fmt::Display, net::SocketAddr, str::FromStr,
    time::Duration,
};

use auburnsaddle_core::{DaemonId, RegionId, ZoneId};
use log::LevelFilter;

use super::messages::SettingsError;

/// Everything that a daemon is told at its start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DaemonSettings {
    /// Unique name of the daemon.
    pub name: DaemonId,
    /// The daemon's region.
    pub region: RegionId,
    /// The daemon's availability zone.
    pub zone: ZoneId,
    /// Address for callers and operators.
    pub listen: SocketAddr,
    /// Address for other daemons.
    pub peer_listen: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the platform's list of hosts.
    pub hosts: SocketAddr,
    /// Time between heartbeats to each peer.
    pub heartbeat_interval: Duration,
    /// Time between readings of the list of hosts.
    pub poll_interval: Duration,
    /// This daemon's share of the store's writes per second.
    pub store_writes: u32,
    /// This daemon's share of the store's reads per second.
    pub store_reads: u32,
    /// Longest time that a drain may take.
    pub drain_deadline: Duration,
    /// Most connections of callers and operators at once.
    pub max_connections: usize,
    /// Least severe level that is logged; `debug` has a line for each request.
    pub log_level: LevelFilter,
}

/// Reads settings one by one and collects what is wrong with them.
struct SettingsReader {
    arguments: pico_args::Arguments,
    environment: BTreeMap<String, String>,
    problems: Vec<String>,
}

impl DaemonSettings {
    /// Reads the settings of this process.
    ///
    /// # Errors
    ///
    /// Returns all settings that are missing or malformed, in one error.
    pub fn from_environment() -> Result<Self, SettingsError> {
        let arguments = std::env::args_os().skip(1).collect();
        Self::read(arguments, std::env::vars().collect())
    }

    /// Reads settings from arguments and environment variables.
    ///
    /// # Errors
    ///
    /// Returns all settings that are missing or malformed, in one error.
    pub fn read(
        arguments: Vec<OsString>,
        environment: BTreeMap<String, String>,
    ) -> Result<Self, SettingsError> {
        let mut reader = SettingsReader {
            arguments: pico_args::Arguments::from_vec(arguments),
            environment,
            problems: Vec::new(),
        };
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = Self {
            name: reader.required("--name", String::new()).into(),
            region: reader.required("--region", String::new()).into(),
            zone: reader.required("--zone", String::new()).into(),
            listen: reader.optional("--listen", SocketAddr::from(([127, 0, 0, 1], 7480))),
            peer_listen: reader.optional("--peer-listen", SocketAddr::from(([127, 0, 0, 1], 7481))),
            store: reader.required("--store", unset),
            hosts: reader.required("--hosts", unset),
            heartbeat_interval: Duration::from_millis(
                reader.optional("--heartbeat-interval-ms", 500),
            ),
            poll_interval: Duration::from_millis(reader.optional("--poll-interval-ms", 500)),
            store_writes: reader.optional("--store-writes-per-second", 20),
            store_reads: reader.optional("--store-reads-per-second", 50),
            drain_deadline: Duration::from_millis(reader.optional("--drain-deadline-ms", 30_000)),
            max_connections: reader.optional("--max-connections", 4_096),
            log_level: reader.optional("--log-level", LevelFilter::Info),
        };
        reader.finish(settings)
    }
}

impl SettingsReader {
    fn required<T>(&mut self, flag: &'static str, unset: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        if let Some(value) = self.value(flag) {
            return value;
        }
        let variable = variable_name(flag);
        self.problems.push(format!(
            "{flag} is missing; pass {flag} VALUE or set {variable}"
        ));
        unset
    }

    fn optional<T>(&mut self, flag: &'static str, default: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        self.value(flag).unwrap_or(default)
    }

    /// Returns the value of a flag or of its environment variable.
    fn value<T>(&mut self, flag: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = match self.arguments.opt_value_from_str::<_, String>(flag) {
            Ok(Some(text)) => Some(text),
            Ok(None) => self.environment.get(&variable_name(flag)).cloned(),
            Err(error) => {
                self.problems
                    .push(format!("{flag}: {error}; pass {flag} VALUE"));
                None
            }
        }?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.problems
                    .push(format!("{flag} `{text}`: {error}; correct the value"));
                None
            }
        }
    }

    fn finish(mut self, settings: DaemonSettings) -> Result<DaemonSettings, SettingsError> {
        for argument in self.arguments.finish() {
            let text = argument.to_string_lossy();
            self.problems
                .push(format!("`{text}` is no setting; remove it"));
        }
        if self.problems.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError {
                problems: self.problems,
            })
        }
    }
}

/// Returns the environment variable of a flag.
fn variable_name(flag: &str) -> String {
    let name = flag
        .trim_start_matches('-')
        .replace('-', "_")
        .to_uppercase();
    format!("AUBURNSADDLE_{name}")
}

//! The daemon's settings.

use std::{collections::BTreeMap, ffi::OsString, net::SocketAddr, time::Duration};

use auburnsaddle_core::{DaemonId, RegionId, ZoneId};
use log::LevelFilter;

use super::{messages::SettingsError, reader::SettingsReader, table::help_text};

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
    /// Address that other daemons connect to, if it differs from the one
    /// listened on.
    pub peer_advertise: Option<SocketAddr>,
    /// Peers to ask when the store is away at the start.
    pub peers: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the platform's list of hosts.
    pub hosts: SocketAddr,
    /// The least severe messages that are logged.
    pub log_level: LevelFilter,
    /// Time between heartbeats to each peer.
    pub heartbeat_interval: Duration,
    /// Time between readings of the list of hosts.
    pub poll_interval: Duration,
    /// Time over which records are gathered into one write; `None` to derive
    /// it from the number of daemons.
    pub commit_interval: Option<Duration>,
    /// Time between two exchanges with each worker.
    pub sync_interval: Duration,
    /// This daemon's share of the store's writes per second; `None` to derive
    /// it from the number of daemons.
    pub store_writes: Option<u32>,
    /// This daemon's share of the store's reads per second; `None` to derive
    /// it from the number of daemons.
    pub store_reads: Option<u32>,
    /// Longest time that a drain may take.
    pub drain_deadline: Duration,
    /// Limits for callers.
    pub limits: CallerLimits,
}

/// Limits that protect the daemon from its callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest header block of a request, in bytes.
    pub header_bytes: usize,
    /// Time in which the headers of a request must arrive.
    pub header_timeout: Duration,
    /// Time in which the body of a request must arrive.
    pub body_timeout: Duration,
    /// Connections that are open at the same time.
    pub connections: usize,
}

/// What the command line of the daemon asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DaemonCommand {
    /// Runs the daemon.
    Run(Box<DaemonSettings>),
    /// Checks the settings only; they are valid.
    CheckSettings,
    /// Prints a text.
    Print(String),
}

impl DaemonCommand {
    /// Reads the command line and the environment of this process.
    ///
    /// # Errors
    ///
    /// Returns all settings that are missing or malformed, in one error.
    pub fn from_environment() -> Result<Self, SettingsError> {
        let arguments = std::env::args_os().skip(1).collect();
        // Variables that are not valid Unicode cannot be settings.
        let variables = std::env::vars_os().filter_map(|(name, value)| {
            Some((name.into_string().ok()?, value.into_string().ok()?))
        });
        Self::read(arguments, variables.collect())
    }

    /// Reads a command line and environment variables.
    ///
    /// # Errors
    ///
    /// Returns all settings that are missing or malformed, in one error.
    pub fn read(
        arguments: Vec<OsString>,
        environment: BTreeMap<String, String>,
    ) -> Result<Self, SettingsError> {
        let mut reader = SettingsReader::new(arguments, environment);
        if reader.has_flag(&["-h", "--help"]) {
            return Ok(Self::Print(help_text()));
        }
        if reader.has_flag(&["-V", "--version"]) {
            let version = env!("CARGO_PKG_VERSION");
            return Ok(Self::Print(format!("auburnsaddled {version}")));
        }
        let check_only = reader.has_flag(&["--check-settings"]);
        let settings = DaemonSettings::read_from(&mut reader);
        let settings = reader.finish(settings)?;
        if check_only {
            return Ok(Self::CheckSettings);
        }
        Ok(Self::Run(Box::new(settings)))
    }
}

impl DaemonSettings {
    fn read_from(reader: &mut SettingsReader) -> Self {
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = Self {
            name: reader.read_name("--name").into(),
            region: reader.read_name("--region").into(),
            zone: reader.read_name("--zone").into(),
            listen: reader.read("--listen", unset),
            peer_listen: reader.read("--peer-listen", unset),
            peer_advertise: reader.read_optional("--peer-advertise"),
            peers: reader.read_list("--peers"),
            store: reader.read("--store", unset),
            hosts: reader.read("--hosts", unset),
            log_level: reader.read("--log-level", LevelFilter::Info),
            heartbeat_interval: reader.read_duration("--heartbeat-interval-ms"),
            poll_interval: reader.read_duration("--poll-interval-ms"),
            commit_interval: reader
                .read_derived("--commit-interval-ms")
                .map(Duration::from_millis),
            sync_interval: reader.read_duration("--sync-interval-ms"),
            store_writes: reader.read_derived("--store-writes-per-second"),
            store_reads: reader.read_derived("--store-reads-per-second"),
            drain_deadline: reader.read_duration("--drain-deadline-ms"),
            limits: CallerLimits {
                header_bytes: reader.read_number("--header-limit"),
                header_timeout: reader.read_duration("--header-timeout-ms"),
                body_timeout: reader.read_duration("--body-timeout-ms"),
                connections: reader.read_number("--connection-limit"),
            },
        };
        // Port 0 asks the system for any free port, so it cannot clash.
        if settings.listen == settings.peer_listen && settings.listen.port() != 0 {
            reader.note(format!(
                "--listen and --peer-listen are both {}; use two addresses",
                settings.listen
            ));
        }
        settings
    }
}

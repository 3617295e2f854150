//! Settings and command line of the daemon.

use std::{collections::BTreeMap, ffi::OsString, net::SocketAddr, time::Duration};

use auburnsaddle_core::{DaemonId, RegionId, ZoneId};
use log::LevelFilter;

use super::{messages::SettingsError, reader::SettingsReader, table::help_text};

/// Settings of a daemon, fixed for the lifetime of the process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DaemonSettings {
    /// Name of the daemon, unique in the cluster.
    pub name: DaemonId,
    /// Region in which the daemon runs.
    pub region: RegionId,
    /// Availability zone in which the daemon runs.
    pub zone: ZoneId,
    /// Listening address for callers and operators.
    pub listen: SocketAddr,
    /// Listening address for other daemons.
    pub peer_listen: SocketAddr,
    /// Address to which other daemons connect, if it differs from
    /// [`peer_listen`](Self::peer_listen).
    pub peer_advertise: Option<SocketAddr>,
    /// Peers from which members and owners are requested if the store is
    /// unavailable at startup.
    pub peers: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the platform's list of hosts.
    pub hosts: SocketAddr,
    /// Least severe level that is logged.
    pub log_level: LevelFilter,
    /// Interval of the heartbeats to each peer.
    pub heartbeat_interval: Duration,
    /// Interval at which the list of hosts is read.
    pub poll_interval: Duration,
    /// Time for which records are batched into one write; `None` to derive it
    /// from the number of daemons.
    pub commit_interval: Option<Duration>,
    /// Interval at which the leases and completions of each worker are
    /// synchronized.
    pub sync_interval: Duration,
    /// This daemon's share of the store's writes per second; `None` to derive
    /// it from the number of daemons.
    pub store_writes: Option<u32>,
    /// This daemon's share of the store's reads per second; `None` to derive
    /// it from the number of daemons.
    pub store_reads: Option<u32>,
    /// Bounds the duration of a drain.
    pub drain_deadline: Duration,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
}

/// Limits that protect the daemon from excessive or slow callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Bounds the header block of a request, in bytes.
    pub header_bytes: usize,
    /// Bounds the time until the headers of a request have arrived, counted from
    /// the end of the previous request.
    pub header_timeout: Duration,
    /// Bounds the time spent on waiting for the body of a request.
    pub body_timeout: Duration,
    /// Bounds the number of open connections.
    pub connections: usize,
}

/// The action that the command line requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DaemonCommand {
    /// Runs the daemon.
    Run(Box<DaemonSettings>),
    /// Exits, because only a check of the settings was requested and they are
    /// valid.
    CheckSettings,
    /// Prints the help text or the version.
    Print(String),
}

impl DaemonCommand {
    /// Parses the command line and the environment of this process.
    ///
    /// # Errors
    ///
    /// Returns one error that lists all missing, unknown and invalid settings.
    pub fn from_environment() -> Result<Self, SettingsError> {
        let arguments = std::env::args_os().skip(1).collect();
        // Variables that are not valid Unicode cannot be settings.
        let variables = std::env::vars_os().filter_map(|(name, value)| {
            Some((name.into_string().ok()?, value.into_string().ok()?))
        });
        Self::read(arguments, variables.collect())
    }

    /// Parses a command line, without the program name, and environment variables.
    ///
    /// # Errors
    ///
    /// Returns one error that lists all missing, unknown and invalid settings.
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
        let is_check_only = reader.has_flag(&["--check-settings"]);
        let settings = DaemonSettings::read_from(&mut reader);
        let settings = reader.finish(settings)?;
        if is_check_only {
            return Ok(Self::CheckSettings);
        }
        Ok(Self::Run(Box::new(settings)))
    }
}

impl DaemonSettings {
    fn read_from(reader: &mut SettingsReader) -> Self {
        let fallback = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = Self {
            name: reader.read_name("--name").into(),
            region: reader.read_name("--region").into(),
            zone: reader.read_name("--zone").into(),
            listen: reader.read("--listen", fallback),
            peer_listen: reader.read("--peer-listen", fallback),
            peer_advertise: reader.read_optional("--peer-advertise"),
            peers: reader.read_list("--peers"),
            store: reader.read("--store", fallback),
            hosts: reader.read("--hosts", fallback),
            log_level: reader.read("--log-level", LevelFilter::Info),
            heartbeat_interval: reader.read_duration("--heartbeat-interval-ms"),
            poll_interval: reader.read_duration("--poll-interval-ms"),
            commit_interval: reader
                .read_optional_number("--commit-interval-ms")
                .map(Duration::from_millis),
            sync_interval: reader.read_duration("--sync-interval-ms"),
            store_writes: reader.read_optional_number("--store-writes-per-second"),
            store_reads: reader.read_optional_number("--store-reads-per-second"),
            drain_deadline: reader.read_duration("--drain-deadline-ms"),
            limits: CallerLimits {
                header_bytes: reader.read_number("--header-limit"),
                header_timeout: reader.read_duration("--header-timeout-ms"),
                body_timeout: reader.read_duration("--body-timeout-ms"),
                connections: reader.read_number("--connection-limit"),
            },
        };
        // With port 0 the system assigns each listener a free port, so the
        // addresses cannot conflict.
        if settings.listen == settings.peer_listen && settings.listen.port() != 0 {
            reader.add_problem(format!(
                "--listen and --peer-listen are both {}; use two addresses",
                settings.listen
            ));
        }
        settings
    }
}

//! The table of settings that drives parsing, help and documentation.

/// Description of a setting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct SettingSpec {
    /// Flag, from which the name of the environment variable is derived.
    pub(super) flag: &'static str,
    /// Placeholder for the value in the help text; names the unit of a number.
    pub(super) placeholder: &'static str,
    /// Default value, empty for an optional setting without one; `None` for a
    /// required setting.
    pub(super) default: Option<&'static str>,
    /// Smallest and largest valid value of a number.
    pub(super) bounds: Option<(u64, u64)>,
    /// Description in the help text and the operators' documentation.
    pub(super) description: &'static str,
}

/// All settings, in the order of the help text.
pub(super) const SETTINGS: &[SettingSpec] = &[
    required("--name", "NAME", "unique name of this daemon"),
    required("--region", "NAME", "region of this daemon"),
    required("--zone", "NAME", "availability zone of this daemon"),
    required("--store", "IP:PORT", "address of the platform's store"),
    required(
        "--hosts",
        "IP:PORT",
        "address of the platform's list of hosts",
    ),
    optional(
        "--listen",
        "IP:PORT",
        "127.0.0.1:7480",
        "address for callers and operators",
    ),
    optional(
        "--peer-listen",
        "IP:PORT",
        "127.0.0.1:7481",
        "address for other daemons",
    ),
    optional(
        "--peer-advertise",
        "IP:PORT",
        "",
        "address that other daemons connect to, if it is not that of --peer-listen",
    ),
    optional(
        "--peers",
        "IP:PORT,...",
        "",
        "peers to ask when the store is away at the start",
    ),
    optional(
        "--log-level",
        "LEVEL",
        "info",
        "off, error, warn, info, debug or trace",
    ),
    bounded_number(
        "--heartbeat-interval-ms",
        "MILLISECONDS",
        "500",
        (50, 10_000),
        "time between heartbeats to each peer",
    ),
    bounded_number(
        "--poll-interval-ms",
        "MILLISECONDS",
        "1000",
        (50, 60_000),
        "time between readings of the list of hosts",
    ),
    bounded_number(
        "--commit-interval-ms",
        "MILLISECONDS",
        "",
        (5, 5_000),
        "time over which records are gathered into one write; if unset, by the number of daemons",
    ),
    bounded_number(
        "--sync-interval-ms",
        "MILLISECONDS",
        "1000",
        (100, 15_000),
        "time between two exchanges with each worker",
    ),
    bounded_number(
        "--store-writes-per-second",
        "WRITES",
        "",
        (1, 1_000),
        "this daemon's share of the store's writes; if unset, 200 divided by the daemons",
    ),
    bounded_number(
        "--store-reads-per-second",
        "READS",
        "",
        (1, 10_000),
        "this daemon's share of the store's reads; if unset, 1000 divided by the daemons",
    ),
    bounded_number(
        "--drain-deadline-ms",
        "MILLISECONDS",
        "30000",
        (100, 3_600_000),
        "longest time that a drain may take",
    ),
    bounded_number(
        "--header-limit",
        "BYTES",
        "16384",
        (1_024, 1 << 20),
        "largest header block of a request",
    ),
    bounded_number(
        "--header-timeout-ms",
        "MILLISECONDS",
        // Also closes idle connections. Common clients close theirs after 90 s at
        // most; if the daemon closed first, it would reset a request that is just
        // being sent.
        "100000",
        (100, 600_000),
        "time in which the headers of a request must arrive, from the end of the one before",
    ),
    bounded_number(
        "--body-timeout-ms",
        "MILLISECONDS",
        "30000",
        (100, 3_600_000),
        "longest time spent on waiting for the body of a request",
    ),
    bounded_number(
        "--connection-limit",
        "CONNECTIONS",
        "10000",
        (1, 1_000_000),
        "connections of callers that are open at the same time",
    ),
];

const fn required(
    flag: &'static str,
    placeholder: &'static str,
    description: &'static str,
) -> SettingSpec {
    SettingSpec {
        flag,
        placeholder,
        default: None,
        bounds: None,
        description,
    }
}

const fn optional(
    flag: &'static str,
    placeholder: &'static str,
    default: &'static str,
    description: &'static str,
) -> SettingSpec {
    SettingSpec {
        flag,
        placeholder,
        default: Some(default),
        bounds: None,
        description,
    }
}

const fn bounded_number(
    flag: &'static str,
    placeholder: &'static str,
    default: &'static str,
    bounds: (u64, u64),
    description: &'static str,
) -> SettingSpec {
    SettingSpec {
        flag,
        placeholder,
        default: Some(default),
        bounds: Some(bounds),
        description,
    }
}

impl SettingSpec {
    /// Returns the name of the environment variable.
    pub(super) fn environment_variable(&self) -> String {
        let name = self.flag.trim_start_matches('-').replace('-', "_");
        format!("AUBURNSADDLE_{}", name.to_uppercase())
    }

    /// Returns the default and the bounds for the help text.
    fn default_text(&self) -> String {
        let default = match self.default {
            None => "required".to_owned(),
            Some("") => "default none".to_owned(),
            Some(text) => format!("default {text}"),
        };
        match self.bounds {
            None => default,
            Some((min, max)) => format!("{default}, {min} to {max}"),
        }
    }
}

/// Appends a line per setting, formatted by `format_line` from the flag, environment
/// variable, placeholder, default and description.
fn write_settings(text: &mut String, format_line: impl Fn([&str; 5]) -> String) {
    for spec in SETTINGS {
        let variable = spec.environment_variable();
        let default = spec.default_text();
        let columns = [
            spec.flag,
            &variable,
            spec.placeholder,
            &default,
            spec.description,
        ];
        text.push_str(&format_line(columns));
        text.push('\n');
    }
}

/// Returns the output of `--help`.
pub(super) fn help_text() -> String {
    let mut text = "Usage: auburnsaddled --name NAME --region NAME --zone NAME \
                    --store IP:PORT --hosts IP:PORT [SETTINGS]\n\nSettings:\n"
        .to_owned();
    write_settings(
        &mut text,
        |[flag, variable, placeholder, default, description]| {
            format!("  {flag} {placeholder}\n      {description}\n      [{variable}, {default}]")
        },
    );
    text + "
Other flags:
  --check-settings  check the settings and exit
  -h, --help        explain the settings and exit
  -V, --version     print the version and exit

A flag wins over its environment variable. No setting holds a secret.

Exit codes:
  0  stopped as asked, or the settings are valid
  1  could not start
  2  settings cannot be used"
}

/// Returns the settings as a Markdown table for the operators' documentation.
#[cfg(test)]
pub(super) fn markdown_table() -> String {
    let mut text = "| flag | environment variable | value | default | meaning |\n\
                    |---|---|---|---|---|\n"
        .to_owned();
    write_settings(
        &mut text,
        |[flag, variable, placeholder, default, description]| {
            format!("| `{flag}` | `{variable}` | {placeholder} | {default} | {description} |")
        },
    );
    text
}

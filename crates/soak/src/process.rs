//! Daemon processes, with their settings files and logs.

use std::{
    fs::{self, File},
    io::{BufRead, BufReader, Write},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::{Value, json};
use snafu::ResultExt;

use crate::{
    HOST,
    error::{ExitedEarlySnafu, LaunchSnafu, SoakError},
};

/// Environment variable with the path of the daemon's settings file.
const SETTINGS_VARIABLE: &str = "AUBURNSADDLE_SETTINGS";

/// A daemon process, which is killed when this value is dropped.
#[derive(Debug)]
pub(crate) struct DaemonProcess {
    child: Child,
    settings_path: PathBuf,
    /// Longest lease that workers accept.
    max_lease: Duration,
    /// Port for callers. The operating system assigns a new one at each start.
    pub(crate) port: u16,
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // The process may already have exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl DaemonProcess {
    /// Starts a daemon, waits until it accepts connections, and copies its log to a file.
    pub(crate) fn launch(
        daemon_path: &Path,
        name: &str,
        store_address: &str,
        max_lease: Duration,
        output_dir: &Path,
    ) -> Result<Self, SoakError> {
        let settings_path = output_dir.join(format!("{name}.json"));
        write_settings(&settings_path, name, store_address, max_lease)?;
        let mut child = Command::new(daemon_path)
            .env(SETTINGS_VARIABLE, &settings_path)
            .stdout(Stdio::piped())
            .spawn()
            .context(LaunchSnafu { path: daemon_path })?;
        let Some(output) = child.stdout.take() else {
            return ExitedEarlySnafu { daemon: name }.fail();
        };
        let mut log = File::options()
            .create(true)
            .append(true)
            .open(output_dir.join(format!("{name}.log")))?;
        let mut output = BufReader::new(output);
        let port = loop {
            let mut line = String::new();
            if output.read_line(&mut line)? == 0 {
                return ExitedEarlySnafu { daemon: name }.fail();
            }
            log.write_all(line.as_bytes())?;
            if let Some(port) = parse_caller_port(&line) {
                break port;
            }
        };
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                if let Err(error) = writeln!(log, "{line}") {
                    eprintln!("cannot write the log of a daemon: {error}");
                    return;
                }
            }
        });
        Ok(Self {
            child,
            settings_path,
            max_lease,
            port,
        })
    }

    /// Sends a signal to this process only.
    pub(crate) fn send_signal(&self, signal: Signal) -> Result<(), SoakError> {
        let id = i32::try_from(self.child.id()).unwrap_or(i32::MAX);
        kill(Pid::from_raw(id), signal)?;
        Ok(())
    }

    /// Waits until the process has exited, without sending it a signal.
    pub(crate) async fn wait_for_exit(&mut self) -> Result<(), SoakError> {
        while self.child.try_wait()?.is_none() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Writes the settings file again, as an operator does before SIGHUP.
    pub(crate) fn rewrite_settings(
        &self,
        name: &str,
        store_address: &str,
    ) -> Result<(), SoakError> {
        write_settings(&self.settings_path, name, store_address, self.max_lease)
    }
}

/// Writes the settings of a daemon that listens on ports assigned by the system.
pub(crate) fn write_settings(
    path: &Path,
    name: &str,
    store_address: &str,
    max_lease: Duration,
) -> Result<(), SoakError> {
    let max_hold_ms = u64::try_from(max_lease.as_millis()).unwrap_or(u64::MAX);
    let address = format!("{HOST}:0");
    let settings = json!({
        "node-name": name, "zone": "z1",
        "listen-addrs": {
            "frontend": address, "readiness": address, "control-plane": address,
        },
        "platform": {"address": store_address, "min-ttl-ms": 1_000},
        "contracts": ["tenants", "quota", "pressure"],
        "bounds": {"max-hold-ms": max_hold_ms, "grace-s": 6, "status_s": 120},
    });
    fs::write(path, settings.to_string())?;
    Ok(())
}

/// Returns the port for callers if this log line reports it.
fn parse_caller_port(line: &str) -> Option<u16> {
    let line: Value = serde_json::from_str(line).ok()?;
    let address = line["fields"]["callers"].as_str()?;
    let is_listening = line["message"] == "listening";
    let (_, port) = address.rsplit_once(':')?;
    is_listening.then(|| port.parse().ok())?
}

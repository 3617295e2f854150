//! A daemon process, its settings and its log.

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

use crate::error::{EndedSnafu, LaunchSnafu, SoakError};

/// Names the settings file to the daemon.
const SETTINGS_VARIABLE: &str = "AUBURNSADDLE_SETTINGS";

/// A running daemon. It ends with this value.
#[derive(Debug)]
pub(crate) struct DaemonProcess {
    child: Child,
    settings: PathBuf,
    /// Port for callers, which changes with each start.
    pub(crate) port: u16,
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl DaemonProcess {
    /// Starts a daemon and waits until it listens.
    pub(crate) fn launch(
        daemon_path: &Path,
        name: &str,
        store: &str,
        output_dir: &Path,
    ) -> Result<Self, SoakError> {
        let settings = output_dir.join(format!("{name}.json"));
        write_settings(&settings, name, store)?;
        let mut child = Command::new(daemon_path)
            .env(SETTINGS_VARIABLE, &settings)
            .stdout(Stdio::piped())
            .spawn()
            .context(LaunchSnafu { path: daemon_path })?;
        let Some(output) = child.stdout.take() else {
            return EndedSnafu { daemon: name }.fail();
        };
        let mut log = File::options()
            .create(true)
            .append(true)
            .open(output_dir.join(format!("{name}.log")))?;
        let mut output = BufReader::new(output);
        let port = loop {
            let mut line = String::new();
            if output.read_line(&mut line)? == 0 {
                return EndedSnafu { daemon: name }.fail();
            }
            log.write_all(line.as_bytes())?;
            if let Some(port) = caller_port(&line) {
                break port;
            }
        };
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                if let Err(error) = writeln!(log, "{line}") {
                    eprintln!("the log of a daemon cannot be written: {error}");
                    return;
                }
            }
        });
        Ok(Self {
            child,
            settings,
            port,
        })
    }

    pub(crate) fn signal(&self, signal: Signal) -> Result<(), SoakError> {
        let id = i32::try_from(self.child.id()).unwrap_or(i32::MAX);
        kill(Pid::from_raw(id), signal)?;
        Ok(())
    }

    /// Waits until the process has ended by itself.
    pub(crate) async fn ended(&mut self) -> Result<(), SoakError> {
        while self.child.try_wait()?.is_none() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Writes the settings file again, as its owner would.
    pub(crate) fn rewrite_settings(&self, name: &str, store: &str) -> Result<(), SoakError> {
        write_settings(&self.settings, name, store)
    }
}

fn write_settings(path: &Path, name: &str, store: &str) -> Result<(), SoakError> {
    let address = "127.0.0.1:0";
    let settings = json!({
        "node-name": name, "zone": "z1",
        "listen-addrs": {
            "frontend": address, "readiness": address, "control-plane": address,
        },
        "platform": {"address": store, "min-ttl-ms": 1_000},
        "bounds": {"max-hold-ms": 6_000, "grace-s": 6, "status_s": 120},
    });
    fs::write(path, settings.to_string())?;
    Ok(())
}

/// Returns the port for callers if the line tells it.
fn caller_port(line: &str) -> Option<u16> {
    let line: Value = serde_json::from_str(line).ok()?;
    let address = line["fields"]["callers"].as_str()?;
    let is_listening = line["message"] == "listening";
    let (_, port) = address.rsplit_once(':')?;
    is_listening.then(|| port.parse().ok())?
}

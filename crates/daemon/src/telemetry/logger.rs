//! Logger that writes JSON lines to standard error or standard output.

use std::{
    collections::BTreeMap,
    io::Write,
    time::{SystemTime, UNIX_EPOCH},
};

use log::{
    LevelFilter, Log, Metadata, Record,
    kv::{self, Key, Value, VisitSource},
};
use serde_json::json;
use simplelog::{CombinedLogger, Config, SharedLogger};

use super::{
    output::OutputQueue,
    request::{current_request_id, format_request_id},
};

/// Log field with the ID of the request on whose behalf a line is logged.
const REQUEST_FIELD: &str = "request_id";

/// Writes each record as a JSON object on a line of its own.
///
/// `simplelog` has no JSON output, so this logger is plugged into its
/// [`CombinedLogger`].
struct JsonLogger {
    daemon: String,
    level: LevelFilter,
    sink: LogSink,
}

/// Destination of the log lines.
enum LogSink {
    /// Standard error, written synchronously.
    Stderr,
    /// Standard output, written through a bounded queue.
    Stdout(OutputQueue),
}

/// The structured fields of a record, by key.
#[derive(Default)]
struct FieldMap(BTreeMap<String, String>);

impl<'kvs> VisitSource<'kvs> for FieldMap {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

/// Installs a logger that writes to standard error synchronously. Has no effect
/// if a logger is already installed.
pub(crate) fn init_logger(daemon: &str, level: LevelFilter) {
    install_logger(daemon, level, LogSink::Stderr);
}

/// Installs a logger that writes to standard output and never blocks on a slow
/// reader. Has no effect if a logger is already installed.
pub(crate) fn init_output_logger(daemon: &str, level: LevelFilter) {
    install_logger(daemon, level, LogSink::Stdout(OutputQueue::start()));
}

fn install_logger(daemon: &str, level: LevelFilter, sink: LogSink) {
    let logger = JsonLogger {
        daemon: daemon.to_owned(),
        level,
        sink,
    };
    // Fails only if a logger is already installed, as in tests.
    let _ = CombinedLogger::init(vec![Box::new(logger)]);
}

impl Log for JsonLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let mut fields = FieldMap::default();
        // `FieldMap::visit_pair` never fails.
        let _ = record.key_values().visit(&mut fields);
        if let Some(request) = current_request_id() {
            let name = REQUEST_FIELD.to_owned();
            fields.0.insert(name, format_request_id(request));
        }
        let line = json!({
            "time_unix_ms": u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
            "level": record.level().as_str(),
            "daemon": self.daemon,
            "module": record.target(),
            "message": record.args().to_string(),
            "fields": fields.0,
        });
        match &self.sink {
            // A closed standard error must not terminate the daemon.
            LogSink::Stderr => drop(writeln!(std::io::stderr().lock(), "{line}")),
            LogSink::Stdout(queue) => queue.enqueue(record, &line),
        }
    }

    fn flush(&self) {
        match &self.sink {
            LogSink::Stderr => {}
            LogSink::Stdout(queue) => queue.flush(),
        }
    }
}

impl SharedLogger for JsonLogger {
    fn level(&self) -> LevelFilter {
        self.level
    }

    fn config(&self) -> Option<&Config> {
        None
    }

    fn as_log(self: Box<Self>) -> Box<dyn Log> {
        self
    }
}

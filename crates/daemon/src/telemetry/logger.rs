//! A logger that writes JSON lines to standard error or standard output.

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

/// Field of the lines that belong to a request.
const REQUEST_FIELD: &str = "request_id";

/// Writes each record as one JSON object on a line.
///
/// `simplelog` has no JSON output, so this logger takes part in its
/// [`CombinedLogger`] instead.
struct JsonLogger {
    daemon: String,
    level: LevelFilter,
    sink: LogSink,
}

/// Where lines go.
enum LogSink {
    /// Standard error, at once.
    Error,
    /// Standard output, through a bounded queue.
    Output(OutputQueue),
}

/// The structured fields of a record.
#[derive(Default)]
struct FieldMap(BTreeMap<String, String>);

impl<'kvs> VisitSource<'kvs> for FieldMap {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

/// Installs the logger of the process; a second call has no effect.
pub(crate) fn init_logger(daemon: &str, level: LevelFilter) {
    install(daemon, level, LogSink::Error);
}

/// Installs a logger that writes to standard output and never waits for a reader.
pub(crate) fn init_output_logger(daemon: &str, level: LevelFilter) {
    install(daemon, level, LogSink::Output(OutputQueue::start()));
}

fn install(daemon: &str, level: LevelFilter, sink: LogSink) {
    let logger = JsonLogger {
        daemon: daemon.to_owned(),
        level,
        sink,
    };
    // Fails only if a logger is installed already, as in tests.
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
        // The map accepts every field.
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
            // A closed standard error must not end the daemon.
            LogSink::Error => drop(writeln!(std::io::stderr().lock(), "{line}")),
            LogSink::Output(queue) => queue.push(record, &line),
        }
    }

    fn flush(&self) {
        match &self.sink {
            LogSink::Error => {}
            LogSink::Output(queue) => queue.flush(),
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

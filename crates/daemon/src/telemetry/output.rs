//! Bounded queue of log lines that a dedicated thread writes to standard output.
//!
//! A reader that does not keep up must not delay requests, so lines are dropped
//! and counted while the queue is full. Routine lines (level info or below) are
//! dropped at a lower fill level and above a rate per log statement, which leaves
//! room for warnings and errors.

use std::{
    collections::BTreeMap,
    fmt::Display,
    io::Write,
    sync::{Arc, Condvar, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use log::{Level, Record};

/// Bounds the queued lines of all levels.
const MAX_QUEUED_LINES: usize = 4_096;

/// Queue length at which routine lines are dropped.
const MAX_QUEUED_ROUTINE_LINES: usize = 2_048;

/// Bounds the routine lines of a single log statement.
const MAX_ROUTINE_LINES_PER_SECOND: u32 = 30;

/// Pause between two writes, so that each system call writes several lines.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Bounds the wait for queued lines when the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Module and line number of a log statement.
type LogSite = (Option<&'static str>, Option<u32>);

/// Queued lines and the counters that bound them.
#[derive(Default)]
struct QueueState {
    lines: Vec<String>,
    /// Whether the writer thread is writing lines that it has dequeued.
    is_writing: bool,
    /// Routine lines of each log statement in the current one-second window.
    site_counts: BTreeMap<LogSite, u32>,
    window_start: Option<Instant>,
    /// Lines dropped since the last warning about dropped lines.
    dropped_lines: u64,
}

/// Queue of lines to be written to standard output.
pub(super) struct OutputQueue {
    state: Arc<(Mutex<QueueState>, Condvar)>,
}

impl OutputQueue {
    /// Returns an empty queue and starts its writer thread.
    pub(super) fn start() -> Self {
        let state: Arc<(Mutex<QueueState>, Condvar)> = Arc::default();
        let shared = Arc::clone(&state);
        let writer = thread::Builder::new().name("log".to_owned());
        let started = writer.spawn(move || write_lines(&shared.0, &shared.1));
        if let Err(error) = started {
            eprintln!("failed to start the log writer thread: {error}; nothing is logged");
        }
        Self { state }
    }

    /// Enqueues the line of a record, or counts it as dropped.
    pub(super) fn enqueue(&self, record: &Record<'_>, line: &impl Display) {
        let (lock, line_added) = &*self.state;
        let mut state = lock.lock().unwrap_or_else(PoisonError::into_inner);
        let site = (record.module_path_static(), record.line());
        if !state.admit(record.level(), site) {
            state.dropped_lines += 1;
            return;
        }
        state.lines.push(line.to_string());
        drop(state);
        line_added.notify_one();
    }

    /// Waits until all lines are written, or until [`FLUSH_TIMEOUT`] has passed.
    pub(super) fn flush(&self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while Instant::now() < deadline {
            let state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
            if state.lines.is_empty() && !state.is_writing {
                return;
            }
            drop(state);
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl QueueState {
    /// Returns whether a line may be enqueued, and counts it against the rate of
    /// its log statement if it is a routine line.
    fn admit(&mut self, level: Level, site: LogSite) -> bool {
        if level <= Level::Warn {
            return self.lines.len() < MAX_QUEUED_LINES;
        }
        let now = Instant::now();
        if self
            .window_start
            .is_none_or(|window_start| now - window_start >= Duration::from_secs(1))
        {
            self.window_start = Some(now);
            self.site_counts.clear();
        }
        let count = self.site_counts.entry(site).or_default();
        *count += 1;
        *count <= MAX_ROUTINE_LINES_PER_SECOND && self.lines.len() < MAX_QUEUED_ROUTINE_LINES
    }
}

fn write_lines(lock: &Mutex<QueueState>, line_added: &Condvar) {
    loop {
        let mut state = lock.lock().unwrap_or_else(PoisonError::into_inner);
        while state.lines.is_empty() {
            state = line_added
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        let mut lines = std::mem::take(&mut state.lines);
        let dropped_lines = std::mem::take(&mut state.dropped_lines);
        state.is_writing = true;
        drop(state);
        if dropped_lines > 0 {
            let line = serde_json::json!({
                "level": "WARN",
                "message": "log lines were left out",
                "fields": { "lines": dropped_lines },
            });
            lines.push(line.to_string());
        }
        lines.push(String::new());
        // A closed standard output must not terminate the daemon.
        let _ = std::io::stdout()
            .lock()
            .write_all(lines.join("\n").as_bytes());
        lock.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_writing = false;
        thread::sleep(WRITE_INTERVAL);
    }
}

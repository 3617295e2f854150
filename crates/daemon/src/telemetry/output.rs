//! A bounded queue of log lines, written to standard output by a thread of its own.
//!
//! A reader that does not read must not slow requests down, so a line that finds
//! the queue full is counted and left out. Routine lines are left out before the
//! queue is full, and above a rate, so that warnings and errors find room.

use std::{
    collections::BTreeMap,
    fmt::Display,
    io::Write,
    sync::{Arc, Condvar, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use log::{Level, Record};

/// Lines that may wait for the reader.
const QUEUE_LINES: usize = 4_096;

/// Lines of level info or below that may wait.
const ROUTINE_LINES: usize = 2_048;

/// Lines of level info or below from one place of the code that are written in a
/// second.
const ROUTINE_RATE: u32 = 30;

/// Pause between two writes, so that one system call writes several lines.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// How long the end of the process waits for the lines that are left.
const FLUSH_TIME: Duration = Duration::from_millis(500);

/// Module and line that a record comes from.
type LogPlace = (Option<&'static str>, Option<u32>);

#[derive(Default)]
struct QueueState {
    lines: Vec<String>,
    is_writing: bool,
    /// Lines of each place of the code in the present second.
    counts: BTreeMap<LogPlace, u32>,
    second: Option<Instant>,
    /// Lines that were left out since the last report.
    left_out: u64,
}

/// Lines that wait for the reader of standard output.
pub(super) struct OutputQueue {
    state: Arc<(Mutex<QueueState>, Condvar)>,
}

impl OutputQueue {
    /// Starts the thread that writes.
    pub(super) fn start() -> Self {
        let state: Arc<(Mutex<QueueState>, Condvar)> = Arc::default();
        let shared = Arc::clone(&state);
        let writer = thread::Builder::new().name("log".to_owned());
        let started = writer.spawn(move || write_lines(&shared.0, &shared.1));
        if let Err(error) = started {
            eprintln!("no thread for the log: {error}; nothing is logged");
        }
        Self { state }
    }

    /// Adds the line of a record, or counts it as left out.
    pub(super) fn push(&self, record: &Record<'_>, line: &impl Display) {
        let (lock, added) = &*self.state;
        let mut state = lock.lock().unwrap_or_else(PoisonError::into_inner);
        let place = (record.module_path_static(), record.line());
        if !state.admits(record.level(), place) {
            state.left_out += 1;
            return;
        }
        state.lines.push(line.to_string());
        drop(state);
        added.notify_one();
    }

    /// Waits until all lines are written, for a short time at most.
    pub(super) fn flush(&self) {
        let deadline = Instant::now() + FLUSH_TIME;
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
    fn admits(&mut self, level: Level, place: LogPlace) -> bool {
        if level <= Level::Warn {
            return self.lines.len() < QUEUE_LINES;
        }
        let now = Instant::now();
        if self
            .second
            .is_none_or(|second| now - second >= Duration::from_secs(1))
        {
            self.second = Some(now);
            self.counts.clear();
        }
        let count = self.counts.entry(place).or_default();
        *count += 1;
        *count <= ROUTINE_RATE && self.lines.len() < ROUTINE_LINES
    }
}

fn write_lines(lock: &Mutex<QueueState>, added: &Condvar) {
    loop {
        let mut state = lock.lock().unwrap_or_else(PoisonError::into_inner);
        while state.lines.is_empty() {
            state = added.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        let mut lines = std::mem::take(&mut state.lines);
        let left_out = std::mem::take(&mut state.left_out);
        state.is_writing = true;
        drop(state);
        if left_out > 0 {
            let line = serde_json::json!({
                "level": "WARN",
                "message": "log lines were left out",
                "fields": { "lines": left_out },
            });
            lines.push(line.to_string());
        }
        lines.push(String::new());
        // A closed standard output must not end the daemon.
        let _ = std::io::stdout()
            .lock()
            .write_all(lines.join("\n").as_bytes());
        lock.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_writing = false;
        thread::sleep(WRITE_INTERVAL);
    }
}

//! Checks of the state and the log of a daemon process.

use std::time::{Duration, Instant};

use super::{DaemonProcess, WAIT_TIMEOUT, child::read_end};

/// Pause between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl DaemonProcess {
    /// Asserts that the process runs or is suspended.
    pub fn assert_not_ended(&self) {
        let address = self.address;
        if let Some(end) = read_end(&self.child) {
            panic!("the daemon at {address} has ended: {end:?}");
        }
    }

    /// Kills the process and waits until it has ended.
    pub async fn kill(&self) {
        self.signal("-KILL");
        let started_at = Instant::now();
        while read_end(&self.child).is_none() {
            assert!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "the daemon does not end"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until `count` log lines contain a text in their messages, and returns
    /// whether they were logged.
    pub async fn has_logged(&self, text: &str, count: usize) -> bool {
        let started_at = Instant::now();
        while started_at.elapsed() < WAIT_TIMEOUT {
            if self.count_messages(text) >= count {
                return true;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        false
    }

    fn count_messages(&self, text: &str) -> usize {
        let log = self
            .log
            .lock()
            .expect("no thread panics with the lock held");
        let messages = log.iter().filter_map(|line| line["message"].as_str());
        messages.filter(|message| message.contains(text)).count()
    }
}

//! State of the daemon processes.

use std::process::Child;

use nix::{
    sys::wait::{Id, WaitPidFlag, WaitStatus, waitid},
    unistd::Pid,
};

/// Returns how a child process ended, or `None` if it runs or is suspended. The
/// process is not reaped, so that its ID is not assigned to another process.
pub fn read_end(child: &Child) -> Option<WaitStatus> {
    let id = i32::try_from(child.id()).expect("process IDs fit in 31 bits");
    let flags = WaitPidFlag::WEXITED | WaitPidFlag::WNOHANG | WaitPidFlag::WNOWAIT;
    match waitid(Id::Pid(Pid::from_raw(id)), flags) {
        Ok(WaitStatus::StillAlive) => None,
        Ok(end) => Some(end),
        Err(error) => panic!("process {id} cannot be waited for: {error}"),
    }
}

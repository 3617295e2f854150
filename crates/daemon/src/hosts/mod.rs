//! Reads the platform's list of hosts.

mod client;

pub(crate) use client::{HostClient, HostSource};

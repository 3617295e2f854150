//! Reads the platform's list of hosts, and judges failed exchanges with them.

mod client;
mod exchange;
#[cfg(test)]
mod tests;

pub(crate) use client::{HostClient, HostSource};
pub(crate) use exchange::{ExchangeFailure, admission_rejection, classify_failure};

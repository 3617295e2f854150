//! The platform's list of hosts, and the classification of failed exchanges with
//! targets.

mod client;
mod exchange;
#[cfg(test)]
mod tests;

pub(crate) use client::{HostClient, HostSource};
pub(crate) use exchange::{ExchangeFailure, admission_rejection, classify_failure};

//! Tests of [`QuotaLedger`](super::QuotaLedger) in virtual time.

mod allotments;
mod owners;
mod simulation;

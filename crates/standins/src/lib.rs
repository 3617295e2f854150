/*!
Test doubles for the services of the platform, for tests and the quick start.

* [`platform`]: the key-value store and the list of hosts.
* [`runner`]: targets for calls.
* [`worker`]: targets for tasks.

They keep all state in memory and implement the protocols that the daemon uses
with the real platform. This crate is not part of a release.
*/

pub mod http;
pub mod platform;
pub mod runner;
pub mod worker;

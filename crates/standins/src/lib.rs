/*!
Small stand-ins for what the platform provides, for tests and the quick start.

* [`platform`]: the key-value store and the list of hosts.
* [`runner`]: targets for short calls.
* [`worker`]: targets for tasks.

They keep everything in memory and speak the protocols that the daemon speaks
to the real platform. Nothing here is shipped.
*/

pub mod http;
pub mod platform;
pub mod runner;
pub mod worker;

//! Upper bounds of the values in objects.
//!
//! Each lies about ten times above the largest planned deployment, so that typing
//! errors are rejected and valid plans are not.

/// Maximum length of a name; names are parts of store keys and of paths.
pub(super) const MAX_NAME_CHARS: usize = 63;

/// Number of hosts above which a pool is reported as large, as its control traffic
/// exceeds 3 KB/s per daemon.
pub(super) const LARGE_POOL_HOSTS: u64 = 200;

/// Maximum number of hosts of one shape, and of hosts in one rack.
pub(super) const MAX_SHAPE_HOSTS: u64 = 100_000;

/// Maximum number of tasks of one object.
pub(super) const MAX_TASK_COUNT: u64 = 100_000;

/// Maximum processor capacity of a host or request of a task: 4,096 cores.
pub(super) const MAX_CPU_MILLI: u64 = 4_096_000;

/// Maximum memory of a host or task: 64 TiB.
pub(super) const MAX_MEMORY_MIB: u64 = 64 << 20;

/// Maximum number of accelerators of a host or task.
pub(super) const MAX_ACCELERATORS: u64 = 128;

/// Maximum run time of a task: ten years.
pub(super) const MAX_RUN_TIME_SECONDS: u64 = 10 * 366 * 24 * 3_600;

/// Maximum lease of a task: one hour. A lost task is not restarted before its lease
/// has expired.
pub(super) const MAX_LEASE_SECONDS: u64 = 3_600;

/// Maximum default deadline of the calls of a service: one hour.
pub(super) const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Maximum number of slots of a runner.
pub(super) const MAX_SLOTS: u64 = 4_096;

/// Maximum number of connections to a runner.
pub(super) const MAX_CONNECTIONS: u64 = 65_535;

/// Maximum size of a request body: 1 GiB.
pub(super) const MAX_BODY_BYTES: u64 = 1 << 30;

/// Maximum weight of a team.
pub(super) const MAX_WEIGHT: u64 = 1_000_000;

//! Upper bounds of the numbers in objects.
//!
//! They lie about ten times above the size of section 1.7 of the design, so
//! that a slip of the keyboard is caught and no plan is.

/// Longest name, in characters; names are parts of store keys and paths.
pub(super) const NAME_LENGTH: usize = 63;

/// Hosts above which a pool's control traffic passes 3 KB/s per daemon.
pub(super) const POOL_WORKERS: u64 = 200;

/// Most hosts of one shape.
pub(super) const SHAPE_HOSTS: u64 = 100_000;

/// Most tasks of one object.
pub(super) const TASK_COUNT: u64 = 100_000;

/// Most processors of a host or task, in thousandths of a core.
pub(super) const CPU_MILLI: u64 = 4_096_000;

/// Most memory of a host or task: 64 TiB.
pub(super) const MEMORY_MIB: u64 = 64 << 20;

/// Most accelerators of a host or task.
pub(super) const ACCELERATORS: u64 = 128;

/// Longest run time: ten years.
pub(super) const RUN_TIME_SECONDS: u64 = 10 * 366 * 24 * 3_600;

/// Longest lease of a task; a lost task is not restarted before its end.
pub(super) const LEASE_SECONDS: u64 = 3_600;

/// Longest deadline of a call: one hour.
pub(super) const DEADLINE_MS: u64 = 3_600_000;

/// Most slots of a runner.
pub(super) const SLOTS: u64 = 4_096;

/// Most connections of a runner.
pub(super) const CONNECTIONS: u64 = 65_535;

/// Largest request body: 1 GiB.
pub(super) const BODY_BYTES: u64 = 1 << 30;

/// Greatest weight of a team.
pub(super) const WEIGHT: u64 = 1_000_000;

//! Events and actions of a health table.

/// Something that a health table learns about targets and jobs.
#[derive(Clone, Debug)]
pub enum HealthEvent<T, J> {
    /// A target became part of the pool.
    TargetAdded(T),
    /// A target left the pool.
    TargetRemoved(T),
    /// A job succeeded on a target.
    Succeeded(T, J),
    /// A job failed on a target.
    Failed(T, J),
    /// A job ended and will not be started again.
    JobEnded(J),
}

/// What follows from a result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HealthAction<T, J> {
    /// The target takes one task at a time from now on.
    Probation(T),
    /// The target takes work without limit again.
    Restored(T),
    /// The job failed on several targets and is not tried again.
    FailJob(J),
}

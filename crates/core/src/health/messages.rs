//! Events and actions of a health table.

/// Input of a health table.
#[derive(Clone, Debug)]
pub enum HealthEvent<T, J> {
    /// A target has joined the pool.
    TargetAdded(T),
    /// A target has left the pool.
    TargetRemoved(T),
    /// A run of a job has succeeded on a target.
    Succeeded(T, J),
    /// A run of a job has failed on a target.
    Failed(T, J),
    /// A job has ended and will not be started again.
    JobEnded(J),
}

/// Output of a health table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HealthAction<T, J> {
    /// The target is put on probation and takes one task at a time.
    Probation(T),
    /// The probation has ended; the target takes work up to its capacity again.
    Restored(T),
    /// The job has failed on several targets and is not retried.
    FailJob(J),
}

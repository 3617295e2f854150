/*!
The objects that operators define: batch runs, gang jobs, markets, pools of
hosts, services, long-running tasks and teams.

[`ObjectLoader`] parses objects from TOML texts and reports all problems of the
whole set at once. [`check_objects`] validates a set from another source, and
[`ObjectDelta`] is the difference between two sets.
*/

mod bounds;
mod capacity;
mod check;
mod cycles;
mod delta;
mod load;
mod messages;
mod spec;
mod state;
#[cfg(test)]
mod tests;
mod work;

pub use check::check_objects;
pub use delta::{ChangeKind, ObjectChange, ObjectDelta};
pub use load::{ObjectLoader, ObjectReport};
pub use messages::{ObjectKind, ObjectProblem, ObjectProblemKind, ObjectRef};
pub use spec::TeamSpec;
pub use spec::{FencingMode, HostShape, MarketSpec, PoolObjective, PoolSpec, ServiceSpec};
pub use state::{ObjectSet, ObjectSpec};
pub use work::WorkSpec;

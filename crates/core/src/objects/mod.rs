/*!
The objects that operators write: batch runs, gang jobs, markets, pools of
hosts, services, long-running tasks and teams.

Objects are read from TOML texts by an [`ObjectLoader`], which reports every
problem of the whole set at once. [`check_objects`] checks a set that came
from elsewhere, and [`ObjectDelta`] tells two sets apart.
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

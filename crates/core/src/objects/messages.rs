//! Kinds of objects, references to them, and problems in them.

use std::fmt;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::types::ObjectName;

/// A kind of object.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectKind {
    /// A batch run.
    Batch,
    /// A gang job.
    Gang,
    /// A market.
    Market,
    /// A pool of hosts.
    Pool,
    /// A service for short calls.
    Service,
    /// A long-running task.
    Task,
    /// A team.
    Team,
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Batch => "batch",
            Self::Gang => "gang",
            Self::Market => "market",
            Self::Pool => "pool",
            Self::Service => "service",
            Self::Task => "task",
            Self::Team => "team",
        })
    }
}

/// A reference to an object by kind and name.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct ObjectRef {
    /// The kind of the object.
    pub kind: ObjectKind,
    /// The name, unique among objects of the kind.
    pub name: ObjectName,
}

impl ObjectRef {
    /// Returns a reference to an object.
    #[must_use]
    pub fn new(kind: ObjectKind, name: &str) -> Self {
        Self {
            kind,
            name: name.into(),
        }
    }
}

impl fmt::Display for ObjectRef {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} `{}`", self.kind, self.name)
    }
}

/// A problem in a set of objects, with its location.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
#[snafu(display("{}{kind}", location_prefix(file, object.as_ref())))]
pub struct ObjectProblem {
    /// The file; empty if the set was not read from files.
    pub file: String,
    /// The object; `None` if the problem concerns a whole file or set.
    pub object: Option<ObjectRef>,
    /// The problem, with its remedy in the message.
    pub kind: ObjectProblemKind,
}

fn location_prefix(file: &str, object: Option<&ObjectRef>) -> String {
    let object = object.map(|object| format!("{object}: "));
    let file = if file.is_empty() {
        String::new()
    } else {
        format!("{file}: ")
    };
    file + &object.unwrap_or_default()
}

/// The kind of a problem in a set of objects.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
#[non_exhaustive]
pub enum ObjectProblemKind {
    /// The text is not valid TOML, or a field is unknown or of another type.
    #[snafu(display("{message}; correct the text or the field that is named"))]
    Syntax {
        /// The parser's message.
        message: String,
    },
    /// Two objects of one kind have the same name.
    #[snafu(display("defined twice, first in {first}; rename or remove one of the two"))]
    Duplicate {
        /// The file of the first definition.
        first: String,
    },
    /// A required field is missing or empty.
    #[snafu(display("`{field}` is missing; add it"))]
    Missing {
        /// The field.
        field: &'static str,
    },
    /// A name is too long or has a character that is not allowed.
    #[snafu(display(
        "`{name}` is no valid name; use 1 to {max} characters of a-z, 0-9 and `-`",
        max = super::bounds::MAX_NAME_CHARS
    ))]
    InvalidName {
        /// The name.
        name: String,
    },
    /// An object refers to an object that is not defined.
    #[snafu(display("refers to {target}, which is not defined; define it or correct the name"))]
    UnknownReference {
        /// The missing object.
        target: ObjectRef,
    },
    /// Batch runs depend on each other in a cycle.
    #[snafu(display("waits for itself through {}; remove one `after`", path.join(" -> ")))]
    Cycle {
        /// The names along the cycle.
        path: Vec<String>,
    },
    /// A number is outside its bounds.
    #[snafu(display("`{field}` is {value}; use a value from {min} to {max}"))]
    OutOfBounds {
        /// The field.
        field: &'static str,
        /// The value.
        value: u64,
        /// The smallest permitted value.
        min: u64,
        /// The largest permitted value.
        max: u64,
    },
    /// No host of the pool is large enough for one task.
    #[snafu(display(
        "no host of pool `{pool}` can hold one task; lower `request` or declare larger hosts"
    ))]
    TaskTooLarge {
        /// The pool.
        pool: String,
    },
    /// The pool is too small to run all tasks of a gang at once.
    #[snafu(display(
        "pool `{pool}` holds {max_tasks} of {wanted} tasks at once; lower `count` or `request`, or \
         declare more hosts"
    ))]
    GangTooLarge {
        /// The pool.
        pool: String,
        /// Number of tasks that fit into the empty pool.
        max_tasks: u64,
        /// Number of tasks of the gang.
        wanted: u64,
    },
    /// One task, or a whole gang, exceeds the quota of its team.
    #[snafu(display(
        "needs more than the quota of team `{team}`; raise the quota or lower `request`"
    ))]
    OverQuota {
        /// The team.
        team: String,
    },
    /// The guarantee of a team exceeds its quota.
    #[snafu(display("`guaranteed` is over `quota`; raise the quota or lower the guarantee"))]
    GuaranteeOverQuota,
    /// The guarantees of all teams exceed the capacity of all pools.
    #[snafu(display(
        "all teams together are guaranteed {guaranteed} {resource} of {capacity} in all pools; \
         lower guarantees or declare more hosts"
    ))]
    GuaranteesOverCapacity {
        /// The name of the resource.
        resource: &'static str,
        /// Sum of the guarantees.
        guaranteed: u64,
        /// Sum of the capacities.
        capacity: u64,
    },
    /// Two attempts of a task must not overlap, but the targets of the pool cannot
    /// list their tasks.
    #[snafu(display(
        "must run in one place, but targets of pool `{pool}` cannot list their tasks; choose \
         another pool or `restart = \"anytime\"`"
    ))]
    TasksNotListed {
        /// The pool.
        pool: String,
    },
    /// Work other than a batch run has dependencies.
    #[snafu(display("`after` is for batch runs only; remove it"))]
    AfterOutsideBatch,
    /// A market uses an object of another region.
    #[snafu(display("uses {target} in region `{found}`; use an object of region `{expected}`"))]
    OtherRegion {
        /// The object that is used.
        target: ObjectRef,
        /// The region of that object.
        found: String,
        /// The region of the market.
        expected: String,
    },
    /// The control traffic of a pool exceeds its budget, as the pool is too large.
    /// This is a warning.
    #[snafu(display(
        "has {host_count} hosts; split a pool of over {max} to keep control traffic in its budget",
        max = super::bounds::LARGE_POOL_HOSTS
    ))]
    LargePool {
        /// Number of declared hosts.
        host_count: u64,
    },
}

impl ObjectProblemKind {
    /// Returns whether a set with this problem can still be published.
    #[must_use]
    pub const fn is_warning(&self) -> bool {
        matches!(self, Self::LargePool { .. })
    }
}

//! Problems in operators' objects.

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

/// Names an object of any kind.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct ObjectRef {
    /// The kind.
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

/// A problem in a set of objects, with the place where it is.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
#[snafu(display("{}{kind}", place(file, object.as_ref())))]
pub struct ObjectProblem {
    /// The file; empty if the set was not read from files.
    pub file: String,
    /// The object; `None` if the problem concerns a whole file or set.
    pub object: Option<ObjectRef>,
    /// What is wrong and what to do.
    pub kind: ObjectProblemKind,
}

fn place(file: &str, object: Option<&ObjectRef>) -> String {
    let object = object.map(|object| format!("{object}: "));
    let file = if file.is_empty() {
        String::new()
    } else {
        format!("{file}: ")
    };
    file + &object.unwrap_or_default()
}

/// What is wrong with a set of objects.
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
    /// A name has a character that is not allowed.
    #[snafu(display(
        "`{name}` is no valid name; use 1 to {max} characters of a-z, 0-9 and `-`",
        max = super::bounds::NAME_LENGTH
    ))]
    InvalidName {
        /// The name.
        name: String,
    },
    /// An object refers to one that does not exist.
    #[snafu(display("refers to {target}, which is not defined; define it or correct the name"))]
    UnknownReference {
        /// The missing object.
        target: ObjectRef,
    },
    /// Batch runs wait for each other.
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
    /// No host of the pool can hold one task.
    #[snafu(display(
        "no host of pool `{pool}` can hold one task; lower `request` or declare larger hosts"
    ))]
    TaskTooLarge {
        /// The pool.
        pool: String,
    },
    /// The pool cannot hold all tasks of a gang at once.
    #[snafu(display(
        "pool `{pool}` holds {held} of {wanted} tasks at once; lower `count` or `request`, or \
         declare more hosts"
    ))]
    GangTooLarge {
        /// The pool.
        pool: String,
        /// Tasks that fit into the empty pool.
        held: u64,
        /// Tasks of the gang.
        wanted: u64,
    },
    /// One task or a whole gang is over the quota of its team.
    #[snafu(display(
        "needs more than the quota of team `{team}`; raise the quota or lower `request`"
    ))]
    OverQuota {
        /// The team.
        team: String,
    },
    /// A guarantee is larger than the quota of the same team.
    #[snafu(display("`guaranteed` is over `quota`; raise the quota or lower the guarantee"))]
    GuaranteeOverQuota,
    /// The guarantees of all teams are larger than all pools.
    #[snafu(display(
        "all teams together are guaranteed {guaranteed} {resource} of {capacity} in all pools; \
         lower guarantees or declare more hosts"
    ))]
    GuaranteesOverCapacity {
        /// The resource.
        resource: &'static str,
        /// Sum of the guarantees.
        guaranteed: u64,
        /// Sum of the capacities.
        capacity: u64,
    },
    /// Work must run in one place, but the targets cannot list their tasks.
    #[snafu(display(
        "must run in one place, but targets of pool `{pool}` cannot list their tasks; choose \
         another pool or `restart = \"anytime\"`"
    ))]
    NotListed {
        /// The pool.
        pool: String,
    },
    /// Only batch runs can wait for others.
    #[snafu(display("`after` is for batch runs only; remove it"))]
    AfterOutsideBatch,
    /// A market uses an object of another region.
    #[snafu(display("uses {target} in region `{found}`; use an object of region `{expected}`"))]
    OtherRegion {
        /// The object that is used.
        target: ObjectRef,
        /// Its region.
        found: String,
        /// The region of the market.
        expected: String,
    },
    /// A pool is so large that its control traffic passes the budget.
    #[snafu(display(
        "has {workers} hosts; split a pool of over {max} to keep control traffic in its budget",
        max = super::bounds::POOL_WORKERS
    ))]
    LargePool {
        /// Declared hosts.
        workers: u64,
    },
}

impl ObjectProblemKind {
    /// Tells whether the set can be published in spite of this.
    #[must_use]
    pub const fn is_warning(&self) -> bool {
        matches!(self, Self::LargePool { .. })
    }
}

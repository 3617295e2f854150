/*!
The objects that operators write: markets, pools of hosts, services and teams.

Objects are read from TOML files. [`ObjectSet::parse`] reads one file;
[`ObjectSet::merge`] joins files into the whole set.
*/

mod messages;
mod spec;
mod state;
#[cfg(test)]
mod tests;

pub use messages::{ObjectError, ObjectErrorKind};
pub use spec::{FencingMode, MarketSpec, PoolSpec, ServiceSpec, TeamSpec};
pub use state::ObjectSet;

//! The set of all objects of one configuration version.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{
    messages::{ObjectError, ObjectErrorKind},
    spec::{MarketSpec, PoolSpec, ServiceSpec, TeamSpec},
};
use crate::types::{ObjectName, PoolId, ServiceId, TeamId};

/// All objects of one configuration version, by kind and name.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct ObjectSet {
    /// Markets by name.
    pub markets: BTreeMap<ObjectName, MarketSpec>,
    /// Pools by name.
    pub pools: BTreeMap<PoolId, PoolSpec>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// Teams by name.
    pub teams: BTreeMap<TeamId, TeamSpec>,
}

/// The layout of one TOML file.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ObjectFile {
    market: Vec<MarketSpec>,
    pool: Vec<PoolSpec>,
    service: Vec<ServiceSpec>,
    team: Vec<TeamSpec>,
}

impl ObjectSet {
    /// Reads the objects of one TOML file.
    ///
    /// # Errors
    ///
    /// Returns [`ObjectErrorKind::Syntax`] if the text is not valid, and
    /// [`ObjectErrorKind::Duplicate`] if two objects share kind and name.
    pub fn parse(file: &str, text: &str) -> Result<Self, ObjectError> {
        let parsed: ObjectFile = toml::from_str(text).map_err(|error| ObjectError {
            file: file.to_owned(),
            kind: ObjectErrorKind::Syntax {
                message: error.to_string().trim_end().to_owned(),
            },
        })?;
        let mut set = Self::default();
        for market in parsed.market {
            insert(
                &mut set.markets,
                "market",
                &market.name.clone(),
                market,
                file,
            )?;
        }
        for pool in parsed.pool {
            insert(&mut set.pools, "pool", &pool.name.clone(), pool, file)?;
        }
        for service in parsed.service {
            insert(
                &mut set.services,
                "service",
                &service.name.clone(),
                service,
                file,
            )?;
        }
        for team in parsed.team {
            insert(&mut set.teams, "team", &team.name.clone(), team, file)?;
        }
        Ok(set)
    }

    /// Adds the objects of another file.
    ///
    /// # Errors
    ///
    /// Returns [`ObjectErrorKind::Duplicate`] if both define the same object.
    pub fn merge(&mut self, file: &str, other: Self) -> Result<(), ObjectError> {
        for (name, market) in other.markets {
            insert(&mut self.markets, "market", &name, market, file)?;
        }
        for (name, pool) in other.pools {
            insert(&mut self.pools, "pool", &name, pool, file)?;
        }
        for (name, service) in other.services {
            insert(&mut self.services, "service", &name, service, file)?;
        }
        for (name, team) in other.teams {
            insert(&mut self.teams, "team", &name, team, file)?;
        }
        Ok(())
    }
}

fn insert<T>(
    objects: &mut BTreeMap<ObjectName, T>,
    kind: &str,
    name: &ObjectName,
    object: T,
    file: &str,
) -> Result<(), ObjectError> {
    match objects.insert(name.clone(), object) {
        None => Ok(()),
        Some(_) => Err(ObjectError {
            file: file.to_owned(),
            kind: ObjectErrorKind::Duplicate {
                object: format!("{kind} `{name}`"),
            },
        }),
    }
}

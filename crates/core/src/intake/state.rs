//! The connections of a listener and what they hold.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

/// Part of the budget that is freed beyond what is needed when connections are shed, as a divisor.
/// Connections are sorted once for all that it holds.
const SPARE_DIVISOR: u64 = 8;

/// Number of a connection of a listener, counted from one.
pub type ConnectionNumber = u64;

/// Limits of a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IntakeLimits {
    /// Bytes that all connections may hold together.
    pub budget_bytes: u64,
    /// Number of open connections.
    pub connections: usize,
    /// Bytes that an open connection holds at least.
    pub connection_bytes: u64,
    /// Time from the first byte of a request to its complete head.
    pub head_timeout: Duration,
}

/// Why a connection or a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IntakeRefusal {
    /// The budget is used up by requests that may be stored or have cost less.
    Memory,
    /// All connections have requests that may be stored.
    Connections,
}

/// What is known of an open connection.
#[derive(Clone, Copy, Debug)]
struct ConnectionRecord {
    held_bytes: u64,
    /// When the latest request ended, or the connection was opened.
    since: Duration,
    /// When the first byte of a head arrived that is not complete.
    head_since: Option<Duration>,
    /// Whether the request may be stored.
    is_protected: bool,
}

/// The open connections of a listener.
#[derive(Clone, Debug)]
pub struct IntakeTable {
    limits: IntakeLimits,
    connections: BTreeMap<ConnectionNumber, ConnectionRecord>,
    held_bytes: u64,
    last_number: ConnectionNumber,
}

impl ConnectionRecord {
    /// Returns what the connection has cost since its latest request: bytes times milliseconds.
    fn cost(&self, now: Duration) -> u128 {
        u128::from(self.held_bytes) * (now.saturating_sub(self.since).as_millis() + 1)
    }
}

impl IntakeTable {
    /// Returns a table without connections.
    #[must_use]
    pub const fn new(limits: IntakeLimits) -> Self {
        Self {
            limits,
            connections: BTreeMap::new(),
            held_bytes: 0,
            last_number: 0,
        }
    }

    /// Returns the bytes that all connections hold.
    #[must_use]
    pub const fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether no connection is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Adds a connection. Returns its number, and the connections that are shed for it.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for it and none can be made.
    pub fn open(
        &mut self,
        now: Duration,
    ) -> Result<(ConnectionNumber, Vec<ConnectionNumber>), IntakeRefusal> {
        let bytes = self.limits.connection_bytes;
        let mut shed = Vec::new();
        if self.connections.len() >= self.limits.connections {
            let costliest = self.costliest(now).into_iter().next();
            let number = costliest.ok_or(IntakeRefusal::Connections)?;
            // What it held is enough for the new one.
            self.close(number);
            shed.push(number);
        }
        shed.extend(self.make_room(bytes, None, now)?);
        self.last_number += 1;
        let record = ConnectionRecord {
            held_bytes: bytes,
            since: now,
            head_since: None,
            is_protected: false,
        };
        self.connections.insert(self.last_number, record);
        self.held_bytes += bytes;
        Ok((self.last_number, shed))
    }

    /// Lets a connection hold `bytes` beyond what it holds. Returns the connections that are shed for
    /// it.
    ///
    /// # Errors
    ///
    /// Returns an error if the budget does not allow it, or if the connection was shed.
    pub fn hold(
        &mut self,
        number: ConnectionNumber,
        bytes: u64,
        now: Duration,
    ) -> Result<Vec<ConnectionNumber>, IntakeRefusal> {
        if !self.connections.contains_key(&number) {
            return Err(IntakeRefusal::Memory);
        }
        let shed = self.make_room(bytes, Some(number), now)?;
        if let Some(record) = self.connections.get_mut(&number) {
            record.held_bytes += bytes;
            self.held_bytes += bytes;
        }
        Ok(shed)
    }

    /// Records that bytes of a head have arrived.
    pub fn begin_head(&mut self, number: ConnectionNumber, now: Duration) {
        if let Some(record) = self.connections.get_mut(&number) {
            record.head_since.get_or_insert(now);
        }
    }

    /// Records that a head is complete.
    pub fn finish_head(&mut self, number: ConnectionNumber) {
        if let Some(record) = self.connections.get_mut(&number) {
            record.head_since = None;
        }
    }

    /// Protects a connection until its request ends, as the request may be stored. Returns `false`
    /// if the connection was shed.
    pub fn protect(&mut self, number: ConnectionNumber) -> bool {
        let record = self.connections.get_mut(&number);
        record.is_some_and(|record| {
            record.is_protected = true;
            true
        })
    }

    /// Records that the request of a connection has ended. What it held is free.
    pub fn finish_request(&mut self, number: ConnectionNumber, now: Duration) {
        if let Some(record) = self.connections.get_mut(&number) {
            self.held_bytes -= record.held_bytes - self.limits.connection_bytes;
            *record = ConnectionRecord {
                held_bytes: self.limits.connection_bytes,
                since: now,
                head_since: None,
                is_protected: false,
            };
        }
    }

    /// Removes a connection.
    pub fn close(&mut self, number: ConnectionNumber) {
        if let Some(record) = self.connections.remove(&number) {
            self.held_bytes -= record.held_bytes;
        }
    }

    /// Removes the connections whose heads are late, and returns them.
    pub fn expire(&mut self, now: Duration) -> Vec<ConnectionNumber> {
        let timeout = self.limits.head_timeout;
        let is_late = |record: &ConnectionRecord| {
            let since = record.head_since;
            since.is_some_and(|since| now >= since + timeout)
        };
        let late = self.connections.iter();
        let late = late.filter(|(_, record)| is_late(record));
        let late: Vec<ConnectionNumber> = late.map(|(number, _)| *number).collect();
        for number in &late {
            self.close(*number);
        }
        late
    }

    /// Returns the connections that may be shed, those first that have cost the most.
    fn costliest(&self, now: Duration) -> Vec<ConnectionNumber> {
        let open = self.connections.iter();
        let open = open.filter(|(_, record)| !record.is_protected);
        let mut order: Vec<(Reverse<u128>, ConnectionNumber)> = open
            .map(|(number, record)| (Reverse(record.cost(now)), *number))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, number)| number).collect()
    }

    /// Sheds connections until `bytes` are free, and some more. Fails without an effect if `newcomer` is
    /// the one that has cost the most, or if too little can be shed.
    fn make_room(
        &mut self,
        bytes: u64,
        newcomer: Option<ConnectionNumber>,
        now: Duration,
    ) -> Result<Vec<ConnectionNumber>, IntakeRefusal> {
        let budget = self.limits.budget_bytes;
        if self.held_bytes + bytes <= budget {
            return Ok(Vec::new());
        }
        if bytes > budget {
            return Err(IntakeRefusal::Memory);
        }
        let goal = budget - bytes.max(budget / SPARE_DIVISOR);
        let mut left = self.held_bytes;
        let mut shed = Vec::new();
        for number in self.costliest(now) {
            if left <= goal || newcomer == Some(number) {
                break;
            }
            left -= self.connections[&number].held_bytes;
            shed.push(number);
        }
        if left + bytes > budget {
            return Err(IntakeRefusal::Memory);
        }
        for number in &shed {
            self.close(*number);
        }
        Ok(shed)
    }
}

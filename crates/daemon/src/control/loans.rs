//! Messages about slot loans between the owners of call shards.

use std::{net::SocketAddr, time::Duration};

use auburnsaddle_core::DaemonId;

use super::{effects::ControlEffect, state::ControlState};
use crate::calls::CallCommand;

impl ControlState {
    /// Delivers the messages about loans that wait: here, or to the peer that
    /// owns the shard. A message without a known receiver is dropped, since loan
    /// requests are repeated and loans have a term.
    ///
    /// Replies to messages delivered here wait for the next event or timer: two
    /// queues of this daemon that lend to each other would otherwise exchange
    /// messages without end within one step, while no time passes.
    pub(super) fn send_loans(&mut self, now: Duration) -> Vec<ControlEffect> {
        let mut effects = Vec::new();
        for envelope in self.calls.take_loan_envelopes() {
            let owner = self.owners.owner(&envelope.shard);
            let owner = owner.map(|record| record.daemon.clone());
            match owner {
                Some(daemon) if daemon == self.record.daemon => {
                    self.calls.handle(CallCommand::Loan(envelope), now);
                }
                Some(daemon) => {
                    let address = self.peer_address(&daemon);
                    effects.extend(address.map(|to| ControlEffect::SendLoan(to, envelope)));
                }
                None => {}
            }
        }
        effects
    }

    fn peer_address(&self, daemon: &DaemonId) -> Option<SocketAddr> {
        let mut peers = self.peers.iter();
        let peer = peers.find(|peer| peer.record.daemon == *daemon)?;
        peer.record.peer_address.parse().ok()
    }
}

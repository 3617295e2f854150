//! Delivery of messages about slot loans between the owners of call shards.

use std::{net::SocketAddr, time::Duration};

use auburnsaddle_core::DaemonId;

use super::{effects::ControlEffect, state::ControlState};
use crate::calls::CallCommand;

impl ControlState {
    /// Delivers the pending loan messages to the owners of their shards: directly if
    /// this daemon is the owner, otherwise by an effect that sends them to the peer.
    /// A message whose receiver is unknown is dropped, since loan requests are
    /// repeated and loans expire at the end of their term.
    ///
    /// Replies to messages delivered directly stay pending until the next event or
    /// timer. Otherwise two queues of this daemon that lend to each other would
    /// exchange messages in an endless loop, as the time does not advance here.
    pub(super) fn deliver_loans(&mut self, now: Duration) -> Vec<ControlEffect> {
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
                    effects.extend(
                        address.map(|receiver| ControlEffect::SendLoan(receiver, envelope)),
                    );
                }
                None => {}
            }
        }
        effects
    }

    /// Returns the peer address of a known daemon.
    fn peer_address(&self, daemon: &DaemonId) -> Option<SocketAddr> {
        let mut peers = self.peers.iter();
        let peer = peers.find(|peer| peer.record.daemon == *daemon)?;
        peer.record.peer_address.parse().ok()
    }
}

/*!
Peers that confirm an ownership while the store does not answer.

Failure mode: an owner loses contact with the store. During an outage of the store it must
go on extending the leases of its workers, or all runs end. If it alone has lost contact,
another daemon takes over, and the runs of a worker which that successor cannot reach have to
be kept for as long as the former owner may extend their lease.

Each daemon keeps the highest epoch of each service that an owner has announced to it. An owner
records peers in the store, its witnesses, and extends leases only for a moment after the store
or half of its witnesses, with itself a majority, have confirmed that they know no later epoch. A
successor announces its own epoch to the witnesses of the owners before it. Once more than half
of them have answered, the former owners extend no lease.

If most witnesses are lost with the owner, more than half of them never answer, and those that are cut
off may still confirm it. Half of the witnesses therefore permit extensions only for a limited time
after the latest confirmation by the store, and all of them for longer. One witness that knows the
successor bounds the time for which the former owner extends leases.

A daemon that restarts forgets the epochs. Its registration in the store changes, so an owner
does not count it until it has recorded the new one.
*/

mod messages;
mod state;
#[cfg(test)]
mod tests;

pub(crate) use messages::{EpochNotice, EpochReply, WITNESS_PATH, announce_epoch};
pub(crate) use state::{
    EXTENSION_END_DELAY, EpochRegister, ExtensionPermit, WitnessEntry, WitnessList, WitnessRecord,
    choose_witnesses,
};

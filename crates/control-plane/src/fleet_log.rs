//! Logs the events of the fleet. docs/on-call.md lists them.

use quillpoint_membership::ids::MemberVersion;
use quillpoint_membership::{Event, MemberState, PeerName};

use crate::sealed_transport::TransportEventNames;

pub(crate) const EVENT_NAMES: TransportEventNames = TransportEventNames {
    rejected: "fleet_datagram_rejected",
    send_failed: "fleet_send_failed",
    keys_changed: "fleet_keys",
};

pub(crate) fn log_event(event: &Event) {
    match event {
        Event::Joined { alone } => log::info!(event = "fleet_joined", alone; "joined the fleet"),
        Event::ProcessPaused(pause) => {
            let ms = pause.as_millis() as u64;
            log::warn!(event = "fleet_process_paused", ms; "this process was paused for {ms} ms; rejoining the fleet");
        }
        Event::PeerChanged { peer, version, previous, state } => {
            log_peer(peer, *version, *previous, *state);
        }
        Event::SuspicionRefuted(state) => {
            log::warn!(event = "fleet_suspicion_refuted", state:? = state; "peers considered this router {state:?}; refuting it");
        }
        Event::Displaced(address) => {
            log::error!(
                event = "fleet_displaced", address:% = address;
                "a router of the same name that started later runs at {address}: this router takes no tasks"
            );
        }
        Event::Restored => log::info!(event = "fleet_restored"; "the other router of the same name is gone"),
        Event::TooManyPeers(peer) => {
            log::warn!(event = "fleet_too_many_peers", peer:% = peer; "maximum number of peers reached: ignored peer {peer}");
        }
        Event::PeerContradicted { peer, node } => {
            log::warn!(
                event = "fleet_peer_contradicted", peer:% = peer, node:% = node;
                "the answer of node {node} contradicts an observation of {peer}: ignoring the peer's observations for a minute"
            );
        }
        Event::TasksAssigned { owned, total: all, routers } => {
            log::info!(event = "fleet_tasks", owned, all, routers; "this router owns {owned} of {all} tasks; {routers} routers share them");
        }
    }
}

fn log_peer(peer: &PeerName, version: MemberVersion, previous: Option<MemberState>, state: MemberState) {
    let start = version.incarnation.0;
    let version = version.revision;
    let was = previous.map_or("unknown".to_string(), |previous| format!("{previous:?}"));
    let state = format!("{state:?}");
    log::info!(event = "fleet_peer", peer:% = peer, start, version, was, state; "peer {peer}: {state}");
}

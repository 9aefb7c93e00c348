//! How the fleet's events are logged; docs/on-call.md lists them.

use quillpoint_membership::ids::MemberVersion;
use quillpoint_membership::{Event, MemberState, PeerName};

use crate::sealed_transport::TransportEventNames;

pub(crate) const EVENT_NAMES: TransportEventNames = TransportEventNames {
    rejected: "fleet_datagram_rejected",
    send_failed: "fleet_send_failed",
    keys_changed: "fleet_keys",
};

/// Logs an event.
pub(crate) fn log_event(event: &Event) {
    match event {
        Event::Joined { alone } => log::info!(event = "fleet_joined", alone; "joined the fleet"),
        Event::ProcessPaused(pause) => {
            let ms = pause.as_millis() as u64;
            log::warn!(event = "fleet_process_paused", ms; "this router stood still for {ms} ms and joins anew");
        }
        Event::PeerChanged { peer, version, previous, state } => {
            log_peer(peer, *version, *previous, *state);
        }
        Event::SuspicionRefuted(state) => {
            log::warn!(event = "fleet_suspicion_refuted", state:? = state; "others took this router for {state:?}");
        }
        Event::Displaced(address) => {
            log::error!(
                event = "fleet_displaced", address:% = address;
                "a later router of the same name runs at {address}: this one takes no tasks"
            );
        }
        Event::Restored => log::info!(event = "fleet_restored"; "the other router of the same name is gone"),
        Event::TooManyPeers(peer) => {
            log::warn!(event = "fleet_too_many_peers", peer:% = peer; "no more peers are kept");
        }
        Event::PeerContradicted { peer, node } => {
            log::warn!(
                event = "fleet_peer_contradicted", peer:% = peer, node:% = node;
                "node {node} itself contradicts {peer}, whose observations are ignored for a minute"
            );
        }
        Event::TasksAssigned { owned, total: all, routers } => {
            log::info!(event = "fleet_tasks", owned, all, routers; "owns {owned} of {all} tasks, among {routers}");
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

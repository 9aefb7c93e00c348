//! Messages between publishers and routers, over a network that loses, duplicates and delays them.

use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::{Incarnation, PeerName};
use quillpoint_observation_feed::Message;
use rand::RngExt;

use super::checks::record_delay;
use super::costs::record_message;
use super::params::{publisher_address, publisher_name, router_address, router_name};
use super::{Scheduled, World};

/// A message in transit. A paused process reads it later than it arrives.
#[derive(Clone)]
pub(super) struct InFlightMessage {
    pub(super) from: PeerName,
    pub(super) address: SocketAddr,
    pub(super) incarnation: Incarnation,
    pub(super) sent_at: Duration,
    pub(super) arrives_at: Duration,
    pub(super) message: Message,
}

impl World {
    pub(super) fn publisher_message(&mut self, index: usize, message_in_flight: InFlightMessage) {
        let now = self.now + self.publishers[index].clock_offset;
        let Some(process) = &mut self.publishers[index].process else { return };
        if process.paused {
            process.pending_messages.push_back(message_in_flight);
            return;
        }
        let InFlightMessage { from, address, incarnation, message, .. } = message_in_flight;
        process.state_machine.message_arrived(now, address, &from, incarnation, message);
        self.run_publisher_calls(index);
    }

    pub(super) fn router_message(&mut self, index: usize, message_in_flight: InFlightMessage) {
        let now = self.now + self.routers[index].clock_offset;
        let Some(process) = &mut self.routers[index].process else { return };
        if process.paused {
            process.pending_messages.push_back(message_in_flight);
            return;
        }
        let InFlightMessage { from, incarnation, sent_at, arrives_at, message, .. } = message_in_flight;
        // As the control plane does for messages that waited in the socket buffer.
        let Some(message) = message.aged_by(self.now.saturating_sub(arrives_at)) else { return };
        if matches!(message, Message::Digest(_)) && process.state_machine.follows(&from) {
            let by: usize = from.as_str().strip_prefix("control-").unwrap().parse().unwrap();
            record_delay(
                &mut self.delay_bounds,
                (index, by),
                incarnation,
                self.now,
                arrives_at.saturating_sub(sent_at),
            );
        }
        process.state_machine.message_arrived(now, &from, incarnation, message);
        self.run_router_calls(index);
        self.check_router(index);
    }

    pub(super) fn run_publisher_calls(&mut self, index: usize) {
        let Some(process) = &self.publishers[index].process else { return };
        let (calls, incarnation) = (std::mem::take(&mut *process.host.0.borrow_mut()), process.incarnation);
        let generation = self.publishers[index].generation;
        if let Some(after) = calls.timer {
            self.schedule(self.now + after, Scheduled::PublisherTimer { index, generation });
        }
        let now = self.now;
        self.publishers[index].events.extend(calls.events.into_iter().map(|event| (now, event)));
        for (to, receiver, message) in calls.sent {
            let message_in_flight = InFlightMessage {
                from: publisher_name(index),
                address: publisher_address(index),
                incarnation,
                sent_at: now,
                arrives_at: now,
                message,
            };
            record_message(&mut self.publishers[index].costs, now, &message_in_flight);
            let octets = match to.ip() {
                std::net::IpAddr::V4(ip) => ip.octets(),
                std::net::IpAddr::V6(_) => panic!("{to} is not the address of a router in this world"),
            };
            let router = usize::from(octets[2]) * 250 + usize::from(octets[3]);
            let Some(process) = &self.routers[router].process else { continue };
            // `quillpoint-datagram` rejects messages for another incarnation of the receiver.
            if receiver != Some(process.incarnation) || self.cut_links.contains(&(index, router)) {
                continue;
            }
            let generation = self.routers[router].generation;
            for after in self.arrival_delays() {
                let message_in_flight =
                    InFlightMessage { arrives_at: now + after, ..message_in_flight.clone() };
                self.schedule(
                    now + after,
                    Scheduled::ToRouter { index: router, generation, message_in_flight },
                );
            }
        }
    }

    pub(super) fn run_router_calls(&mut self, index: usize) {
        let Some(process) = &self.routers[index].process else { return };
        let (calls, incarnation) = (std::mem::take(&mut *process.host.0.borrow_mut()), process.incarnation);
        let generation = self.routers[index].generation;
        if let Some(after) = calls.timer {
            self.schedule(self.now + after, Scheduled::RouterTimer { index, generation });
        }
        let now = self.now;
        self.routers[index].events.extend(calls.events.into_iter().map(|event| (now, event)));
        self.changed_observations
            .extend(calls.changed_observations.into_iter().map(|observation| (now, index, observation)));
        for (to, receiver, message) in calls.sent {
            let by = (0..self.params.publishers).find(|by| publisher_address(*by) == to).unwrap();
            if matches!(message, Message::Unsubscribe) {
                // The delay measurement starts over when the instance is followed again. Retained
                // observations keep their dates, so the old bound still applies to them.
                if let Some(bound) = self.delay_bounds.remove(&(index, by)) {
                    self.past_delay_bounds[index] = self.past_delay_bounds[index].max(bound.max_min_delay);
                }
            }
            let is_subscribe = matches!(message, Message::Subscribe);
            if is_subscribe {
                *self.routers[index].costs.subscribes_by_second.entry(now.as_secs()).or_default() += 1;
            }
            let message_in_flight = InFlightMessage {
                from: router_name(index),
                address: router_address(index),
                incarnation,
                sent_at: now,
                arrives_at: now,
                message,
            };
            record_message(&mut self.routers[index].costs, now, &message_in_flight);
            let Some(process) = &self.publishers[by].process else { continue };
            let accepted =
                if is_subscribe { receiver.is_none() } else { receiver == Some(process.incarnation) };
            if !accepted || self.cut_links.contains(&(by, index)) {
                continue;
            }
            let generation = self.publishers[by].generation;
            for after in self.arrival_delays() {
                let message_in_flight =
                    InFlightMessage { arrives_at: now + after, ..message_in_flight.clone() };
                self.schedule(
                    now + after,
                    Scheduled::ToPublisher { index: by, generation, message_in_flight },
                );
            }
        }
    }

    pub(super) fn arrival_delays(&mut self) -> Vec<Duration> {
        if self.rng.random_bool(self.params.loss) {
            return Vec::new();
        }
        let is_duplicated = self.rng.random_bool(self.params.duplicated);
        (0..=usize::from(is_duplicated))
            .map(|_| {
                let (fraction, max_delay) = self.params.delayed;
                let micros = self.rng.random_range(1000..3000);
                if self.rng.random_bool(fraction) {
                    max_delay.mul_f64(self.rng.random_range(0.0..1.0)) + Duration::from_micros(micros)
                } else {
                    Duration::from_micros(micros)
                }
            })
            .collect()
    }
}

//! Messages between publishers and routers, over a network that loses, doubles and delays them.

use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::{Incarnation, PeerName};
use quillpoint_observation_feed::Message;
use rand::RngExt;

use super::checks::note_delay;
use super::costs::count;
use super::shape::{publisher_address, publisher_name, router_address, router_name};
use super::{Scheduled, World};

/// A message under bound, when it was sent, and when it arrives: read it may be much later.
#[derive(Clone)]
pub(super) struct InFlightMessage {
    pub(super) from: PeerName,
    pub(super) address: SocketAddr,
    pub(super) start: Incarnation,
    pub(super) sent: Duration,
    pub(super) arrives: Duration,
    pub(super) message: Message,
}

impl World {
    pub(super) fn publisher_message(&mut self, index: usize, message_in_flight: InFlightMessage) {
        let now = self.now + self.publishers[index].clock_offset;
        let Some(process) = &mut self.publishers[index].process else { return };
        if process.stopped {
            process.waiting.push_back(message_in_flight);
            return;
        }
        let InFlightMessage { from, address, start, message, .. } = message_in_flight;
        process.side.message_arrived(now, address, &from, start, message);
        self.run_publisher_calls(index);
    }

    pub(super) fn router_message(&mut self, index: usize, message_in_flight: InFlightMessage) {
        let now = self.now + self.routers[index].clock_offset;
        let Some(process) = &mut self.routers[index].process else { return };
        if process.stopped {
            process.waiting.push_back(message_in_flight);
            return;
        }
        let InFlightMessage { from, start, sent, arrives, message, .. } = message_in_flight;
        // What the socket's owner does.
        let Some(message) = message.delayed_by(self.now.saturating_sub(arrives)) else { return };
        if matches!(message, Message::Digest(_)) && process.side.follows(&from) {
            let by: usize = from.as_str().strip_prefix("control-").unwrap().parse().unwrap();
            note_delay(&mut self.delay_bounds, (index, by), start, self.now, arrives.saturating_sub(sent));
        }
        process.side.message_arrived(now, &from, start, message);
        self.run_router_calls(index);
        self.check_router(index);
    }

    pub(super) fn run_publisher_calls(&mut self, index: usize) {
        let Some(process) = &self.publishers[index].process else { return };
        let (calls, start) = (std::mem::take(&mut *process.host.0.borrow_mut()), process.start);
        let generation = self.publishers[index].generation;
        if let Some(after) = calls.timer {
            self.schedule(self.now + after, Scheduled::PublisherTimer { index, generation });
        }
        let now = self.now;
        self.publishers[index].events.extend(calls.events.into_iter().map(|event| (now, event)));
        for (to, session, message) in calls.sent {
            let message_in_flight = InFlightMessage {
                from: publisher_name(index),
                address: publisher_address(index),
                start,
                sent: now,
                arrives: now,
                message,
            };
            count(&mut self.publishers[index].costs, now, &message_in_flight);
            let octets = match to.ip() {
                std::net::IpAddr::V4(ip) => ip.octets(),
                std::net::IpAddr::V6(_) => panic!("an unknown address"),
            };
            let router = usize::from(octets[2]) * 250 + usize::from(octets[3]);
            let Some(process) = &self.routers[router].process else { continue };
            // What the package of datagrams refuses.
            if session != Some(process.start) || self.cut.contains(&(index, router)) {
                continue;
            }
            let generation = self.routers[router].generation;
            for after in self.arrivals() {
                let message_in_flight = InFlightMessage { arrives: now + after, ..message_in_flight.clone() };
                self.schedule(
                    now + after,
                    Scheduled::ToRouter { index: router, generation, message_in_flight },
                );
            }
        }
    }

    pub(super) fn run_router_calls(&mut self, index: usize) {
        let Some(process) = &self.routers[index].process else { return };
        let (calls, start) = (std::mem::take(&mut *process.host.0.borrow_mut()), process.start);
        let generation = self.routers[index].generation;
        if let Some(after) = calls.timer {
            self.schedule(self.now + after, Scheduled::RouterTimer { index, generation });
        }
        let now = self.now;
        self.routers[index].events.extend(calls.events.into_iter().map(|event| (now, event)));
        self.changed.extend(calls.changed.into_iter().map(|observation| (now, index, observation)));
        for (to, session, message) in calls.sent {
            let by = (0..self.shape.publishers).find(|by| publisher_address(*by) == to).unwrap();
            if matches!(message, Message::Unsubscribe) {
                // What it follows from now on is measured anew; what it keeps was dated by the old measure.
                if let Some(bound) = self.delay_bounds.remove(&(index, by)) {
                    self.past_delay_bounds[index] = self.past_delay_bounds[index].max(bound.most);
                }
            }
            let asks = matches!(message, Message::Subscribe);
            if asks {
                *self.routers[index].costs.subscribes.entry(now.as_secs()).or_default() += 1;
            }
            let message_in_flight = InFlightMessage {
                from: router_name(index),
                address: router_address(index),
                start,
                sent: now,
                arrives: now,
                message,
            };
            count(&mut self.routers[index].costs, now, &message_in_flight);
            let Some(process) = &self.publishers[by].process else { continue };
            let meant = if asks { session.is_none() } else { session == Some(process.start) };
            if !meant || self.cut.contains(&(by, index)) {
                continue;
            }
            let generation = self.publishers[by].generation;
            for after in self.arrivals() {
                let message_in_flight = InFlightMessage { arrives: now + after, ..message_in_flight.clone() };
                self.schedule(
                    now + after,
                    Scheduled::ToPublisher { index: by, generation, message_in_flight },
                );
            }
        }
    }

    pub(super) fn arrivals(&mut self) -> Vec<Duration> {
        if self.rng.random_bool(self.shape.loss) {
            return Vec::new();
        }
        let twice = self.rng.random_bool(self.shape.doubled);
        (0..=usize::from(twice))
            .map(|_| {
                let (part, most) = self.shape.slow;
                let micros = self.rng.random_range(1000..3000);
                if self.rng.random_bool(part) {
                    most.mul_f64(self.rng.random_range(0.0..1.0)) + Duration::from_micros(micros)
                } else {
                    Duration::from_micros(micros)
                }
            })
            .collect()
    }
}

//! Random events for one router.

use std::time::Duration;

use quillpoint::host::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Simulation, ms, node};

impl Simulation {
    /// Reports a random observation of another router, which may be wrong.
    fn observe_at_random(&mut self, number: usize, rng: &mut ChaCha8Rng) {
        let now = self.now();
        let true_position = self.record().nodes[&node(number)].position;
        let position = if rng.random_bool(0.5) { true_position } else { now - ms(rng.random_range(0..600)) };
        let mut observation = self.observation(number, position);
        observation.at = now - ms(rng.random_range(0..400));
        match rng.random_range(0..10) {
            0 => observation.position = Some(now + ms(500)),
            1 => (observation.failed, observation.position) = (true, None),
            2 => observation.primary = Some(rng.random_bool(0.5)),
            3 => observation.started = Some(observation.at),
            _ => {}
        }
        // A start that another router observed counts like one from the endpoint list.
        if let Some(started) = observation.started {
            let mut record = self.record_mut();
            let entry = record.endpoints.get_mut(&node(number)).unwrap();
            if Some(started) > entry.started {
                entry.started = Some(started);
                record.nodes.get_mut(&node(number)).unwrap().start_known_at = now;
            }
        }
        self.peer_observes(observation);
    }

    /// The attempts in flight of all RPCs.
    fn attempts_in_flight(&self) -> Vec<(RpcId, NodeId)> {
        let mut in_flight = Vec::new();
        for (id, request) in &self.record().requests {
            let attempts = request.attempts.iter().filter(|attempt| attempt.outcome.is_none());
            in_flight.extend(attempts.map(|attempt| (*id, attempt.node)));
        }
        in_flight
    }

    /// Runs this many random steps. The checker verifies the rules at each of them.
    pub fn run(&mut self, seed: u64, steps: usize) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = self.record().nodes.len();
        for _ in 0..steps {
            let now = self.now();
            let some = rng.random_range(1..=count);
            let in_flight = self.attempts_in_flight();
            if self.record().values.is_true("test.observations") && rng.random_bool(0.3) {
                self.observe_at_random(some, &mut rng);
            }
            if self.record().values.is_true("test.load_reports") {
                self.in_flight = Some(f64::from(rng.random_range(0..12u8)));
            }
            match rng.random_range(0..100) {
                0..35 => self.random_arrival(&mut rng),
                35..75 if !in_flight.is_empty() => self.random_attempt_end(&in_flight, &mut rng),
                75..80 => self.end_health_checks(|node| node != self::node(some)),
                80..85 => self.set_position(some, now - ms(rng.random_range(1..900))),
                85..87 => {
                    self.primary = node(some);
                    let mut record = self.record_mut();
                    let node_record = record.nodes.get_mut(&node(some)).unwrap();
                    (node_record.was_primary, node_record.position) = (true, now);
                }
                87..89 => self.random_endpoint_change(some, &mut rng),
                89 => self.router.endpoint_poll_failed(now),
                90 if !in_flight.is_empty() => {
                    let (id, _) = in_flight[rng.random_range(0..in_flight.len())];
                    if self.client_outcome(id).is_none() {
                        self.disconnect(id);
                    }
                }
                _ => self.advance(Duration::from_micros(rng.random_range(0..20_000))),
            }
        }
    }

    fn random_arrival(&mut self, rng: &mut ChaCha8Rng) {
        let (method, remaining) = (rng.random_range(0..5), ms(rng.random_range(5..600)));
        let carries_token = method == 2 && rng.random_bool(0.6);
        let since_write = carries_token.then(|| ms(rng.random_range(1..2000)));
        self.arrive(method, remaining, since_write);
    }

    fn random_attempt_end(&mut self, in_flight: &[(RpcId, NodeId)], rng: &mut ChaCha8Rng) {
        use Outcome::*;
        let (id, at) = in_flight[rng.random_range(0..in_flight.len())];
        let needs_primary = self.record().requests[&id].rpc.method.0 == 4;
        let bad = [Error, Rejected, TimedOut, ConnectFailed, Reset, Cancelled, NotSent];
        let outcome = match rng.random_range(0..20) {
            0..4 => bad[rng.random_range(0..bad.len())],
            _ if needs_primary && at != self.primary => Misrouted,
            _ => Ok,
        };
        self.end_attempt(id, outcome);
    }

    fn random_endpoint_change(&mut self, number: usize, rng: &mut ChaCha8Rng) {
        let now = self.now();
        let mut entry = self.endpoint(number, EndpointStatus::InService);
        match rng.random_range(0..8) {
            0 => entry.status = EndpointStatus::Draining,
            1 => entry.status = EndpointStatus::Removed,
            _ => entry.started = Some(now - ms(rng.random_range(0..900))),
        }
        self.update_endpoints(EndpointUpdate::Delta, &[entry]);
    }
}

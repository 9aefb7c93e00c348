//! The runtime of a control instance: hands its own observations and those of its fleet to the engine and to the publisher
//! of the feed.

use std::cell::OnceCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use quillpoint::host::{NodeId, PeerObservation};
use quillpoint_control_plane::{ControlHost, FleetMember, PublisherService};
use quillpoint_membership::{Observation, TimestampedObservation};
use quillpoint_observation_feed::FeedObservation;

use crate::engine::{Engine, LocalObservation, ObservationExchange};
use crate::observations;

/// How often the members of the fleet are counted.
const MEMBER_COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// A process that is a member of the fleet of control instances and publishes the feed.
pub struct ControlInstanceRuntime {
    engine: Rc<Engine>,
    publisher: Rc<PublisherService>,
    /// Set once, right after it was made: either needs the other.
    member: OnceCell<Rc<FleetMember>>,
}

impl ControlInstanceRuntime {
    /// A control instance that has not joined its fleet yet.
    pub fn new(engine: Rc<Engine>, publisher: Rc<PublisherService>) -> Rc<Self> {
        Rc::new(Self { engine, publisher, member: OnceCell::new() })
    }

    /// Sets its membership of the fleet of control instances; the first one holds.
    pub fn set_fleet_member(&self, member: Rc<FleetMember>) {
        _ = self.member.set(member);
    }

    /// Counts the members of its fleet as long as the process runs.
    pub async fn run_member_count(self: Rc<Self>) {
        loop {
            if let Some(member) = self.member.get() {
                let fleet = member.fleet();
                let others = fleet.members().peers().filter(|peer| peer.state.is_active()).count();
                self.publisher.instance_count_changed(others + 1);
            }
            Timer::after(MEMBER_COUNT_INTERVAL).await;
        }
    }
}

impl ControlHost for ControlInstanceRuntime {
    fn now(&self) -> Duration {
        ControlHost::now(&*self.engine)
    }

    fn nodes(&self) -> BTreeMap<SocketAddr, u16> {
        ControlHost::nodes(&*self.engine)
    }

    /// The decisions receive other instances' observations while RPCs are pending, and ask for them when one arrives: of
    /// thousands of databases they may come a hundred thousand times a second, and an instance may serve nobody. A
    /// failure is handed on at once.
    fn observation_received(&self, observation: TimestampedObservation) {
        self.publisher.observe(observation);
        if observation.failed || self.engine.pending_rpcs() > 0 {
            self.engine.observation_received(observation);
        }
    }

    fn feed_observation_received(&self, observation: FeedObservation) {
        self.engine.feed_observation_received(observation);
    }

    fn start_health_check(&self, node: SocketAddr) -> bool {
        self.engine.start_health_check(node)
    }

    fn is_ejected(&self, node: SocketAddr) -> bool {
        ControlHost::is_ejected(&*self.engine, node)
    }
}

impl ObservationExchange for ControlInstanceRuntime {
    fn observed(&self, own: LocalObservation) {
        let observation = observations::to_fleet(&own);
        let Observation { node, position, primary, waiting, started, failed, .. } = observation;
        // A failure counts when several members have failed by themselves, which the fleet reports. The node may have
        // read its state as early as the request was sent, so the observation is dated then.
        if !failed {
            let at = own.requested_at;
            let dated = TimestampedObservation { node, at, position, primary, waiting, started, failed };
            self.publisher.observe(dated);
        }
        if let Some(member) = self.member.get() {
            ObservationExchange::observed(&**member, own);
        }
    }

    fn endpoints_changed(&self) {
        self.publisher.nodes_changed();
        if let Some(member) = self.member.get() {
            member.nodes_changed();
        }
    }

    fn permits_health_check(&self, node: NodeId) -> bool {
        self.member.get().is_none_or(|member| member.claim_health_check(node.0))
    }

    fn latest_observation(&self, node: NodeId) -> Option<PeerObservation> {
        self.member.get()?.latest_observation(node.0).map(observations::from_fleet)
    }
}

//! The runtime of a control instance: passes its own observations and those of its fleet to the engine and to
//! the feed publisher.

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

/// How often the publisher is told the number of active fleet members.
const MEMBER_COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// A process that is a member of the fleet of control instances and publishes the feed.
pub struct ControlInstanceRuntime {
    engine: Rc<Engine>,
    publisher: Rc<PublisherService>,
    /// Set once after construction, because the member needs this runtime as its host.
    member: OnceCell<Rc<FleetMember>>,
}

impl ControlInstanceRuntime {
    /// Creates a control instance without its fleet membership; see [`Self::set_fleet_member`].
    pub fn new(engine: Rc<Engine>, publisher: Rc<PublisherService>) -> Rc<Self> {
        Rc::new(Self { engine, publisher, member: OnceCell::new() })
    }

    /// Sets the membership in the fleet of control instances. Only the first call has an effect.
    pub fn set_fleet_member(&self, member: Rc<FleetMember>) {
        _ = self.member.set(member);
    }

    /// Regularly reports the number of control instances to the publisher, until the process ends.
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

    /// Passes observations on to the decision module only while RPCs are pending; when an RPC arrives, the
    /// engine fetches the latest ones. With thousands of databases, observations may arrive a
    /// hundred thousand times a second, and an instance may not serve any client. Failures are always passed
    /// on at once.
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
    fn observed(&self, local: LocalObservation) {
        let observation = observations::to_fleet(&local);
        let Observation { node, position, primary, waiting, started, failed, .. } = observation;
        // A failure is published only after several members have failed to reach the node, which the fleet
        // reports. The observation is dated to the sending of the request: the node may have read its state
        // as early as that.
        if !failed {
            let at = local.requested_at;
            let dated = TimestampedObservation { node, at, position, primary, waiting, started, failed };
            self.publisher.observe(dated);
        }
        if let Some(member) = self.member.get() {
            ObservationExchange::observed(&**member, local);
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

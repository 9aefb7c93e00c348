//! Connections to other quillpoint processes, as configured by the process's roles: fleet membership, and the
//! feed as a publisher (control instance) or a subscriber (router). A process may have none of them.

use std::io;
use std::rc::Rc;

use async_executor::LocalExecutor;
use quillpoint_control_plane::{ControlHost, FleetMember, PublisherService, SubscriberService};

use crate::control_instance::ControlInstanceRuntime;
use crate::descriptors::{DescriptorLimiter, DescriptorPermit};
use crate::engine::{Engine, ObservationExchange};
use crate::roles::Roles;

/// A socket for the fleet or the feed cannot be opened.
#[derive(Debug, thiserror::Error)]
#[error("{section} listen: {source}")]
pub struct ControlSocketError {
    /// The section of quillpoint.conf with the address.
    section: &'static str,
    source: io::Error,
}

impl ControlSocketError {
    fn in_section(section: &'static str) -> impl Fn(io::Error) -> Self {
        move |source| Self { section, source }
    }
}

impl From<ControlSocketError> for io::Error {
    fn from(error: ControlSocketError) -> Self {
        Self::new(error.source.kind(), error)
    }
}

/// The connections required by the configured roles.
#[derive(Default)]
pub struct ControlConnections {
    member: Option<Rc<FleetMember>>,
    publisher: Option<Rc<PublisherService>>,
    control_instance: Option<Rc<ControlInstanceRuntime>>,
    subscriber: Option<Rc<SubscriberService>>,
    /// Held as long as the sockets are open.
    _permits: Vec<DescriptorPermit>,
}

impl ControlConnections {
    /// Opens the sockets of all configured roles.
    ///
    /// # Errors
    /// An address cannot be bound. The error names its section.
    pub async fn open(
        roles: &Roles,
        engine: &Rc<Engine>,
        descriptors: &Rc<DescriptorLimiter>,
        seed: u64,
    ) -> Result<Self, ControlSocketError> {
        let mut connections = Self::default();
        if let Some(config) = &roles.publisher {
            let host = Rc::clone(engine) as Rc<dyn ControlHost>;
            let publisher = PublisherService::new(config.clone(), host, seed)
                .map_err(ControlSocketError::in_section("publish"))?;
            let runtime = ControlInstanceRuntime::new(Rc::clone(engine), Rc::clone(&publisher));
            connections.control_instance = Some(runtime);
            connections.publisher = Some(publisher);
            connections._permits.push(descriptors.acquire().await);
        }
        if let Some(config) = &roles.fleet_member {
            let host = match &connections.control_instance {
                Some(control_instance) => Rc::clone(control_instance) as Rc<dyn ControlHost>,
                None => Rc::clone(engine) as Rc<dyn ControlHost>,
            };
            let member = FleetMember::new(config.clone(), host, seed)
                .map_err(ControlSocketError::in_section("fleet"))?;
            if let Some(control_instance) = &connections.control_instance {
                control_instance.set_fleet_member(Rc::clone(&member));
            }
            connections.member = Some(member);
            connections._permits.push(descriptors.acquire().await);
        }
        if let Some(config) = &roles.subscriber {
            let host = Rc::clone(engine) as Rc<dyn ControlHost>;
            let subscriber = SubscriberService::new(config.clone(), host, seed)
                .map_err(ControlSocketError::in_section("subscribe"))?;
            connections.subscriber = Some(subscriber);
            connections._permits.push(descriptors.acquire().await);
        }
        Ok(connections)
    }

    /// The exchange that the engine shares observations through, if any role provides one.
    fn observation_exchange(&self) -> Option<Rc<dyn ObservationExchange>> {
        if let Some(control_instance) = &self.control_instance {
            return Some(Rc::clone(control_instance) as Rc<dyn ObservationExchange>);
        }
        if let Some(member) = &self.member {
            return Some(Rc::clone(member) as Rc<dyn ObservationExchange>);
        }
        self.subscriber.clone().map(|subscriber| subscriber as Rc<dyn ObservationExchange>)
    }

    /// Spawns the tasks of all connections, which run until the process ends.
    pub fn run(&self, engine: &Engine, executor: &LocalExecutor<'static>) {
        if let Some(exchange) = self.observation_exchange() {
            engine.set_observation_exchange(exchange);
        }
        if let Some(member) = &self.member {
            executor.spawn(Rc::clone(member).receive()).detach();
            executor.spawn(Rc::clone(member).run_timer()).detach();
        }
        if let Some(control_instance) = &self.control_instance {
            executor.spawn(Rc::clone(control_instance).run_member_count()).detach();
        }
        if let Some(publisher) = &self.publisher {
            executor.spawn(Rc::clone(publisher).receive()).detach();
            executor.spawn(Rc::clone(publisher).run_timer()).detach();
        }
        if let Some(subscriber) = &self.subscriber {
            executor.spawn(Rc::clone(subscriber).receive()).detach();
            executor.spawn(Rc::clone(subscriber).run_timer()).detach();
        }
    }

    /// Applies those changes of the configuration that need no restart. Adding or removing a role needs one.
    pub fn reload(&self, roles: &Roles) {
        if let (Some(member), Some(config)) = (&self.member, &roles.fleet_member) {
            member.reload(config);
        }
        if let (Some(publisher), Some(config)) = (&self.publisher, &roles.publisher) {
            publisher.reload(config);
        }
        if let (Some(subscriber), Some(config)) = (&self.subscriber, &roles.subscriber) {
            subscriber.reload(config);
        }
    }

    /// Tells the peers on the feed and in the fleet that this process leaves.
    pub fn leave(&self) {
        if let Some(subscriber) = &self.subscriber {
            subscriber.leave();
        }
        if let Some(publisher) = &self.publisher {
            publisher.leave();
        }
        if let Some(member) = &self.member {
            member.leave();
        }
    }
}

//! What ties this process to others of its installation, as quillpoint.conf says it: a member's part in a fleet, a
//! control instance's and a router's end of the feed. All of it may be missing.

use std::io;
use std::rc::Rc;

use async_executor::LocalExecutor;
use quillpoint_control_plane::{ControlHost, FleetMember, PublisherService, SubscriberService};

use crate::descriptors::{DescriptorLimiter, DescriptorPermit};
use crate::engine::{Engine, ObservationExchange};
use crate::instance::Instance;
use crate::part::Parts;

#[derive(Default)]
pub struct Ties {
    peers: Option<Rc<FleetMember>>,
    publication: Option<Rc<PublisherService>>,
    instance: Option<Rc<Instance>>,
    subscription: Option<Rc<SubscriberService>>,
    /// Kept for as long as the sockets are.
    _slots: Vec<DescriptorPermit>,
}

impl Ties {
    /// Opens the sockets.
    ///
    /// # Errors
    /// An address cannot be had; the section that says it is named.
    pub async fn open(
        parts: &Parts,
        engine: &Rc<Engine>,
        descriptors: &Rc<DescriptorLimiter>,
        seed: u64,
    ) -> io::Result<Self> {
        let named = |section: &'static str| {
            move |error: io::Error| io::Error::new(error.kind(), format!("{section} listen: {error}"))
        };
        let mut ties = Self::default();
        if let Some(part) = &parts.publish {
            let around = Rc::clone(engine) as Rc<dyn ControlHost>;
            let publication = PublisherService::new(part.clone(), around, seed).map_err(named("publish"))?;
            ties.instance = Some(Instance::new(Rc::clone(engine), Rc::clone(&publication)));
            ties.publication = Some(publication);
            ties._slots.push(descriptors.acquire().await);
        }
        if let Some(part) = &parts.fleet {
            let around = match &ties.instance {
                Some(instance) => Rc::clone(instance) as Rc<dyn ControlHost>,
                None => Rc::clone(engine) as Rc<dyn ControlHost>,
            };
            let peers = FleetMember::new(part.clone(), around, seed).map_err(named("fleet"))?;
            if let Some(instance) = &ties.instance {
                instance.takes_part(Rc::clone(&peers));
            }
            ties.peers = Some(peers);
            ties._slots.push(descriptors.acquire().await);
        }
        if let Some(part) = &parts.subscribe {
            let around = Rc::clone(engine) as Rc<dyn ControlHost>;
            let subscription =
                SubscriberService::new(part.clone(), around, seed).map_err(named("subscribe"))?;
            ties.subscription = Some(subscription);
            ties._slots.push(descriptors.acquire().await);
        }
        Ok(ties)
    }

    /// Whoever shares with others what is found here, if anybody does.
    fn sharing(&self) -> Option<Rc<dyn ObservationExchange>> {
        let instance = self.instance.clone().map(|instance| instance as Rc<dyn ObservationExchange>);
        let peers = || self.peers.clone().map(|peers| peers as Rc<dyn ObservationExchange>);
        let subscription =
            || self.subscription.clone().map(|subscription| subscription as Rc<dyn ObservationExchange>);
        instance.or_else(peers).or_else(subscription)
    }

    /// Runs them as long as the process runs.
    pub fn run(&self, engine: &Engine, executor: &LocalExecutor<'static>) {
        if let Some(sharing) = self.sharing() {
            engine.set_observation_exchange(sharing);
        }
        if let Some(peers) = &self.peers {
            executor.spawn(Rc::clone(peers).listen()).detach();
            executor.spawn(Rc::clone(peers).keep_time()).detach();
        }
        if let Some(instance) = &self.instance {
            executor.spawn(Rc::clone(instance).count()).detach();
        }
        if let Some(publication) = &self.publication {
            executor.spawn(Rc::clone(publication).listen()).detach();
            executor.spawn(Rc::clone(publication).keep_time()).detach();
        }
        if let Some(subscription) = &self.subscription {
            executor.spawn(Rc::clone(subscription).listen()).detach();
            executor.spawn(Rc::clone(subscription).keep_time()).detach();
        }
    }

    /// Takes over what holds at once of a configuration that was read anew. What comes or goes as a whole waits for
    /// the next start.
    pub fn reload(&self, told: &Parts) {
        if let Some((peers, part)) = self.peers.as_ref().zip(told.fleet.as_ref()) {
            peers.reload(part);
        }
        if let Some((publication, part)) = self.publication.as_ref().zip(told.publish.as_ref()) {
            publication.reload(part);
        }
        if let Some((subscription, part)) = self.subscription.as_ref().zip(told.subscribe.as_ref()) {
            subscription.reload(part);
        }
    }

    /// Says goodbye to all of them.
    pub fn leave(&self) {
        if let Some(subscription) = &self.subscription {
            subscription.leave();
        }
        if let Some(publication) = &self.publication {
            publication.leave();
        }
        if let Some(peers) = &self.peers {
            peers.leave();
        }
    }
}

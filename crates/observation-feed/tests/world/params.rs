//! The parameters of a world, and the names and addresses in it.

use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::PeerName;
use quillpoint_observation_feed::ControlInstance;

/// The world's time at the start, well above zero so that it can be reduced by ages and delays.
pub const START: Duration = Duration::from_secs(1_000_000);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Clone, Debug)]
pub struct WorldParams {
    pub routers: usize,
    pub publishers: usize,
    pub databases: usize,
    pub regions: usize,
    pub period: Duration,
    pub snapshot_bytes_per_second: f64,
    pub max_subscribers: usize,
    /// The fraction of datagrams that are lost.
    pub loss: f64,
    /// The fraction of datagrams that arrive twice.
    pub duplicated: f64,
    /// The fraction of datagrams that take longer than the usual one to three milliseconds, and their maximum
    /// delay.
    pub delayed: (f64, Duration),
    /// The fraction of observations that do not reach another publisher.
    pub missed_observations: f64,
    /// Maximum delay of an observation on its way to another publisher.
    pub observation_delay: Duration,
    /// Maximum offset of a process's clock from the world's clock.
    pub max_clock_offset: Duration,
    pub seed: u64,
}

impl WorldParams {
    pub fn without_faults(routers: usize, publishers: usize, databases: usize, seed: u64) -> Self {
        Self {
            routers,
            publishers,
            databases,
            regions: 1,
            period: ms(150),
            snapshot_bytes_per_second: 400_000.0,
            max_subscribers: 10_000,
            loss: 0.0,
            duplicated: 0.0,
            delayed: (0.0, Duration::ZERO),
            missed_observations: 0.0,
            observation_delay: ms(30),
            max_clock_offset: Duration::ZERO,
            seed,
        }
    }
}

pub fn address(database: usize) -> SocketAddr {
    SocketAddr::from(([10, 3, (database / 250) as u8, (database % 250) as u8], 5432))
}

pub fn publisher_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, index as u8], 7000))
}

pub fn router_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 2, (index / 250) as u8, (index % 250) as u8], 7000))
}

pub fn publisher_name(index: usize) -> PeerName {
    PeerName::new(&format!("control-{index}")).unwrap()
}

pub fn router_name(index: usize) -> PeerName {
    PeerName::new(&format!("r{index}")).unwrap()
}

pub(super) fn region(index: usize, regions: usize) -> Option<String> {
    Some(format!("region-{}", index % regions))
}

pub fn control_instances(params: &WorldParams) -> Vec<ControlInstance> {
    let instance = |index| ControlInstance {
        name: publisher_name(index),
        address: publisher_address(index),
        region: region(index, params.regions),
    };
    (0..params.publishers).map(instance).collect()
}

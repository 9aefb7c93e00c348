//! What a world is made of, and the names and addresses in it.

use std::net::SocketAddr;
use std::time::Duration;

use quillpoint_membership::PeerName;
use quillpoint_observation_feed::ControlInstance;

pub const START: Duration = Duration::from_secs(1_000_000);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Clone, Debug)]
pub struct Shape {
    pub routers: usize,
    pub publishers: usize,
    pub databases: usize,
    pub regions: usize,
    pub period: Duration,
    pub snapshot_bytes_per_second: f64,
    pub max_subscribers: usize,
    /// What part of the datagrams is lost, and what part arrives twice.
    pub loss: f64,
    pub doubled: f64,
    /// What part is under bound for up to so long, instead of one to three milliseconds.
    pub slow: (f64, Duration),
    /// What part of the observation does not reach a publisher, and how late it may be.
    pub unseen: f64,
    pub observation_delay: Duration,
    /// How far clocks are apart.
    pub skew: Duration,
    pub seed: u64,
}

impl Shape {
    pub fn calm(routers: usize, publishers: usize, databases: usize, seed: u64) -> Self {
        Self {
            routers,
            publishers,
            databases,
            regions: 1,
            period: ms(150),
            snapshot_bytes_per_second: 400_000.0,
            max_subscribers: 10_000,
            loss: 0.0,
            doubled: 0.0,
            slow: (0.0, Duration::ZERO),
            unseen: 0.0,
            observation_delay: ms(30),
            skew: Duration::ZERO,
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

pub fn control(shape: &Shape) -> Vec<ControlInstance> {
    let one = |index| ControlInstance {
        name: publisher_name(index),
        address: publisher_address(index),
        region: region(index, shape.regions),
    };
    (0..shape.publishers).map(one).collect()
}

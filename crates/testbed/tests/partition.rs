//! Closed partition relays drop every datagram between the two sides of a fleet, in both directions, and none
//! within a side.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::time::Duration;

use quillpoint_testbed::scale::faults::{rejoined_after_s, was_partitioned};
use quillpoint_testbed::scale::hollow::side;
use quillpoint_testbed::scale::member::Address;
use quillpoint_testbed::scale::partition::PartitionRelays;

/// How long to wait for a datagram that must arrive: far longer than loopback takes.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long to wait for a datagram that must be dropped.
const LOSS_TIMEOUT: Duration = Duration::from_millis(100);

fn socket(last: u8) -> UdpSocket {
    let process_id = std::process::id();
    let ip = Ipv4Addr::new(127, 32 + (process_id & 15) as u8, (process_id >> 4) as u8, last);
    UdpSocket::bind((ip, 0)).expect("a loopback address of this process is free")
}

fn address_of(socket: &UdpSocket) -> SocketAddr {
    socket.local_addr().expect("a bound socket has a local address")
}

/// Sends a datagram to `via` and returns its source address as `to` sees it, or `None` if it does not arrive.
fn receive_via(from: &UdpSocket, via: SocketAddr, to: &UdpSocket, lost: bool) -> Option<SocketAddr> {
    from.send_to(b"word", via).expect("the datagram is sent");
    to.set_read_timeout(Some(if lost { LOSS_TIMEOUT } else { RECEIVE_TIMEOUT }))
        .expect("a positive timeout is valid");
    to.recv_from(&mut [0; 16]).ok().map(|(_, from)| from)
}

struct Instance {
    fleet: UdpSocket,
    feed: UdpSocket,
}

impl Instance {
    fn new(last: u8) -> Self {
        Self { fleet: socket(last), feed: socket(last) }
    }

    fn address(&self) -> Address {
        Address {
            clients: address_of(&self.feed),
            datagrams: address_of(&self.fleet),
            feed: address_of(&self.feed),
        }
    }
}

#[test]
fn closed_relays_partition_the_sides_and_open_ones_join_them() {
    let instances: Vec<Instance> = (1..=4).map(Instance::new).collect();
    let control: Vec<Address> = instances.iter().map(Instance::address).collect();
    let routers: Vec<UdpSocket> = (11..=12).map(socket).collect();
    let partition = PartitionRelays::new(&control, routers.iter().map(address_of)).expect("the relays start");
    for round in 0..3 {
        let closed = round == 1;
        if closed {
            partition.close();
        } else if round == 2 {
            partition.open();
        }
        for one in &instances {
            for other in instances.iter().filter(|other| address_of(&other.fleet) != address_of(&one.fleet)) {
                let lost = closed && side(address_of(&one.fleet)) != side(address_of(&other.fleet));
                let received = receive_via(
                    &one.fleet,
                    partition.fleet_address(address_of(&other.fleet)),
                    &other.fleet,
                    lost,
                )
                .is_some();
                assert_eq!(
                    received,
                    !lost,
                    "round {round}: {one:?} to {other:?}",
                    one = address_of(&one.fleet),
                    other = address_of(&other.fleet)
                );
            }
        }
        for router in &routers {
            for instance in &instances {
                let remote = side(address_of(router)) != side(address_of(&instance.feed));
                let via = partition.feed_address(address_of(router), address_of(&instance.feed));
                assert_eq!(
                    via != address_of(&instance.feed),
                    remote,
                    "only the other side is reached through a relay"
                );
                let received = receive_via(router, via, &instance.feed, closed && remote);
                assert_eq!(received.is_some(), !(closed && remote), "round {round}");
                // The answer goes to the address that the request came from, or came from earlier while the
                // relays are closed.
                let back = receive_via(
                    &instance.feed,
                    if remote { via } else { address_of(router) },
                    router,
                    closed && remote,
                );
                assert_eq!(
                    back,
                    (!(closed && remote)).then_some(via),
                    "round {round}: an answer must come from the address that the request was sent to"
                );
            }
        }
    }
}

#[test]
fn an_instance_that_shared_tasks_with_its_side_alone_was_partitioned() {
    let second = 1_000_000;
    let shares = [(second, 4), (11 * second, 3), (12 * second, 2), (40 * second, 4)];
    assert!(was_partitioned(&shares, (10 * second, 39 * second), 2));
    assert!(
        !was_partitioned(&shares[..2], (10 * second, 39 * second), 2),
        "it lost one of two remote instances"
    );
    assert!(!was_partitioned(&shares, (13 * second, 39 * second), 2), "it was alone only before this time");
    assert_eq!(rejoined_after_s(&shares, 39 * second, 4), Some(1.0));
    assert_eq!(
        rejoined_after_s(&shares[..3], 39 * second, 4),
        None,
        "its last share is still with its side alone"
    );
    assert_eq!(rejoined_after_s(&[], 39 * second, 4), None);
}

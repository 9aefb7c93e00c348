//! A closed border loses what goes from one half of a fleet to the other, both ways, and nothing within a half.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::time::Duration;

use quillpoint_testbed::scale::border::Border;
use quillpoint_testbed::scale::faults::{shares_with_all_after, was_cut};
use quillpoint_testbed::scale::hollow::side;
use quillpoint_testbed::scale::member::Address;

/// Nothing on loopback takes so long, and what is lost is awaited for no longer.
const SOON: Duration = Duration::from_secs(5);
const LOST: Duration = Duration::from_millis(100);

fn socket(last: u8) -> UdpSocket {
    let own = std::process::id();
    let ip = Ipv4Addr::new(127, 32 + (own & 15) as u8, (own >> 4) as u8, last);
    UdpSocket::bind((ip, 0)).expect("the range is wide")
}

fn at(socket: &UdpSocket) -> SocketAddr {
    socket.local_addr().expect("it is bound")
}

/// Whether what is sent there comes to this socket; and from where, for the answer.
fn comes(from: &UdpSocket, by: SocketAddr, to: &UdpSocket, lost: bool) -> Option<SocketAddr> {
    from.send_to(b"word", by).expect("it is sent");
    to.set_read_timeout(Some(if lost { LOST } else { SOON })).expect("a time");
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
        Address { clients: at(&self.feed), datagrams: at(&self.fleet), feed: at(&self.feed) }
    }
}

#[test]
fn a_closed_border_parts_the_halves_and_an_open_one_joins_them() {
    let instances: Vec<Instance> = (1..=4).map(Instance::new).collect();
    let control: Vec<Address> = instances.iter().map(Instance::address).collect();
    let routers: Vec<UdpSocket> = (11..=12).map(socket).collect();
    let border = Border::new(&control, routers.iter().map(at)).expect("it is built");
    for round in 0..3 {
        let closed = round == 1;
        if closed {
            border.close();
        } else if round == 2 {
            border.open();
        }
        for one in &instances {
            for other in instances.iter().filter(|other| at(&other.fleet) != at(&one.fleet)) {
                let lost = closed && side(at(&one.fleet)) != side(at(&other.fleet));
                let came = comes(&one.fleet, border.of_fleet(at(&other.fleet)), &other.fleet, lost).is_some();
                assert_eq!(
                    came,
                    !lost,
                    "round {round}: {one:?} to {other:?}",
                    one = at(&one.fleet),
                    other = at(&other.fleet)
                );
            }
        }
        for router in &routers {
            for instance in &instances {
                let far = side(at(router)) != side(at(&instance.feed));
                let by = border.of_feed(at(router), at(&instance.feed));
                assert_eq!(by != at(&instance.feed), far, "only who is far goes by the border");
                let came = comes(router, by, &instance.feed, closed && far);
                assert_eq!(came.is_some(), !(closed && far), "round {round}");
                // The answer goes to where it came from; while the border is closed, to where it came from before.
                let back = comes(&instance.feed, if far { by } else { at(router) }, router, closed && far);
                assert_eq!(
                    back,
                    (!(closed && far)).then_some(by),
                    "round {round}: as if from the other itself"
                );
            }
        }
    }
}

#[test]
fn control_instances_were_cut_that_shared_duties_with_their_half_alone() {
    let second = 1_000_000;
    let duties = [(second, 4), (11 * second, 3), (12 * second, 2), (40 * second, 4)];
    assert!(was_cut(&duties, (10 * second, 39 * second), 2));
    assert!(!was_cut(&duties[..2], (10 * second, 39 * second), 2), "it lost one of two");
    assert!(!was_cut(&duties, (13 * second, 39 * second), 2), "it was alone before");
    assert_eq!(shares_with_all_after(&duties, 39 * second, 4), Some(1.0));
    assert_eq!(shares_with_all_after(&duties[..3], 39 * second, 4), None, "still alone with its half");
    assert_eq!(shares_with_all_after(&[], 39 * second, 4), None);
}

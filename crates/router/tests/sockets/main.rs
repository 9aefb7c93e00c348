//! A router process among stand-ins: what comes out of it, in which order, and how often.

mod client_input;
mod command_line;
mod connections;
mod endpoint_list;
mod limits;
mod responses;
mod shutdown;
#[path = "../standin/mod.rs"]
mod standin;

use standin::{Discovery, Node, Reply, RouterProcess, VALUE};
use standin::{configuration, targets};

fn ok() -> Reply {
    Reply::Value(VALUE.to_vec())
}

fn error(code: &str) -> Reply {
    Reply::Error(code.to_string(), None)
}

/// Rejected by the router itself, with Retry-After.
fn no_room() -> Reply {
    Reply::Error("53300".to_string(), Some("50".to_string()))
}

/// A primary and one replica.
fn pair() -> (Node, Node, RouterProcess, Discovery) {
    pair_with(200, "", "")
}

/// The first class, with the deadline that all have, and with a short one.
const LOOK: &str = r#""Name":"look","GiveUpMs":9000.0"#;
const SHORT_DEADLINE_LOOK: &str = r#""Name":"look","GiveUpMs":500.0"#;

/// With so many sockets, and a part of the configuration replaced wherever it stands.
fn pair_with(sockets: usize, from: &str, to: &str) -> (Node, Node, RouterProcess, Discovery) {
    let (primary, replica, list, discovery) = without_router();
    let text = configuration(discovery.address, &list, sockets);
    assert!(text.contains(from), "{from}");
    let router = RouterProcess::start(&text.replace(from, to));
    (primary, replica, router, discovery)
}

/// A primary, a replica, their list, and a discovery that tells it.
fn without_router() -> (Node, Node, String, Discovery) {
    let (primary, replica) = (Node::start(true), Node::start(false));
    let list = targets(&[(&primary, "primary", "in_service"), (&replica, "replica", "in_service")]);
    let discovery = Discovery::start(list.clone());
    (primary, replica, list, discovery)
}

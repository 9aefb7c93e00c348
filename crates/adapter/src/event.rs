//! Converts messages to events for a router. The protocol's names of outcomes, statuses and kinds of updates
//! are converted to quillpoint's types here.

use std::time::Duration;

use quillpoint::Router;
use quillpoint::host::{
    AttemptEnd, AttemptNumber, Endpoint, EndpointStatus, EndpointUpdate, Host, LoadReport, MethodId, NodeId,
    Outcome, ReplicaSetId, Role, Rpc, RpcId, SessionKey, ZoneId,
};

use crate::WireError;
use crate::message::WireMessage;

/// The kinds of messages that are addressed to one instance.
#[derive(Clone, Copy)]
pub enum EventKind {
    InstanceStarted,
    InstanceStopped,
    EndpointsUpdated,
    RpcArrived,
    AttemptEnded,
    HealthCheckEnded,
    ClientDisconnected,
    TimerFired,
    /// Messages about streams, which no class of RPCs here permits, and messages from other instances, which
    /// no instance sends.
    Ignored,
}

impl EventKind {
    /// # Errors
    /// The protocol has no message of this name.
    pub fn of(message_name: &str) -> Result<Self, WireError> {
        Ok(match message_name {
            "POWER_ON" => Self::InstanceStarted,
            "DETACH" => Self::InstanceStopped,
            "DIRECTORY_UPDATE" => Self::EndpointsUpdated,
            "INGRESS" => Self::RpcArrived,
            "OUTCOME" => Self::AttemptEnded,
            "PROBED" => Self::HealthCheckEnded,
            "VANISHED" => Self::ClientDisconnected,
            "FIRED" => Self::TimerFired,
            "INBOX" | "STARTED" => Self::Ignored,
            unknown => return Err(WireError::UnknownMessage(unknown.to_string())),
        })
    }
}

/// An event for a running instance, in the types of the routing core.
pub enum Event<'a> {
    EndpointsChanged { update: EndpointUpdate, endpoints: &'a [Endpoint] },
    EndpointPollFailed,
    RpcArrived(Rpc),
    AttemptEnded(AttemptEnd),
    HealthCheckEnded { node: NodeId, outcome: Outcome, report: Option<LoadReport> },
    ClientDisconnected(RpcId),
    TimerFired,
}

impl Event<'_> {
    /// Calls the router's method for this event.
    pub fn deliver<H: Host>(self, router: &mut Router<H>, now: Duration) {
        match self {
            Self::EndpointsChanged { update, endpoints } => {
                router.endpoints_changed(now, update, endpoints);
            }
            Self::EndpointPollFailed => router.endpoint_poll_failed(now),
            Self::RpcArrived(rpc) => router.rpc_arrived(now, rpc),
            Self::AttemptEnded(end) => router.attempt_ended(now, end),
            Self::HealthCheckEnded { node, outcome, report } => {
                router.health_check_ended(now, node, outcome, report);
            }
            Self::ClientDisconnected(rpc) => router.client_disconnected(rpc),
            Self::TimerFired => router.timer_fired(now),
        }
    }
}

/// The kind of an endpoint list update, or `None` if polling for it failed.
pub fn endpoint_update(message: &WireMessage) -> Result<Option<EndpointUpdate>, WireError> {
    match message.required_text("Form")? {
        "delta" => Ok(Some(EndpointUpdate::Delta)),
        "full" => Ok(Some(EndpointUpdate::Snapshot)),
        "cached" => Ok(Some(EndpointUpdate::CachedSnapshot)),
        "failed" => Ok(None),
        other => Err(WireError::InvalidField { field: "Form".to_string(), value: other.to_string() }),
    }
}

pub fn rpc(message: &WireMessage) -> Result<Rpc, WireError> {
    Ok(Rpc {
        id: message.rpc()?,
        method: MethodId(message.required("Band")?),
        session: message.hex("Key")?.map(SessionKey),
        replica_set: ReplicaSetId(message.required::<f64>("GroupNo")? as u64),
        remaining: message.required_duration("RemainingMs")?,
        work: message.duration("EffortMs")?,
        since_write: message.duration("SinceWriteMs")?.filter(|since| !since.is_zero()),
        is_retry: message.flag("Retry")?,
    })
}

/// Parses the end of an attempt. Log positions in the message are relative to `origin`.
pub fn attempt_end(
    message: &WireMessage,
    origin: Duration,
    report: impl FnOnce() -> Result<Option<LoadReport>, WireError>,
) -> Result<AttemptEnd, WireError> {
    let stamp = Stamp(message.parsed("Stamp")?.unwrap_or(0));
    Ok(AttemptEnd {
        rpc: message.rpc()?,
        attempt: AttemptNumber(message.required("SeqNo")?),
        node: message.node()?,
        outcome: outcome(message)?,
        rpc_finished: message.flag("Last")?,
        took: message.duration("TookMs")?.unwrap_or_default(),
        role: stamp.role(),
        position: stamp.position(origin),
        report: report()?,
    })
}

/// What a response reports about its node: the role in the two lowest bits, and the log position in
/// milliseconds in the bits above them.
struct Stamp(u64);

impl Stamp {
    fn role(&self) -> Option<Role> {
        match self.0 % 4 {
            1 => Some(Role::Primary),
            2 => Some(Role::Replica),
            _ => None,
        }
    }

    fn position(&self, origin: Duration) -> Option<Duration> {
        let ms = self.0 / 4;
        (ms > 0).then(|| origin + Duration::from_millis(ms))
    }
}

pub fn outcome(message: &WireMessage) -> Result<Outcome, WireError> {
    message.required_with("Verdict", |word| {
        Some(match word {
            "ok" => Outcome::Ok,
            "error" => Outcome::Error,
            "full" => Outcome::Rejected,
            "timeout" => Outcome::TimedOut,
            "connect_failed" => Outcome::ConnectFailed,
            "reset" => Outcome::Reset,
            "cancelled" => Outcome::Cancelled,
            "moot" => Outcome::NotSent,
            "miss" => Outcome::Misrouted,
            _ => return None,
        })
    })
}

/// One entry of an endpoint list.
pub fn endpoint(message: &WireMessage) -> Result<Endpoint, WireError> {
    Ok(Endpoint {
        node: message.node()?,
        replica_set: ReplicaSetId(message.parsed::<f64>("Shard")?.unwrap_or(0.0) as u64),
        zone: ZoneId(message.parsed("Campus")?.unwrap_or(0)),
        machine_type: message.parsed("Shape")?.unwrap_or(0),
        primary: message.parsed::<f64>("Primary")?.unwrap_or(0.0) > 0.0,
        status: endpoint_status(message)?,
        started: message.duration("LastStartMs")?.filter(|at| !at.is_zero()),
    })
}

fn endpoint_status(message: &WireMessage) -> Result<EndpointStatus, WireError> {
    message.required_with("Condition", |word| {
        Some(match word {
            "healthy" => EndpointStatus::InService,
            "cordoned" => EndpointStatus::Draining,
            "deregistered" => EndpointStatus::Removed,
            _ => return None,
        })
    })
}

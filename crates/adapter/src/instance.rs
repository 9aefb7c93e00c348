//! One router instance, and the parts of its settings that are needed to parse its events.

use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use quillpoint::Router;
use quillpoint::host::{Endpoint, LoadReport, ValueMap};
use quillpoint_settings::{parse_settings, set_report_field};

use crate::WireError;
use crate::action::ActionWriter;
use crate::event::{self, Event, EventKind};
use crate::message::WireMessage;

/// Endpoint lists by the number by which events refer to them.
pub type EndpointLists = BTreeMap<u64, Vec<Endpoint>>;

/// The payload of a panic in the routing core.
pub type Panic = Box<dyn Any + Send>;

pub struct Instance {
    router: Router<ActionWriter>,
    /// The time that log positions are relative to.
    origin: Duration,
    /// The names of the values in a load report, in the order of the values.
    report_fields: Vec<String>,
}

/// The parameters for starting an instance.
pub struct StartParams {
    seed: u64,
    settings: ValueMap,
}

impl StartParams {
    /// # Errors
    /// A field is missing, or the settings cannot be parsed.
    pub fn read(message: &WireMessage) -> Result<Self, WireError> {
        let seed = message.required("Nonce64")?;
        let settings = parse_settings(message.required_text("BootInfo")?)?;
        Ok(Self { seed, settings })
    }
}

impl Instance {
    /// # Errors
    /// The panic of a router that could not be created from the parameters.
    pub fn start(now: Duration, params: StartParams, actions: ActionWriter) -> Result<Self, Panic> {
        let StartParams { seed, settings } = params;
        let origin = settings.duration("replication.origin").unwrap_or_default();
        let report_fields = report_fields(&settings);
        let router = catch_unwind(AssertUnwindSafe(|| Router::new(actions, seed, settings, now)))?;
        Ok(Self { router, origin, report_fields })
    }

    /// Converts a message to an event; `None` for a message that is not an event of the router.
    ///
    /// # Errors
    /// A field is missing or invalid, or refers to an endpoint list that has not been defined.
    pub fn read_event<'a>(
        &self,
        kind: EventKind,
        message: &WireMessage,
        lists: &'a EndpointLists,
    ) -> Result<Option<Event<'a>>, WireError> {
        Ok(Some(match kind {
            EventKind::EndpointsUpdated => read_endpoints(message, lists)?,
            EventKind::RpcArrived => Event::RpcArrived(event::rpc(message)?),
            EventKind::AttemptEnded => {
                let report = || self.load_report(message);
                Event::AttemptEnded(event::attempt_end(message, self.origin, report)?)
            }
            EventKind::HealthCheckEnded => Event::HealthCheckEnded {
                node: message.node()?,
                outcome: event::outcome(message)?,
                report: self.load_report(message)?,
            },
            EventKind::ClientDisconnected => Event::ClientDisconnected(message.rpc()?),
            EventKind::TimerFired => Event::TimerFired,
            EventKind::InstanceStarted | EventKind::InstanceStopped | EventKind::Ignored => return Ok(None),
        }))
    }

    /// # Errors
    /// The panic of the router. The state of the instance remains as it was at the panic.
    pub fn handle(&mut self, now: Duration, event: Event) -> Result<(), Panic> {
        catch_unwind(AssertUnwindSafe(|| event.deliver(&mut self.router, now)))
    }

    fn load_report(&self, message: &WireMessage) -> Result<Option<LoadReport>, WireError> {
        let Some(row) = message.text("Metrics").filter(|row| !row.is_empty()) else { return Ok(None) };
        let mut report = LoadReport::default();
        for (name, text) in self.report_fields.iter().zip(row.split(',')) {
            let value = text.parse().map_err(|_| WireError::InvalidField {
                field: "Metrics".to_string(),
                value: row.to_string(),
            })?;
            set_report_field(&mut report, name, value, self.origin);
        }
        Ok(Some(report))
    }
}

fn report_fields(settings: &ValueMap) -> Vec<String> {
    let field = |index: usize| settings.text(&format!("reports.fields.{index}")).to_string();
    (0..).map(field).take_while(|name| !name.is_empty()).collect()
}

fn read_endpoints<'a>(message: &WireMessage, lists: &'a EndpointLists) -> Result<Event<'a>, WireError> {
    let Some(update) = event::endpoint_update(message)? else { return Ok(Event::EndpointPollFailed) };
    let number = message.required("Sheet")?;
    let endpoints = lists.get(&number).ok_or(WireError::UnknownList(number))?;
    Ok(Event::EndpointsChanged { update, endpoints })
}

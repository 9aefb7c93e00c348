//! The simulator's wire: its lines to calls of the decision module, and what the module does to lines.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use quillpoint::Router;
use quillpoint::host::{
    AttemptEnd, AttemptNumber, Endpoint, EndpointStatus, EndpointUpdate, Host, LoadReport, MethodId, NodeId,
    Outcome, ReplicaSetId, Role, Rpc, RpcId, SessionKey, ZoneId,
};
use quillpoint_settings::{enter, span};

#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("'{0}' is not a message of the wire")]
    Message(String),
    #[error("'{0}' stands where {1} is due")]
    Misplaced(String, &'static str),
    #[error("{0} lacks the field {1}")]
    Missing(String, &'static str),
    #[error("the field {0}={1} cannot be read")]
    Field(String, String),
    #[error("'{0}' is not of the form name=value")]
    Form(String),
    #[error("the settings cannot be read: {0}")]
    Settings(serde_json::Error),
    #[error("instance {0} has not been started")]
    Instance(u64),
    #[error("list {0} has not been set up")]
    List(u64),
    #[error("the input ends inside a batch")]
    Truncated,
}

/// The fields of one line, by name.
struct Fields<'a> {
    message: &'a str,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    fn of(line: &'a str) -> Result<Self, Fault> {
        let (message, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        let mut pairs = Vec::with_capacity(12);
        while !rest.is_empty() {
            let (name, after) = rest.split_once('=').ok_or_else(|| Fault::Form(rest.to_string()))?;
            if name.is_empty() || name.contains(' ') {
                return Err(Fault::Form(rest.to_string()));
            }
            // The settings are text, which runs to the end of the line.
            let to_the_end = name == "BootInfo";
            let (value, next) =
                if to_the_end { (after, "") } else { after.split_once(' ').unwrap_or((after, "")) };
            pairs.push((name, value));
            rest = next;
        }
        Ok(Self { message, pairs })
    }

    fn text(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(key, _)| *key == name).map(|(_, value)| *value)
    }

    fn maybe<T: FromStr>(&self, name: &str) -> Result<Option<T>, Fault> {
        self.read(name, |text| text.parse().ok())
    }

    fn must<T: FromStr>(&self, name: &'static str) -> Result<T, Fault> {
        self.maybe(name)?.ok_or_else(|| self.missing(name))
    }

    fn read<T>(&self, name: &str, how: impl Fn(&'a str) -> Option<T>) -> Result<Option<T>, Fault> {
        let Some(text) = self.text(name) else { return Ok(None) };
        how(text).map(Some).ok_or_else(|| Fault::Field(name.to_string(), text.to_string()))
    }

    fn missing(&self, name: &'static str) -> Fault {
        Fault::Missing(self.message.to_string(), name)
    }

    fn time(&self, name: &str) -> Result<Option<Duration>, Fault> {
        self.read(name, |text| text.parse().ok().filter(|ms: &f64| ms.is_finite()).map(span))
    }

    fn flag(&self, name: &str) -> Result<bool, Fault> {
        let bit =
            |text| [("1", true), ("0", false)].iter().find(|(word, _)| *word == text).map(|(_, bit)| *bit);
        Ok(self.read(name, bit)?.unwrap_or(false))
    }

    fn hex(&self, name: &str) -> Result<Option<u64>, Fault> {
        self.read(name, |text| u64::from_str_radix(text, 16).ok())
    }

    fn rpc(&self) -> Result<RpcId, Fault> {
        self.hex("OpId")?.map(RpcId).ok_or_else(|| self.missing("OpId"))
    }

    fn node(&self) -> Result<NodeId, Fault> {
        self.must::<SocketAddr>("Node").map(NodeId)
    }

    fn outcome(&self) -> Result<Outcome, Fault> {
        let word = |text| {
            Some(match text {
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
        };
        self.read("Verdict", word)?.ok_or_else(|| self.missing("Verdict"))
    }

    fn listed(&self) -> Result<Endpoint, Fault> {
        let word = |text| {
            Some(match text {
                "healthy" => EndpointStatus::InService,
                "cordoned" => EndpointStatus::Draining,
                "deregistered" => EndpointStatus::Removed,
                _ => return None,
            })
        };
        Ok(Endpoint {
            node: self.node()?,
            replica_set: ReplicaSetId(self.maybe::<f64>("Shard")?.unwrap_or(0.0) as u64),
            zone: ZoneId(self.maybe("Campus")?.unwrap_or(0)),
            kind: self.maybe("Shape")?.unwrap_or(0),
            primary: self.maybe::<f64>("Primary")?.unwrap_or(0.0) > 0.0,
            status: self.read("Condition", word)?.ok_or_else(|| self.missing("Condition"))?,
            started: self.time("LastStartMs")?.filter(|at| !at.is_zero()),
        })
    }
}

/// One instance: its router, and what is needed to read the lines that are meant for it.
struct Seat {
    router: Router<Line>,
    origin: Duration,
    report_fields: Vec<String>,
}

impl Seat {
    fn report(&self, fields: &Fields) -> Result<Option<LoadReport>, Fault> {
        let Some(row) = fields.text("Metrics").filter(|row| !row.is_empty()) else { return Ok(None) };
        let mut report = LoadReport::default();
        for (name, text) in self.report_fields.iter().zip(row.split(',')) {
            let value: f64 = text.parse().map_err(|_| Fault::Field("Metrics".into(), row.to_string()))?;
            enter(&mut report, name, value, self.origin);
        }
        Ok(Some(report))
    }
}

/// What one router does, written as lines of the reply.
struct Line {
    who: u64,
    reply: Rc<RefCell<String>>,
}

impl Line {
    fn put(&self, rest: std::fmt::Arguments) {
        let mut reply = self.reply.borrow_mut();
        writeln!(reply, "{rest}").expect("a string takes all that is written to it");
    }
}

fn ms(span: Duration) -> f64 {
    span.as_micros() as f64 / 1000.0
}

/// The log text on one line.
fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}

impl Host for Line {
    fn attempt(&mut self, rpc: RpcId, node: NodeId, timeout: Duration) {
        let (who, RpcId(rpc), NodeId(node), timeout) = (self.who, rpc, node, ms(timeout));
        self.put(format_args!("CALL_OUT Who={who} OpId={rpc:016x} Node={node} TimeoutMs={timeout:.3}"));
    }
    fn reject(&mut self, rpc: RpcId, retry_after: Duration) {
        self.put(format_args!("BUSY Who={} OpId={:016x} HoldOffMs={:.3}", self.who, rpc.0, ms(retry_after)));
    }
    fn abort(&mut self, rpc: RpcId) {
        self.put(format_args!("END_FAILED Who={} OpId={:016x}", self.who, rpc.0));
    }
    fn health_check(&mut self, node: NodeId) {
        self.put(format_args!("TOUCH Who={} Node={}", self.who, node.0));
    }
    fn close_idle(&mut self, node: NodeId) {
        self.put(format_args!("RELEASE Who={} Node={}", self.who, node.0));
    }
    fn watch_endpoints(&mut self) {
        self.put(format_args!("LISTEN Who={} Want=1", self.who));
    }
    fn set_timer(&mut self, after: Duration) {
        // Rounded up to the wire's microsecond: a timer that fired early would find nothing due.
        let after = after.as_nanos().div_ceil(1000) as f64 / 1000.0;
        self.put(format_args!("NOTIFY_ME Who={} Handle=due FromNowMs={after:.3}", self.who));
    }
    fn log(&mut self, line: &str) {
        self.put(format_args!("EMIT Who={} ReasonText={}", self.who, one_line(line)));
    }
}

/// What one event has a router do.
type Deed<'a> = Box<dyn FnOnce(&mut Router<Line>) + 'a>;

/// All instances of one process, and where in the input it stands.
#[derive(Default)]
pub struct Bench {
    seats: BTreeMap<u64, Seat>,
    lists: BTreeMap<u64, Vec<Endpoint>>,
    /// The list that is being read, and how many entries are still due.
    filling: Option<(u64, usize)>,
    /// The clock of the batch that is being read.
    now: Option<Duration>,
    reply: Rc<RefCell<String>>,
}

impl Bench {
    /// Takes one line; the reply once a batch is over.
    pub fn line(&mut self, line: &str) -> Result<Option<String>, Fault> {
        if line.is_empty() {
            return Ok(None);
        }
        let fields = Fields::of(line)?;
        match (fields.message, self.now, self.filling) {
            ("BATCH", None, _) => {
                self.now = Some(fields.time("AtTimeMs")?.ok_or_else(|| fields.missing("AtTimeMs"))?);
                Ok(None)
            }
            (other, None, _) => Err(Fault::Misplaced(other.to_string(), "BATCH")),
            ("ENTRY", _, Some((list, due))) => {
                self.lists.entry(list).or_default().push(fields.listed()?);
                self.filling = Some((list, due - 1)).filter(|(_, due)| *due > 0);
                Ok(None)
            }
            (other, _, Some(_)) => Err(Fault::Misplaced(other.to_string(), "ENTRY")),
            ("BATCH" | "ENTRY", _, None) => Err(Fault::Misplaced(fields.message.to_string(), "an event")),
            ("MANIFEST", _, None) => {
                let (list, due) = (fields.must("Sheet")?, fields.must("MembersList")?);
                self.lists.insert(list, Vec::new());
                self.filling = Some((list, due)).filter(|(_, due)| *due > 0);
                Ok(None)
            }
            ("FLUSH", _, None) => {
                self.now = None;
                let mut reply = std::mem::take(&mut *self.reply.borrow_mut());
                reply.push_str("EOR\n");
                Ok(Some(reply))
            }
            (_, Some(now), None) => self.event(now, &fields).map(|()| None),
        }
    }

    pub fn end_of_input(&self) -> Result<(), Fault> {
        if self.now.is_some() { Err(Fault::Truncated) } else { Ok(()) }
    }

    fn event(&mut self, now: Duration, fields: &Fields) -> Result<(), Fault> {
        let known = [
            "POWER_ON",
            "DIRECTORY_UPDATE",
            "INGRESS",
            "OUTCOME",
            "VANISHED",
            "PROBED",
            "DETACH",
            "INBOX",
            "FIRED",
            "STARTED",
        ];
        if !known.contains(&fields.message) {
            return Err(Fault::Message(fields.message.to_string()));
        }
        let who: u64 = fields.must("Who")?;
        match fields.message {
            "POWER_ON" => return self.power_on(now, who, fields),
            "DETACH" => {
                self.seats.remove(&who);
                return Ok(());
            }
            _ => {}
        }
        let seat = self.seats.get_mut(&who).ok_or(Fault::Instance(who))?;
        let call: Deed = match fields.message {
            "DIRECTORY_UPDATE" => {
                let form = fields.text("Form").ok_or_else(|| fields.missing("Form"))?;
                let extent = match form {
                    "delta" => Some(EndpointUpdate::Delta),
                    "full" => Some(EndpointUpdate::Snapshot),
                    "cached" => Some(EndpointUpdate::CachedSnapshot),
                    "failed" => None,
                    _ => return Err(Fault::Field("Form".into(), form.to_string())),
                };
                match extent {
                    None => Box::new(move |router| router.endpoint_poll_failed(now)),
                    Some(extent) => {
                        let number = fields.must("Sheet")?;
                        let list = self.lists.get(&number).ok_or(Fault::List(number))?;
                        Box::new(move |router| router.endpoints_changed(now, extent, list))
                    }
                }
            }
            "INGRESS" => {
                let rpc = Rpc {
                    id: fields.rpc()?,
                    method: MethodId(fields.must("Band")?),
                    session: fields.hex("Key")?.map(SessionKey),
                    replica_set: ReplicaSetId(fields.must::<f64>("GroupNo")? as u64),
                    remaining: fields.time("RemainingMs")?.ok_or_else(|| fields.missing("RemainingMs"))?,
                    work: fields.time("EffortMs")?,
                    since_write: fields.time("SinceWriteMs")?.filter(|since| !since.is_zero()),
                    retried: fields.flag("Retry")?,
                };
                Box::new(move |router| router.rpc_arrived(now, rpc))
            }
            "OUTCOME" => {
                let stamp: u64 = fields.maybe("Stamp")?.unwrap_or(0);
                let role = [None, Some(Role::Primary), Some(Role::Replica), None][(stamp % 4) as usize];
                let end = AttemptEnd {
                    rpc: fields.rpc()?,
                    attempt: AttemptNumber(fields.must("SeqNo")?),
                    node: fields.node()?,
                    outcome: fields.outcome()?,
                    finished: fields.flag("Last")?,
                    took: fields.time("TookMs")?.unwrap_or_default(),
                    role,
                    position: (stamp >= 4).then(|| seat.origin + Duration::from_millis(stamp / 4)),
                    report: seat.report(fields)?,
                };
                Box::new(move |router| router.attempt_ended(now, end))
            }
            "PROBED" => {
                let (node, outcome) = (fields.node()?, fields.outcome()?);
                let report = seat.report(fields)?;
                Box::new(move |router| router.health_check_ended(now, node, outcome, report))
            }
            "VANISHED" => {
                let rpc = fields.rpc()?;
                Box::new(move |router| router.client_disconnected(rpc))
            }
            "FIRED" => Box::new(move |router| router.timer_fired(now)),
            // No stream starts where none is allowed, and routers have no word for each other.
            _ => return Ok(()),
        };
        let router = &mut seat.router;
        if let Err(panic) = catch_unwind(AssertUnwindSafe(|| call(router))) {
            self.bail_out(who, panic.as_ref());
        }
        Ok(())
    }

    fn power_on(&mut self, now: Duration, who: u64, fields: &Fields) -> Result<(), Fault> {
        let seed = fields.must("Nonce64")?;
        let settings = fields.text("BootInfo").ok_or_else(|| fields.missing("BootInfo"))?;
        let values = quillpoint_settings::flat(settings).map_err(Fault::Settings)?;
        let origin = values.span("replication.origin").unwrap_or_default();
        let field = |place: usize| {
            let name = values.text(&format!("reports.fields.{place}"));
            (!name.is_empty()).then(|| name.to_string())
        };
        let report_fields = (0..).map_while(field).collect();
        let line = Line { who, reply: Rc::clone(&self.reply) };
        match catch_unwind(AssertUnwindSafe(|| Router::new(line, seed, values, now))) {
            Ok(router) => _ = self.seats.insert(who, Seat { router, origin, report_fields }),
            Err(panic) => self.bail_out(who, panic.as_ref()),
        }
        Ok(())
    }

    fn bail_out(&mut self, who: u64, panic: &(dyn std::any::Any + Send)) {
        let text = panic.downcast_ref::<String>().map(String::as_str);
        let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic without a text");
        Line { who, reply: Rc::clone(&self.reply) }
            .put(format_args!("BAIL_OUT Who={who} ReasonText={}", one_line(text)));
    }
}

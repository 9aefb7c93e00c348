//! The wire's framing: batches of events in, a reply for each.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::WireError;
use crate::action::{ActionWriter, Reply};
use crate::event::{self, EventKind};
use crate::instance::{EndpointLists, Instance, Panic, StartParams};
use crate::message::WireMessage;

/// The last line of a reply.
const END_OF_REPLY: &str = "EOR\n";

/// An endpoint list whose entries are still to come.
#[derive(Clone, Copy)]
struct PartialList {
    number: u64,
    entries_due: usize,
}

impl PartialList {
    /// `None` for a list that has all its entries.
    fn of(number: u64, entries_due: usize) -> Option<Self> {
        (entries_due > 0).then_some(Self { number, entries_due })
    }
}

/// All instances of one process, and how far the input has been read.
#[derive(Default)]
pub struct BatchProcessor {
    instances: BTreeMap<u64, Instance>,
    lists: EndpointLists,
    partial_list: Option<PartialList>,
    /// The clock of the batch that is being read.
    now: Option<Duration>,
    reply: Reply,
}

impl BatchProcessor {
    /// Takes one line without its line end, and returns the reply after the last line of a batch.
    ///
    /// # Errors
    /// What is wrong with the line. The input cannot be read on from there.
    pub fn process_line(&mut self, line: &str) -> Result<Option<String>, WireError> {
        if line.is_empty() {
            return Ok(None);
        }
        let message = WireMessage::parse(line)?;
        match (self.now, self.partial_list) {
            (None, _) => self.begin_batch(&message)?,
            (Some(_), Some(list)) => self.add_entry(list, &message)?,
            (Some(_), None) if message.name == "FLUSH" => return Ok(Some(self.end_batch())),
            (Some(now), None) => self.process_message(now, &message)?,
        }
        Ok(None)
    }

    /// Checks that the input may end here.
    ///
    /// # Errors
    /// A batch that has begun and not ended.
    pub fn end_of_input(&self) -> Result<(), WireError> {
        if self.now.is_some() { Err(WireError::Truncated) } else { Ok(()) }
    }

    fn begin_batch(&mut self, message: &WireMessage) -> Result<(), WireError> {
        expect(message, "BATCH")?;
        self.now = Some(message.required_duration("AtTimeMs")?);
        Ok(())
    }

    fn end_batch(&mut self) -> String {
        self.now = None;
        let mut reply = self.reply.take();
        reply.push_str(END_OF_REPLY);
        reply
    }

    fn add_entry(&mut self, list: PartialList, message: &WireMessage) -> Result<(), WireError> {
        expect(message, "ENTRY")?;
        let endpoint = event::endpoint(message)?;
        self.lists.entry(list.number).or_default().push(endpoint);
        self.partial_list = PartialList::of(list.number, list.entries_due - 1);
        Ok(())
    }

    fn process_message(&mut self, now: Duration, message: &WireMessage) -> Result<(), WireError> {
        match message.name {
            "BATCH" | "ENTRY" => Err(unexpected_message(message, "an event")),
            "MANIFEST" => self.begin_list(message),
            _ => self.process_event(now, message),
        }
    }

    fn begin_list(&mut self, message: &WireMessage) -> Result<(), WireError> {
        let number = message.required("Sheet")?;
        let entries = message.required("MembersList")?;
        self.lists.insert(number, Vec::new());
        self.partial_list = PartialList::of(number, entries);
        Ok(())
    }

    fn process_event(&mut self, now: Duration, message: &WireMessage) -> Result<(), WireError> {
        let kind = EventKind::of(message.name)?;
        let id = message.instance()?;
        match kind {
            EventKind::InstanceStarted => return self.start_instance(now, id, message),
            EventKind::InstanceStopped => {
                self.instances.remove(&id);
                return Ok(());
            }
            _ => {}
        }
        let instance = self.instances.get_mut(&id).ok_or(WireError::UnknownInstance(id))?;
        let Some(event) = instance.read_event(kind, message, &self.lists)? else { return Ok(()) };
        if let Err(panic) = instance.handle(now, event) {
            self.report_failure(id, &panic);
        }
        Ok(())
    }

    fn start_instance(&mut self, now: Duration, id: u64, message: &WireMessage) -> Result<(), WireError> {
        let params = StartParams::read(message)?;
        match Instance::start(now, params, ActionWriter::new(id, &self.reply)) {
            Ok(instance) => {
                self.instances.insert(id, instance);
            }
            Err(panic) => self.report_failure(id, &panic),
        }
        Ok(())
    }

    fn report_failure(&self, id: u64, panic: &Panic) {
        ActionWriter::new(id, &self.reply).report_failure(panic.as_ref());
    }
}

fn expect(message: &WireMessage, name: &'static str) -> Result<(), WireError> {
    if message.name == name { Ok(()) } else { Err(unexpected_message(message, name)) }
}

fn unexpected_message(message: &WireMessage, expected: &'static str) -> WireError {
    WireError::UnexpectedMessage { found: message.name.to_string(), expected }
}

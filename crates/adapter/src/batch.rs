//! The framing of the protocol: the input consists of batches of messages, each of which gets one reply.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::WireError;
use crate::action::{ActionWriter, Reply};
use crate::event::{self, EventKind};
use crate::instance::{EndpointLists, Instance, Panic, StartParams};
use crate::message::WireMessage;

/// The last line of a reply.
const END_OF_REPLY: &str = "EOR\n";

/// An endpoint list of which some entries have not been read yet.
#[derive(Clone, Copy)]
struct PartialList {
    number: u64,
    missing_entries: usize,
}

impl PartialList {
    /// `None` if the list is complete.
    fn new(number: u64, missing_entries: usize) -> Option<Self> {
        (missing_entries > 0).then_some(Self { number, missing_entries })
    }
}

/// All router instances of this process, and the position in the input.
#[derive(Default)]
pub struct BatchProcessor {
    instances: BTreeMap<u64, Instance>,
    lists: EndpointLists,
    partial_list: Option<PartialList>,
    /// The time of the batch that is being read; `None` between batches.
    now: Option<Duration>,
    reply: Reply,
}

impl BatchProcessor {
    /// Processes one line, given without its line terminator. Returns the reply after the last line of a
    /// batch.
    ///
    /// # Errors
    /// The line is invalid. The processor cannot continue with the input after that.
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

    /// Checks that the input may end at the current position.
    ///
    /// # Errors
    /// A batch has not been completed.
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
        self.partial_list = PartialList::new(list.number, list.missing_entries - 1);
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
        let entry_count = message.required("MembersList")?;
        self.lists.insert(number, Vec::new());
        self.partial_list = PartialList::new(number, entry_count);
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
            self.report_panic(id, &panic);
        }
        Ok(())
    }

    fn start_instance(&mut self, now: Duration, id: u64, message: &WireMessage) -> Result<(), WireError> {
        let params = StartParams::read(message)?;
        match Instance::start(now, params, ActionWriter::new(id, &self.reply)) {
            Ok(instance) => {
                self.instances.insert(id, instance);
            }
            Err(panic) => self.report_panic(id, &panic),
        }
        Ok(())
    }

    fn report_panic(&self, id: u64, panic: &Panic) {
        ActionWriter::new(id, &self.reply).report_panic(panic.as_ref());
    }
}

fn expect(message: &WireMessage, name: &'static str) -> Result<(), WireError> {
    if message.name == name { Ok(()) } else { Err(unexpected_message(message, name)) }
}

fn unexpected_message(message: &WireMessage, expected: &'static str) -> WireError {
    WireError::UnexpectedMessage { found: message.name.to_string(), expected }
}

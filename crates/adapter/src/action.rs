//! Writes the actions of a router as lines of the reply.

use std::any::Any;
use std::cell::RefCell;
use std::fmt::{self, Write as _};
use std::rc::Rc;
use std::time::Duration;

use quillpoint::host::{Host, NodeId, RpcId};

/// The reply to the current batch, which all instances append their lines to.
pub type Reply = Rc<RefCell<String>>;

/// Writes the actions of one instance to the reply.
pub struct ActionWriter {
    instance: u64,
    reply: Reply,
}

impl ActionWriter {
    pub fn new(instance: u64, reply: &Reply) -> Self {
        Self { instance, reply: Rc::clone(reply) }
    }

    /// Reports that this instance has panicked.
    pub fn report_panic(&self, panic: &(dyn Any + Send)) {
        let owned = panic.downcast_ref::<String>().map(String::as_str);
        let text = owned.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic without a text");
        self.write_line(format_args!("BAIL_OUT Who={} ReasonText={}", self.instance, on_one_line(text)));
    }

    fn write_line(&self, line: fmt::Arguments) {
        let mut reply = self.reply.borrow_mut();
        writeln!(reply, "{line}").expect("writing to a String cannot fail");
    }
}

impl Host for ActionWriter {
    fn start_attempt(&mut self, rpc: RpcId, node: NodeId, timeout: Duration) {
        self.write_line(format_args!(
            "CALL_OUT Who={} OpId={:016x} Node={} TimeoutMs={:.3}",
            self.instance,
            rpc.0,
            node.0,
            as_ms(timeout)
        ));
    }

    fn reject(&mut self, rpc: RpcId, retry_after: Duration) {
        self.write_line(format_args!(
            "BUSY Who={} OpId={:016x} HoldOffMs={:.3}",
            self.instance,
            rpc.0,
            as_ms(retry_after)
        ));
    }

    fn abort(&mut self, rpc: RpcId) {
        self.write_line(format_args!("END_FAILED Who={} OpId={:016x}", self.instance, rpc.0));
    }

    fn start_health_check(&mut self, node: NodeId) {
        self.write_line(format_args!("TOUCH Who={} Node={}", self.instance, node.0));
    }

    fn close_idle_connections(&mut self, node: NodeId) {
        self.write_line(format_args!("RELEASE Who={} Node={}", self.instance, node.0));
    }

    fn watch_endpoints(&mut self) {
        self.write_line(format_args!("LISTEN Who={} Want=1", self.instance));
    }

    fn set_timer(&mut self, after: Duration) {
        // Rounded up to the protocol's resolution of a microsecond: a timer that fires too early would find
        // nothing due.
        let after_ms = after.as_nanos().div_ceil(1000) as f64 / 1000.0;
        self.write_line(format_args!("NOTIFY_ME Who={} Handle=due FromNowMs={after_ms:.3}", self.instance));
    }

    fn log(&mut self, line: &str) {
        self.write_line(format_args!("EMIT Who={} ReasonText={}", self.instance, on_one_line(line)));
    }
}

/// Milliseconds, rounded down to the protocol's resolution of a microsecond.
fn as_ms(duration: Duration) -> f64 {
    duration.as_micros() as f64 / 1000.0
}

fn on_one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}

//! Thousands of stand-in databases on one thread. Each listens on an address of its own, answers the startup,
//! the health checks and the statements of routers, and counts them. Commands change which ones are
//! primaries.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use quillpoint_router::pg::{self, FrontendMessage, ProtocolViolation, StartupPacket};

use crate::now;
use crate::replica_set::{empty_query_response, encode_parameter_status, single_value_result};
use crate::scale::commands::{DatabasesPlan, DatabasesReport, StandInCommand};

struct Databases {
    primaries: RefCell<BTreeSet<SocketAddr>>,
    lag: Duration,
    probes: Cell<u64>,
    statements: Cell<u64>,
    connections: Cell<u64>,
    promoted_us: Cell<u64>,
}

/// Serves until the command channel closes. Calls `on_report` with each report.
///
/// # Errors
/// An address cannot be bound.
pub async fn serve(
    plan: DatabasesPlan,
    commands: async_channel::Receiver<StandInCommand>,
    mut on_report: impl FnMut(&DatabasesReport),
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<()> {
    let databases = Rc::new(Databases {
        primaries: RefCell::new(plan.primaries.into_iter().collect()),
        lag: Duration::from_millis(plan.lag_ms),
        probes: Cell::new(0),
        statements: Cell::new(0),
        connections: Cell::new(0),
        promoted_us: Cell::new(0),
    });
    for address in plan.addresses {
        let listener = Async::<TcpListener>::bind(address)?;
        let (spawner, databases) = (Rc::clone(&executor), Rc::clone(&databases));
        let accept = async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        spawner.spawn(Rc::clone(&databases).session(address, stream)).detach();
                    }
                    // Typically out of file descriptors: wait for other sessions to close some.
                    Err(_) => _ = Timer::after(Duration::from_millis(10)).await,
                }
            }
        };
        executor.spawn(accept).detach();
    }
    on_report(&databases.report());
    while let Ok(command) = commands.recv().await {
        if let StandInCommand::Promote { new_primary, old_primary } = command {
            let primaries = &mut *databases.primaries.borrow_mut();
            primaries.remove(&old_primary);
            primaries.insert(new_primary);
            databases.promoted_us.set(now().as_micros() as u64);
        }
        on_report(&databases.report());
    }
    Ok(())
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl Databases {
    fn report(&self) -> DatabasesReport {
        DatabasesReport {
            probes: self.probes.get(),
            statements: self.statements.get(),
            connections: self.connections.get(),
            promoted_us: self.promoted_us.get(),
        }
    }

    async fn session(self: Rc<Self>, address: SocketAddr, mut stream: Async<TcpStream>) {
        increment(&self.connections);
        _ = stream.get_ref().set_nodelay(true);
        let mut unread = Vec::new();
        if next_message(&mut stream, &mut unread, pg::decode_startup_packet).await
            != Some(StartupPacket::Startup)
        {
            return;
        }
        let mut out = Vec::new();
        pg::encode_session_start(&mut out, None);
        if stream.write_all(&out).await.is_err() {
            return;
        }
        while let Some(FrontendMessage::Query(text)) =
            next_message(&mut stream, &mut unread, pg::decode_frontend_message).await
        {
            let out = self.answer(address, &text);
            if stream.write_all(&out).await.is_err() {
                return;
            }
        }
    }

    fn answer(&self, address: SocketAddr, text: &[u8]) -> Vec<u8> {
        if text.is_empty() {
            return empty_query_response();
        }
        let primary = self.primaries.borrow().contains(&address);
        let position = now() - if primary { Duration::ZERO } else { self.lag };
        let load = format!("x0={:.6},x1={}", position.as_secs_f64(), u8::from(primary));
        let mut out = Vec::new();
        if text == b"SHOW load" {
            increment(&self.probes);
            pg::encode_result(&mut out, &single_value_result(load.as_bytes()));
        } else {
            increment(&self.statements);
            let writes = text.windows(6).any(|word| word == b"INSERT");
            match writes && !primary {
                true => pg::encode_error(&mut out, false, "25006", "this is a replica", None),
                false => pg::encode_result(&mut out, &single_value_result(b"v")),
            }
            encode_parameter_status(&mut out, "role", if primary { "primary" } else { "replica" });
            encode_parameter_status(&mut out, "applied_ms", &position.as_millis().to_string());
            encode_parameter_status(&mut out, "load", &load);
        }
        pg::encode_ready_for_query(&mut out);
        out
    }
}

/// Reads the next complete message; `None` at the end of the stream or if the message is invalid.
pub async fn next_message<T>(
    stream: &mut Async<TcpStream>,
    unread: &mut Vec<u8>,
    decode: impl Fn(&[u8]) -> Result<Option<(T, usize)>, ProtocolViolation>,
) -> Option<T> {
    loop {
        if let Some((message, taken)) = decode(unread).ok()? {
            unread.drain(..taken);
            return Some(message);
        }
        let mut chunk = [0; 1024];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => unread.extend(&chunk[..count]),
        }
    }
}

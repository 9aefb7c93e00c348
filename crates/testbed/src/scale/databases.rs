//! Stand-in databases by the thousand on one thread: each listens on an address of its own, answers a router's
//! startup, its probes and its statements, and counts them. Roles change by order.

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
use crate::replica_set::{encode_parameter_status, single_value_result};
use crate::scale::orders::{DatabasesPlan, DatabasesReport, Order};

struct Databases {
    primaries: RefCell<BTreeSet<SocketAddr>>,
    lag: Duration,
    probes: Cell<u64>,
    statements: Cell<u64>,
    connections: Cell<u64>,
    promoted_us: Cell<u64>,
}

/// Serves until the orders end. `said` is called with each report.
///
/// # Errors
/// An address cannot be had.
pub async fn serve(
    plan: DatabasesPlan,
    orders: async_channel::Receiver<Order>,
    mut said: impl FnMut(&DatabasesReport),
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
                    // Out of descriptors, say: others may give some back.
                    Err(_) => _ = Timer::after(Duration::from_millis(10)).await,
                }
            }
        };
        executor.spawn(accept).detach();
    }
    said(&databases.report());
    while let Ok(order) = orders.recv().await {
        if let Order::Promote { rises, falls } = order {
            let primaries = &mut *databases.primaries.borrow_mut();
            primaries.remove(&falls);
            primaries.insert(rises);
            databases.promoted_us.set(now().as_micros() as u64);
        }
        said(&databases.report());
    }
    Ok(())
}

fn add(count: &Cell<u64>) {
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
        add(&self.connections);
        _ = stream.get_ref().set_nodelay(true);
        let mut unread = Vec::new();
        if next(&mut stream, &mut unread, pg::decode_startup_packet).await != Some(StartupPacket::Startup) {
            return;
        }
        let mut out = Vec::new();
        pg::encode_session_start(&mut out, None);
        if stream.write_all(&out).await.is_err() {
            return;
        }
        while let Some(FrontendMessage::Query(text)) =
            next(&mut stream, &mut unread, pg::decode_frontend_message).await
        {
            let out = self.answer(address, &text);
            if stream.write_all(&out).await.is_err() {
                return;
            }
        }
    }

    fn answer(&self, address: SocketAddr, text: &[u8]) -> Vec<u8> {
        let primary = self.primaries.borrow().contains(&address);
        let position = now() - if primary { Duration::ZERO } else { self.lag };
        let load = format!("x0={:.6},x1={}", position.as_secs_f64(), u8::from(primary));
        let mut out = Vec::new();
        if text == b"SHOW load" {
            add(&self.probes);
            pg::encode_result(&mut out, &single_value_result(load.as_bytes()));
        } else {
            add(&self.statements);
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

/// The next whole message; `None` at the end, and for what is none.
pub async fn next<T>(
    stream: &mut Async<TcpStream>,
    unread: &mut Vec<u8>,
    decode: impl Fn(&[u8]) -> Result<Option<(T, usize)>, ProtocolViolation>,
) -> Option<T> {
    loop {
        if let Some((message, taken)) = decode(unread).ok()? {
            unread.drain(..taken);
            return Some(message);
        }
        let mut piece = [0; 1024];
        match stream.read(&mut piece).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => unread.extend(&piece[..count]),
        }
    }
}

//! Puts the parts of a router together and runs them on one thread.

use std::net::TcpListener;
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;
use quillpoint::host::EndpointUpdate;

use crate::briefing::{Briefing, Refusal};
use crate::budget::Accounts;
use crate::client::Clients;
use crate::descriptors::Descriptors;
use crate::discovery::{DiscoveryClient, DiscoveryParams};
use crate::drain;
use crate::engine::Engine;
use crate::events;
use crate::pool::Pool;
use crate::report;
use crate::signals;
use crate::ties::Ties;

/// Serves until told to stop and drained. On SIGHUP `reread` is called for what holds from then on.
pub fn serve(
    briefing: Briefing,
    reread: impl Fn() -> Result<Briefing, Refusal> + 'static,
) -> std::io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(run(briefing, reread, Rc::clone(&executor))))
}

async fn run(
    briefing: Briefing,
    reread: impl Fn() -> Result<Briefing, Refusal> + 'static,
    executor: Rc<LocalExecutor<'static>>,
) -> std::io::Result<()> {
    // Before anything else: a signal that comes early must not end the process.
    let signals = signals::caught()?;
    let launch = &briefing.launch;
    let deployment = &launch.deployment;
    let descriptors = Descriptors::new(launch.sockets);
    let listener = Rc::new(Async::<TcpListener>::bind(launch.listen)?);
    let listener_slot = descriptors.take().await;
    let (engine, work) = Engine::new(launch.seed, deployment);
    events::whose(&launch.name, engine.clock.now().as_micros() as u64);
    let (discovery, known) = DiscoveryClient::new(DiscoveryParams {
        address: launch.discovery,
        deployment,
        cached: &launch.known,
        seed: launch.seed,
        clock: engine.clock,
        executor: Rc::clone(&executor),
        descriptors: &descriptors,
    })
    .await;
    engine.endpoints_changed(EndpointUpdate::CachedSnapshot, &known);
    let ties = Rc::new(Ties::open(&briefing.parts, &engine, &descriptors, launch.seed).await?);
    let accounts = Accounts::of(launch.memory);
    executor.spawn(report::each_minute(accounts.clone())).detach();
    let pool = Pool::new(Rc::clone(&executor), Rc::clone(&descriptors), accounts.clone(), deployment);
    let (executors, engines, pools) = (Rc::clone(&executor), Rc::clone(&engine), Rc::clone(&pool));
    let clients = Clients::new(executors, engines, pools, descriptors, accounts.clone(), deployment);
    let (moves, moved) = async_channel::unbounded();
    executor.spawn(discovery.run(Rc::clone(&engine), work.list, moved)).detach();
    executor.spawn(Rc::clone(&pool).close_old()).detach();
    executor.spawn(pool.run(Rc::clone(&engine), work.chores)).detach();
    ties.run(&engine, &executor);
    let timed = Rc::clone(&engine);
    executor.spawn(async move { timed.keep_time().await }).detach();
    let accepting = executor.spawn(Rc::clone(&clients).accept(Rc::clone(&listener)));
    let address = listener.get_ref().local_addr()?;
    log::info!(
        event = "serves", address:% = address, nodes = known.len();
        "{} serves at {address}, {} nodes known", launch.name, known.len()
    );
    let (stop, stopped) = async_channel::bounded(1);
    executor.spawn(signals::obey(signals, briefing, reread, (moves, Rc::clone(&ties)), stop)).detach();
    _ = stopped.recv().await;
    drain::drain(&clients, &engine, listener, accepting).await;
    ties.leave();
    drop(listener_slot);
    report::tell(&accounts);
    log::info!(event = "drained"; "drained");
    Ok(())
}

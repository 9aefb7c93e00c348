//! Puts the parts of a router together and runs them on one thread.

use std::net::TcpListener;
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;
use quillpoint::host::EndpointUpdate;

use crate::budget::Accounts;
use crate::client::Clients;
use crate::descriptors::Descriptors;
use crate::discovery::{DiscoveryClient, DiscoveryParams};
use crate::drain;
use crate::engine::Engine;
use crate::events;
use crate::pool::Pool;
use crate::report;
use crate::runtime_config::{RuntimeConfig, RuntimeConfigError};
use crate::signals;
use crate::ties::Ties;

/// Serves until told to stop and drained. On SIGHUP `reread` is called for what holds from then on.
pub fn serve(
    config: RuntimeConfig,
    reread: impl Fn() -> Result<RuntimeConfig, RuntimeConfigError> + 'static,
) -> std::io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(run(config, reread, Rc::clone(&executor))))
}

async fn run(
    config: RuntimeConfig,
    reread: impl Fn() -> Result<RuntimeConfig, RuntimeConfigError> + 'static,
    executor: Rc<LocalExecutor<'static>>,
) -> std::io::Result<()> {
    // Before anything else: a signal that comes early must not end the process.
    let signals = signals::caught()?;
    let startup = &config.startup;
    let deployment = &startup.deployment;
    let descriptors = Descriptors::new(startup.max_sockets);
    let listener = Rc::new(Async::<TcpListener>::bind(startup.listen)?);
    let listener_slot = descriptors.take().await;
    let (engine, work) = Engine::new(startup.seed, deployment);
    events::set_origin(&startup.name, engine.clock.now().as_micros() as u64);
    let (discovery, known) = DiscoveryClient::new(DiscoveryParams {
        address: startup.discovery,
        deployment,
        cached: &startup.known,
        seed: startup.seed,
        clock: engine.clock,
        executor: Rc::clone(&executor),
        descriptors: &descriptors,
    })
    .await;
    engine.endpoints_changed(EndpointUpdate::CachedSnapshot, &known);
    let ties = Rc::new(Ties::open(&config.parts, &engine, &descriptors, startup.seed).await?);
    let accounts = Accounts::of(startup.memory_bytes);
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
        "{} serves at {address}, {} nodes known", startup.name, known.len()
    );
    let (stop, stopped) = async_channel::bounded(1);
    executor.spawn(signals::obey(signals, config, reread, (moves, Rc::clone(&ties)), stop)).detach();
    _ = stopped.recv().await;
    drain::drain(&clients, &engine, listener, accepting).await;
    ties.leave();
    drop(listener_slot);
    report::tell(&accounts);
    log::info!(event = "drained"; "drained");
    Ok(())
}

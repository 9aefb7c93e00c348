//! Assembles the parts of a router and runs them on one thread.

use std::io;
use std::net::TcpListener;
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;
use quillpoint::host::EndpointUpdate;

use crate::budget::SharedBudget;
use crate::client::{ClientResources, ClientSessions};
use crate::control_connections::ControlConnections;
use crate::descriptors::DescriptorLimiter;
use crate::discovery::{DiscoveryClient, DiscoveryParams};
use crate::drain;
use crate::engine::Engine;
use crate::events;
use crate::memory_report;
use crate::pool::ConnectionPool;
use crate::runtime_config::{RuntimeConfig, RuntimeConfigError};
use crate::signals::{self, ReloadTargets};

/// Runs a router until it has received a shutdown signal and drained. On SIGHUP, `reread` returns the new
/// configuration.
///
/// # Errors
/// The signal handlers cannot be installed, or a socket cannot be opened.
pub fn serve(
    config: RuntimeConfig,
    reread: impl Fn() -> Result<RuntimeConfig, RuntimeConfigError> + 'static,
) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(run(config, reread, Rc::clone(&executor))))
}

async fn run(
    config: RuntimeConfig,
    reread: impl Fn() -> Result<RuntimeConfig, RuntimeConfigError> + 'static,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<()> {
    // Installed before anything else, so that an early signal does not kill the process.
    let signals = signals::install()?;
    let startup = &config.startup;
    let deployment = &startup.deployment;
    let budget = SharedBudget::new(startup.memory_bytes);
    let max_sockets = startup.max_sockets.min(budget.max_sockets());
    if max_sockets < startup.max_sockets {
        log::warn!("limits.memory_mb allows for {max_sockets} sockets only");
    }
    let descriptors = DescriptorLimiter::new(max_sockets);
    let listener = Rc::new(Async::<TcpListener>::bind(startup.listen)?);
    let listener_permit = descriptors.acquire().await;
    let (engine, outputs) = Engine::new(startup.seed, deployment);
    events::set_origin(&startup.name, engine.clock.now().as_micros() as u64);
    let (discovery, cached_endpoints) = DiscoveryClient::new(DiscoveryParams {
        address: startup.discovery,
        deployment,
        cached_list: &startup.cached_endpoints,
        seed: startup.seed,
        clock: engine.clock,
        executor: Rc::clone(&executor),
        descriptors: &descriptors,
    })
    .await;
    engine.endpoints_changed(EndpointUpdate::CachedSnapshot, &cached_endpoints);
    let connections =
        Rc::new(ControlConnections::open(&config.roles, &engine, &descriptors, startup.seed).await?);
    executor.spawn(memory_report::run(budget.clone())).detach();
    let resources = client_resources(&executor, &engine, &descriptors, &budget, deployment);
    let pool = Rc::clone(&resources.pool);
    let clients = ClientSessions::new(resources, deployment);
    let (discovery_address, address_changes) = async_channel::unbounded();
    executor.spawn(discovery.run(Rc::clone(&engine), outputs.endpoint_requests, address_changes)).detach();
    executor.spawn(Rc::clone(&pool).close_expired()).detach();
    executor.spawn(pool.run_background_tasks(Rc::clone(&engine), outputs.background_tasks)).detach();
    connections.run(&engine, &executor);
    let timer_engine = Rc::clone(&engine);
    executor.spawn(async move { timer_engine.run_timer().await }).detach();
    let accept_task = executor.spawn(Rc::clone(&clients).accept(Rc::clone(&listener)));
    let address = listener.get_ref().local_addr()?;
    log::info!(
        event = "serves", address:% = address, nodes = cached_endpoints.len();
        "{} serves at {address}, {} nodes known", startup.name, cached_endpoints.len()
    );
    let (request_shutdown, shutdown_requested) = async_channel::bounded(1);
    let targets = ReloadTargets { discovery_address, connections: Rc::clone(&connections) };
    executor.spawn(signals::handle(signals, config, reread, targets, request_shutdown)).detach();
    _ = shutdown_requested.recv().await;
    drain::drain(&clients, &engine, listener, accept_task).await;
    connections.leave();
    drop(listener_permit);
    memory_report::log_usage(&budget);
    log::info!(event = "drained"; "drained");
    Ok(())
}

fn client_resources(
    executor: &Rc<LocalExecutor<'static>>,
    engine: &Rc<Engine>,
    descriptors: &Rc<DescriptorLimiter>,
    budget: &SharedBudget,
    deployment: &crate::deployment::Deployment,
) -> ClientResources {
    ClientResources {
        executor: Rc::clone(executor),
        engine: Rc::clone(engine),
        pool: ConnectionPool::new(Rc::clone(executor), Rc::clone(descriptors), budget.clone(), deployment),
        descriptors: Rc::clone(descriptors),
        budget: budget.clone(),
    }
}

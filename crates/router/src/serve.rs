//! Puts the parts of a router together and runs them on one thread.

use std::net::TcpListener;
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;
use quillpoint::host::Extent;

use crate::budget::Budget;
use crate::client::Clients;
use crate::config::Launch;
use crate::deployment::Fault;
use crate::descriptors::Descriptors;
use crate::directory::Directory;
use crate::drain;
use crate::engine::Engine;
use crate::pool::Pool;
use crate::signals;

/// Serves until told to stop and drained. On SIGHUP `reread` is called for what holds from then on.
pub fn serve(launch: Launch, reread: impl Fn() -> Result<Launch, Fault> + 'static) -> std::io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(run(launch, reread, Rc::clone(&executor))))
}

async fn run(
    launch: Launch,
    reread: impl Fn() -> Result<Launch, Fault> + 'static,
    executor: Rc<LocalExecutor<'static>>,
) -> std::io::Result<()> {
    // Before anything else: a signal that comes early must not end the process.
    let signals = signals::caught()?;
    let deployment = &launch.deployment;
    let descriptors = Descriptors::new(launch.sockets);
    let listener = Rc::new(Async::<TcpListener>::bind(launch.listen)?);
    let listener_slot = descriptors.take().await;
    let (engine, work) = Engine::new(launch.seed, deployment);
    let (directory, known) =
        Directory::new(launch.discovery, deployment, &launch.known, Rc::clone(&descriptors));
    engine.list_changed(Extent::Remembered, &known);
    let (coming, held) = (Budget::new(launch.coming), Budget::new(launch.held));
    let pool = Pool::new(Rc::clone(&executor), Rc::clone(&descriptors), Rc::clone(&held), deployment);
    let (executors, engines, pools) = (Rc::clone(&executor), Rc::clone(&engine), Rc::clone(&pool));
    let clients = Clients::new(executors, engines, pools, descriptors, (coming, held), deployment);
    let (moves, moved) = async_channel::unbounded();
    executor.spawn(directory.run(Rc::clone(&engine), work.list, moved)).detach();
    executor.spawn(Rc::clone(&pool).close_old()).detach();
    executor.spawn(pool.run(Rc::clone(&engine), work.chores)).detach();
    let timed = Rc::clone(&engine);
    executor.spawn(async move { timed.keep_time().await }).detach();
    let accepting = executor.spawn(Rc::clone(&clients).accept(Rc::clone(&listener)));
    let address = listener.get_ref().local_addr()?;
    log::info!("{} serves at {address}, {} nodes known", launch.name, known.len());
    let (stop, stopped) = async_channel::bounded(1);
    executor.spawn(signals::obey(signals, launch, reread, moves, stop)).detach();
    _ = stopped.recv().await;
    drain::drain(&clients, &engine, listener, accepting).await;
    drop(listener_slot);
    log::info!("drained");
    Ok(())
}

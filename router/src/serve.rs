//! Puts the parts of a router together and runs them on one thread.

use std::net::TcpListener;
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;
use quillpoint::host::Extent;

use crate::client::Clients;
use crate::config::Launch;
use crate::descriptors::Descriptors;
use crate::directory::Directory;
use crate::drain;
use crate::engine::Engine;
use crate::pool::Pool;

/// Serves until told to stop and drained.
pub fn serve(launch: Launch) -> std::io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(run(launch, Rc::clone(&executor))))
}

async fn run(launch: Launch, executor: Rc<LocalExecutor<'static>>) -> std::io::Result<()> {
    let deployment = &launch.deployment;
    let descriptors = Descriptors::new(launch.sockets);
    let listener = Rc::new(Async::<TcpListener>::bind(launch.listen)?);
    let listener_slot = descriptors.take().await;
    let (engine, work) = Engine::new(launch.seed, deployment);
    let (directory, known) =
        Directory::new(launch.discovery, deployment, &launch.known, Rc::clone(&descriptors));
    engine.list_changed(Extent::Remembered, &known);
    let pool = Pool::new(Rc::clone(&executor), Rc::clone(&descriptors), deployment);
    let (executors, engines, pools) = (Rc::clone(&executor), Rc::clone(&engine), Rc::clone(&pool));
    let clients = Clients::new(executors, engines, pools, descriptors, deployment, launch.statements);
    executor.spawn(directory.run(Rc::clone(&engine), work.list)).detach();
    executor.spawn(Rc::clone(&pool).close_old()).detach();
    executor.spawn(pool.run(Rc::clone(&engine), work.chores)).detach();
    let timed = Rc::clone(&engine);
    executor.spawn(async move { timed.keep_time().await }).detach();
    let accepting = executor.spawn(Rc::clone(&clients).accept(Rc::clone(&listener)));
    let address = listener.get_ref().local_addr()?;
    log::info!("{} serves at {address}, {} nodes known", launch.name, known.len());
    let _signals = drain::told_to_stop().await?;
    drain::drain(&clients, listener, accepting).await;
    drop(listener_slot);
    log::info!("drained");
    Ok(())
}

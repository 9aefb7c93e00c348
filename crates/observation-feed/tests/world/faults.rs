//! Random faults, and their removal.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{World, ms};

/// Injects one random fault or other change, or undoes one.
pub fn inject_fault(world: &mut World, rng: &mut ChaCha8Rng) {
    let publisher = rng.random_range(0..world.params.publishers);
    let router = rng.random_range(0..world.params.routers);
    let database = rng.random_range(0..world.databases.len());
    match rng.random_range(0..17) {
        0 => world.kill_publisher(publisher),
        1 => world.leave_publisher(publisher),
        2 => world.kill_router(router),
        3 if !world.is_publisher_running(publisher) => {
            world.kill_publisher(publisher);
            world.start_publisher(publisher);
        }
        4 if !world.is_router_running(router) => {
            world.kill_router(router);
            world.start_router(router);
        }
        5 => world.pause_publisher(publisher),
        6 => world.resume_publisher(publisher),
        7 => world.pause_router(router),
        8 => world.resume_router(router),
        9 => _ = world.cut_links.insert((publisher, router)),
        10 => (0..world.params.routers).for_each(|router| _ = world.cut_links.insert((publisher, router))),
        11 => world.cut_links.clear(),
        12 => _ = world.hidden_databases.insert((publisher, database)),
        13 => world.hidden_databases.clear(),
        14 => world.set_running(database, rng.random_bool(0.5)),
        15 => {
            let change = &mut world.databases[database];
            change.lag = ms(rng.random_range(0..3000));
            change.primary = rng.random_bool(0.3);
        }
        16 => {
            let listed = world.databases[database].listed;
            world.set_listed(database, !listed);
        }
        _ => {}
    }
}

/// Removes all faults and restarts all processes that do not run.
pub fn heal_all(world: &mut World) {
    (world.params.loss, world.params.delayed, world.params.missed_observations) =
        (0.0, (0.0, Duration::ZERO), 0.0);
    world.cut_links.clear();
    world.hidden_databases.clear();
    for index in 0..world.params.publishers {
        world.resume_publisher(index);
        if !world.is_publisher_running(index) {
            world.start_publisher(index);
        }
    }
    for index in 0..world.params.routers {
        world.resume_router(index);
        if !world.is_router_running(index) {
            world.start_router(index);
        }
    }
}

//! What goes wrong in a random run, and how it is healed.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{World, ms};

/// One thing that goes wrong, or right again.
pub fn happen(world: &mut World, rng: &mut ChaCha8Rng) {
    let publisher = rng.random_range(0..world.shape.publishers);
    let router = rng.random_range(0..world.shape.routers);
    let database = rng.random_range(0..world.databases.len());
    match rng.random_range(0..17) {
        0 => world.kill_publisher(publisher),
        1 => world.leave_publisher(publisher),
        2 => world.kill_router(router),
        3 if !world.runs_publisher(publisher) => {
            world.kill_publisher(publisher);
            world.start_publisher(publisher);
        }
        4 if !world.runs_router(router) => {
            world.kill_router(router);
            world.start_router(router);
        }
        5 => world.stop_publisher(publisher),
        6 => world.go_on_publisher(publisher),
        7 => world.stop_router(router),
        8 => world.go_on_router(router),
        9 => _ = world.cut.insert((publisher, router)),
        10 => (0..world.shape.routers).for_each(|router| _ = world.cut.insert((publisher, router))),
        11 => world.cut.clear(),
        12 => _ = world.blind.insert((publisher, database)),
        13 => world.blind.clear(),
        14 => world.set_up(database, rng.random_bool(0.5)),
        15 => {
            let change = &mut world.databases[database];
            change.lag = ms(rng.random_range(0..3000));
            change.primary = rng.random_bool(0.3);
        }
        16 => {
            let listed = world.databases[database].listed;
            world.list(database, !listed);
        }
        _ => {}
    }
}

/// Everything runs again and nothing is cut.
pub fn heal(world: &mut World) {
    (world.shape.loss, world.shape.slow, world.shape.unseen) = (0.0, (0.0, Duration::ZERO), 0.0);
    world.cut.clear();
    world.blind.clear();
    for place in 0..world.shape.publishers {
        world.go_on_publisher(place);
        if !world.runs_publisher(place) {
            world.start_publisher(place);
        }
    }
    for place in 0..world.shape.routers {
        world.go_on_router(place);
        if !world.runs_router(place) {
            world.start_router(place);
        }
    }
}

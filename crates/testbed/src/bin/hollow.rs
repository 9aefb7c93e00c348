//! A process of hollow routers: the plan as the first line of the standard input, then orders; reports on the output.

use std::process::ExitCode;
use std::rc::Rc;

use async_executor::LocalExecutor;
use quillpoint_testbed::scale::{hollow_process, orders};

fn main() -> ExitCode {
    let executor = Rc::new(LocalExecutor::new());
    orders::main_of("hollow", |plan, orders| {
        let running = hollow_process::run(plan, orders, orders::say, Rc::clone(&executor));
        async_io::block_on(executor.run(running))
    })
}

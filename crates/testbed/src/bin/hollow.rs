//! A process of hollow routers: the plan as the first line of the standard input, then orders; reports on the output.

use std::process::ExitCode;
use std::rc::Rc;

use async_executor::LocalExecutor;
use quillpoint_testbed::scale::{commands, hollow_process};

fn main() -> ExitCode {
    let executor = Rc::new(LocalExecutor::new());
    commands::run_stand_in("hollow", |plan, commands| {
        let run = hollow_process::run(plan, commands, commands::write_report, Rc::clone(&executor));
        async_io::block_on(executor.run(run))
    })
}

//! A process of stand-in databases: the plan as the first line of the standard input, then orders; reports on the
//! output.

use std::process::ExitCode;
use std::rc::Rc;

use async_executor::LocalExecutor;
use quillpoint_testbed::scale::{commands, databases};

fn main() -> ExitCode {
    let executor = Rc::new(LocalExecutor::new());
    commands::run_stand_in("databases", |plan, commands| {
        let serve = databases::serve(plan, commands, commands::write_report, Rc::clone(&executor));
        async_io::block_on(executor.run(serve))
    })
}

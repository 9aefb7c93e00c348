//! `scale-hollow`: a process of hollow routers. Reads its plan as the first line of standard input and
//! commands from the following lines; writes reports to standard output.

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

//! `scale-databases`: a process of stand-in databases. Reads its plan as the first line of standard input and
//! commands from the following lines; writes reports to standard output.

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

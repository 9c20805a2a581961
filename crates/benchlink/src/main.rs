//! Hosts planner instances on standard input and output.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    let input = std::io::stdin().lock();
    match pewtergap_benchlink::Link::default().run(input, std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("pewtergap-benchlink: {what}");
            ExitCode::FAILURE
        }
    }
}

//! Hosts planner instances for the simulator, on standard input and output.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    let input = std::io::stdin().lock();
    match pewtergap_benchlink::Host::default().run(input, std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pewtergap-benchlink: {error}");
            ExitCode::FAILURE
        }
    }
}

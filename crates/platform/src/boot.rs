//! Process startup: reads the platform's configuration, retrying while it cannot be read, and starts the planner.
//!
//! The node itself reads the file, so that signals during startup are already handled by the process, and so that a
//! file that is being replaced does not make the start fail.

use crate::config::Config;
use crate::node::Platform;
use pewtergap_node::{Effect, Input, Level, Node, Outbox};
use pewtergap_time::{Moment, Span};
use std::any::Any;

/// Retry interval for an unreadable file, and how long after the start reading is retried.
const READ_RETRY: (Span, Span) = (Span::millis(100), Span::millis(3_000));
/// Differs from all of the planner's timers, which ignores one that is still pending.
const RETRY_TIMER: u64 = 0;

type VariableLookup = Box<dyn Fn(&str) -> Option<String> + Send>;

enum Stage {
    /// Reading the file, which may be unreadable until this time.
    Reading(Moment),
    Running(Box<Platform>),
}

pub struct Boot {
    file: String,
    /// Looks up an environment variable set by the platform.
    variables: VariableLookup,
    stage: Stage,
}

impl Boot {
    pub fn new(file: String, variables: impl Fn(&str) -> Option<String> + Send + 'static) -> Boot {
        Boot { file, variables: Box::new(variables), stage: Stage::Reading(Moment(0)) }
    }

    fn read(&mut self, now: Moment, deadline: Moment, bytes: Result<&[u8], String>, out: &mut Outbox) {
        match Config::parse_file(bytes, &self.variables) {
            Ok(config) => {
                let mut planner = Box::new(Platform::new(now, config, self.file.clone()));
                planner.handle(now, Input::Start, out);
                self.stage = Stage::Running(planner);
            }
            Err(why) => {
                let why = format!("{}: {why}", self.file);
                out.log(Level::Error, "configuration_refused", vec![("why", why)]);
                if now < deadline {
                    out.set_timer(RETRY_TIMER, now + READ_RETRY.0);
                } else {
                    out.push(Effect::Exit { code: 2 });
                }
            }
        }
    }
}

impl Node for Boot {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        let deadline = match &mut self.stage {
            Stage::Running(planner) => return planner.handle(now, input, out),
            Stage::Reading(deadline) => deadline,
        };
        match input {
            Input::Start => {
                *deadline = now + READ_RETRY.1;
                out.push(Effect::ReadFile { name: self.file.clone() });
            }
            Input::TimerFired { timer: RETRY_TIMER } => {
                out.push(Effect::ReadFile { name: self.file.clone() })
            }
            Input::File { bytes, .. } => {
                let deadline = *deadline;
                self.read(now, deadline, bytes, out);
            }
            Input::Stop => {
                out.log(Level::Info, "stopped", vec![]);
                out.push(Effect::Exit { code: 0 });
            }
            // A reload would only request the read that is already in progress.
            _ => {}
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}

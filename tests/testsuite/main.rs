//! Whole-system tests: all processes on loopback, one module per topic.

mod answers;
mod billing;
mod config;
mod faults;
mod golden;
mod hammer;
mod leaving;
mod once;
mod outage;
mod path;
mod refusals;
mod rejoin;
mod repeat;
mod replace;
mod settings;
mod spend;
mod stalls;
mod standing;
mod stopping;
mod support;

//! The test suite: whole processes on loopback, one module per topic.

mod path;
mod settings;
mod support;

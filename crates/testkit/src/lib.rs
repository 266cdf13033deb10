//! Support for the test suite: process control and the history checker.

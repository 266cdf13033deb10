//! Tests of the decisions on a router's link, one file per topic.

mod headroom;
mod intake;
mod readiness;
mod spread;

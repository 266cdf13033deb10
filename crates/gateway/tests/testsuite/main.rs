//! Tests of the router core, one file per topic. Requests over sockets are tested in the
//! adapter's suite.

mod accounts;
mod book;
mod cap;
mod clock;
mod copies;
mod emptied;
mod eras;
mod fallback;
mod fingerprint;
mod freshness;
mod holders;
mod large;
mod leases;
mod limits;
mod losses;
mod net;
mod origins;
mod paths;
mod pending;
mod pools;
mod proof;
mod quarantine;
mod recorders;
mod relay;
mod restored;
mod rights;
mod rollout;
mod speeds;
mod spread;
mod sse;
mod starts;
mod table;
mod traffic;
mod tree;
mod watch;

//! The router daemon: admission, routing, streaming and charging of requests.

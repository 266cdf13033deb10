//! The operator daemon: the resource interface over HTTP.

//! The operators' command line: apply, get, watch, delete, status, dump.

//! Small stand-ins for the platform: log, VM list, model engine, plain service, relay.

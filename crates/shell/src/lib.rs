//! Command-line entry, signal handling and admin endpoint of the daemons.

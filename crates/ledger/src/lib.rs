//! The ledger daemon: group commit to the log, fold, witness.

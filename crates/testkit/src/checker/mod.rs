//! The history checker: compares the results that callers received with the runs on the
//! backend servers and the charges on the log.

mod accounts;
mod history;
mod rules;

pub use accounts::{Accounts, Balance, EffectiveCharge};
pub use history::{Call, CallOutcome, History, LogStream};
pub use rules::{Violation, check, check_accounts};

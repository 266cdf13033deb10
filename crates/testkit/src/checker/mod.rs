//! The history checker: compares what callers were told with what the backend
//! servers ran and with what the log charged.

mod accounts;
mod history;
mod rules;

pub use accounts::{Accounts, Balance, Charged};
pub use history::{Call, End, History, LogStream};
pub use rules::{Violation, check, check_accounts};

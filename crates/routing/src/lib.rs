//! Choice of a backend server, load tracking, retry budget.

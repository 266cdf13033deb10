//! Documents, tables and settings of the command line.

mod document;
mod settings;
mod table;

//! Tests of the command-line tool, run as a child process against the stand-in platform.

mod commands;
mod examples;
mod explain;
mod support;

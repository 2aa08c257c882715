//! Platform connection and operator name of a command.

use std::net::SocketAddr;

use clap::ArgMatches;
use mimosabay_core::name::Name;
use mimosabay_platform::Platform;

use crate::error::{Category, Error};

const PLATFORM_VARIABLE: &str = "MIMOSABAY_PLATFORM";
const OPERATOR_VARIABLES: [&str; 2] = ["MIMOSABAY_OPERATOR", "USER"];

/// Platform connection and operator name, which every command on resources needs.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) platform: Platform,
    /// Name recorded as the author of changes.
    pub(crate) operator: Name,
}

impl Context {
    pub(crate) fn from_matches(matches: &ArgMatches) -> Result<Self, Error> {
        let address = option(matches, "platform", &[PLATFORM_VARIABLE]).ok_or_else(|| {
            let message = "give --platform ADDRESS or set MIMOSABAY_PLATFORM";
            Error::new(Category::Usage, message)
        })?;
        if address.parse::<SocketAddr>().is_err() {
            let message = format!("`{address}` is not an IP address and port");
            return Err(Error::new(Category::Usage, message));
        }
        let operator = option(matches, "as", &OPERATOR_VARIABLES);
        Ok(Self {
            platform: Platform::new(&address),
            operator: operator.as_deref().unwrap_or("unknown").into(),
        })
    }
}

fn option(matches: &ArgMatches, name: &str, variables: &[&str]) -> Option<String> {
    let given = matches.get_one::<String>(name).cloned();
    let variable = || variables.iter().find_map(|name| std::env::var(name).ok());
    given.or_else(variable).filter(|value| !value.is_empty())
}

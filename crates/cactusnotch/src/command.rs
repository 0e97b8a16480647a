//! The subcommands.

pub(crate) mod account;
pub(crate) mod addresses;
pub(crate) mod entry;
pub(crate) mod overload;
pub(crate) mod platform;
pub(crate) mod settings;
pub(crate) mod status;

use std::time::Duration;

use serde::de::DeserializeOwned;

use crate::error::Error;

/// The timeout of a request to an entry.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Fetches JSON from an entry.
pub(crate) fn fetch<T: DeserializeOwned>(url: &str) -> Result<T, Error> {
    let agent = ureq::Agent::config_builder()
        .timeout_global(Some(ANSWER_TIMEOUT))
        .proxy(None)
        .build()
        .new_agent();
    let fail = |error: ureq::Error| Error::new(format!("request to {url}"), error);
    let mut response = agent.get(url).call().map_err(fail)?;
    response.body_mut().read_json().map_err(fail)
}

/// Prints a value as indented JSON.
pub(crate) fn print_json(value: &impl serde::Serialize) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(value).map_err(Error::at("rendering as JSON"))?;
    println!("{text}");
    Ok(())
}

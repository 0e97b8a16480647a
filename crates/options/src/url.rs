//! Base addresses of HTTP services.

use derive_more::Display;
use http::Uri;

use crate::Value;

/// The base address of an HTTP service.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct Url(String);

impl Url {
    /// Returns the address as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Value for Url {
    const ALLOWED: &'static str = "an address of the form http://HOST:PORT";

    fn read(text: &str) -> Option<Self> {
        let uri: Uri = text.parse().ok()?;
        let plain = uri.scheme_str() == Some("http");
        let host = uri.host().is_some_and(|host| !host.is_empty());
        let bare = uri.path() == "/" && uri.query().is_none();
        (plain && host && bare).then(|| Self(text.trim_end_matches('/').to_owned()))
    }
}

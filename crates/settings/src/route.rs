//! Routes to plain services.

use cactusnotch_derive::identifier;
use derive_more::Display;

/// Path prefixes that the system serves itself.
const RESERVED: [&str; 2] = ["/v1", "/cactusnotch"];

/// A route of a plain service: requests whose path starts with a prefix go to
/// one of its endpoints.
#[identifier]
#[derive(Display)]
#[display(
    "{prefix} -> {}{}",
    endpoints.join(", "),
    if *repeatable { " (repeatable)" } else { "" }
)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The path prefix, made of whole segments, such as `/stock`.
    pub prefix: String,
    /// The names of the endpoints that serve it.
    pub endpoints: Vec<String>,
    /// Whether a call may be retried when its outcome is unknown.
    #[serde(default)]
    pub repeatable: bool,
}

impl Route {
    /// Returns whether `path` lies under the prefix.
    #[must_use]
    pub fn covers(&self, path: &str) -> bool {
        path.strip_prefix(self.prefix.as_str())
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }

    /// Returns why the route is invalid by itself, or `None` if it is valid.
    pub(crate) fn fault(&self) -> Option<&'static str> {
        let prefix = self.prefix.as_str();
        if !prefix.starts_with('/') || prefix.ends_with('/') {
            return Some("a prefix starts with / and does not end with /");
        }
        if prefix[1..].split('/').any(|s| matches!(s, "" | "." | "..")) {
            return Some("a prefix has no empty, . or .. segment");
        }
        if !prefix.bytes().all(|byte| byte.is_ascii_graphic()) || prefix.contains(['?', '#', '%']) {
            return Some("a prefix is a plain path without ?, # and %");
        }
        if RESERVED.iter().any(|own| reserved_overlaps(own, self)) {
            return Some("the prefix is answered by the system itself");
        }
        if self.endpoints.is_empty() {
            return Some("a route names at least one endpoint");
        }
        None
    }
}

fn reserved_overlaps(own: &str, route: &Route) -> bool {
    let system = Route {
        prefix: own.to_owned(),
        endpoints: Vec::new(),
        repeatable: false,
    };
    system.covers(&route.prefix)
}

//! Names of the objects that operators declare and observe.

use cactusnotch_derive::identifier;
use derive_more::Display;

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[identifier]
        #[derive(Display)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Creates the name from its text.
            pub fn new(text: impl Into<String>) -> Self {
                Self(text.into())
            }

            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    )*};
}

names! {
    /// A host that runs an entry or an endpoint.
    Host;
    /// A data centre.
    DataCentre;
    /// A region, which contains data centres.
    Region;
    /// An organisation whose callers send requests.
    Organisation;
    /// A model server or a plain service, with the agent on its host.
    Endpoint;
    /// A group of ranks that serve one model in lock-step.
    Group;
    /// A model that callers name in a request.
    Model;
    /// A process of the system, unique for as long as it runs on its host.
    Process;
}

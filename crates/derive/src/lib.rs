//! Attribute macros for the common sets of derives in cactusnotch.
//!
//! Each attribute expands to one set of derives, so all records, messages and
//! identifiers of the workspace implement the same traits.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

use proc_macro::TokenStream;

const RECORD: &str = "#[derive(Debug, Clone, PartialEq, Eq)]";
const MESSAGE: &str =
    "#[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]";
const IDENTIFIER: &str = "#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, \
     ::serde::Serialize, ::serde::Deserialize)]";
const NUMBER: &str = "#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, \
     ::serde::Serialize, ::serde::Deserialize)]";

/// Derives the traits of a record held in memory: `Debug`, `Clone`,
/// `PartialEq` and `Eq`.
#[proc_macro_attribute]
pub fn record(_options: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(RECORD, item)
}

/// Derives the traits of a message or a stored value: `Debug`, `Clone`,
/// `PartialEq`, `Serialize` and `Deserialize`.
#[proc_macro_attribute]
pub fn message(_options: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(MESSAGE, item)
}

/// Derives the traits of an owned identifier, which can be ordered, hashed
/// and serialized.
#[proc_macro_attribute]
pub fn identifier(_options: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(IDENTIFIER, item)
}

/// Derives the traits of a numeric identifier: those of [`macro@identifier`]
/// with `Copy` and `Default`.
#[proc_macro_attribute]
pub fn number(_options: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(NUMBER, item)
}

fn with_derives(derives: &str, item: TokenStream) -> TokenStream {
    let mut output: TokenStream = derives
        .parse()
        .expect("the constant derive lists are valid Rust");
    output.extend(item);
    output
}

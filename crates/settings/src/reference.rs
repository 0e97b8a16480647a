//! The reference of all keys as a page of Markdown.

use std::fmt::Write as _;

use crate::{KEYS, Kind, Spec, Value};

const HEAD: &str = "\
# Settings reference

Made from the table of keys in `crates/settings/src/table.rs`; a test compares
this page with it. To make it again:
`cargo run -p cactusnotch-settings --example reference > docs/operators/settings-reference.md`

A node inherits each value from the nodes above it unless it overrides it;
where no node does, the default holds. A duration is written as text with
units, such as `30s`, `1m 30s` or `250ms`.
";

/// Returns the page.
#[must_use]
pub fn markdown() -> String {
    let mut page = HEAD.to_owned();
    write_summary(&mut page);
    for spec in KEYS {
        write_key(&mut page, spec);
    }
    page
}

fn write_summary(page: &mut String) {
    let kinds = Kind::ALL.map(|kind| kind.to_string()).join(" | ");
    put(page, format_args!("\n| key | {kinds} |\n"));
    put(page, format_args!("|---|---|---|---|---|\n"));
    for spec in KEYS {
        let marks = Kind::ALL.map(|kind| if spec.is_for(kind) { "x" } else { "" });
        put(
            page,
            format_args!("| [`{0}`](#{0}) | {1} |\n", spec.name, marks.join(" | ")),
        );
    }
}

fn write_key(page: &mut String, spec: &Spec) {
    let kinds: Vec<_> = spec.kinds.iter().map(ToString::to_string).collect();
    put(page, format_args!("\n## {}\n\n{}\n\n", spec.name, spec.doc));
    put(page, format_args!("- type: {}\n", spec.shape));
    if !spec.unit.is_empty() {
        put(page, format_args!("- unit: {}\n", spec.unit));
    }
    put(page, format_args!("- range: {}\n", spec.shape.range()));
    let default = Value::from(spec.default).plain();
    put(page, format_args!("- default: `{default}`\n"));
    put(page, format_args!("- on: {}\n", kinds.join(", ")));
}

fn put(page: &mut String, text: std::fmt::Arguments<'_>) {
    page.write_fmt(text).expect("writing to a string succeeds");
}

//! Parsing of declarations in TOML.

use std::ops::Range;

use cactusnotch_base::Table;
use cactusnotch_settings::{Id, Key, Kind, Node};
use serde::Deserialize as _;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

use crate::{Declared, Fault, Faults, Place, Source};

const NODES: &str = "nodes";
const NODE_FIELDS: &str = "kind, parent, name and values";

/// Parses the nodes of all files.
///
/// # Errors
///
/// All errors of syntax and structure, in the order of files and lines.
pub(crate) fn parse(sources: &[Source]) -> Result<Table<Id, Declared>, Faults> {
    let mut nodes = Table::new();
    let mut faults = Vec::new();
    for source in sources {
        let mut parser = Parser {
            source,
            nodes: &mut nodes,
            faults: Vec::new(),
        };
        parser.read();
        let mut found = parser.faults;
        found.sort_by_key(|fault| fault.place.line);
        faults.extend(found);
    }
    if faults.is_empty() {
        return Ok(nodes);
    }
    Err(Faults { faults })
}

/// The parser of one file.
struct Parser<'a> {
    source: &'a Source,
    nodes: &'a mut Table<Id, Declared>,
    faults: Vec<Fault>,
}

impl Parser<'_> {
    fn read(&mut self) {
        let table = match DeTable::parse(&self.source.text) {
            Ok(table) => table.into_inner(),
            Err(error) => {
                let span = error.span().unwrap_or_default();
                return self.fault(span, "syntax", error.message().trim().to_owned());
            }
        };
        for (key, value) in table {
            let span = key.span();
            match (key.get_ref().as_ref(), value.into_inner()) {
                (NODES, DeValue::Table(nodes)) => self.read_nodes(nodes),
                (name, _) => {
                    let message = format!("{name:?} is not the table {NODES:?}");
                    self.fault(span, "unknown-field", message);
                }
            }
        }
    }

    fn read_nodes(&mut self, nodes: DeTable<'_>) {
        for (id, node) in nodes {
            let span = id.span();
            let id = Id::new(id.into_inner());
            match node.into_inner() {
                DeValue::Table(fields) => self.read_node(id, span, fields),
                _ => self.fault(span, "type", format!("node {id} is not a table")),
            }
        }
    }

    fn read_node(&mut self, id: Id, span: Range<usize>, fields: DeTable<'_>) {
        let mut kind = None;
        let mut declared = Declared {
            node: Node::new(Some(Id::root()), Kind::Policy, id.as_str()),
            place: self.place(&span),
            values: Table::new(),
        };
        for (field, value) in fields {
            let at = field.span();
            match (field.get_ref().as_ref(), value.get_ref()) {
                ("kind", DeValue::String(name)) => kind = self.kind(&at, name),
                ("parent", DeValue::String(parent)) => {
                    declared.node.parent = Some(Id::new(parent.as_ref()));
                }
                ("name", DeValue::String(name)) => declared.node.name = name.to_string(),
                ("values", DeValue::Table(_)) => {
                    if let DeValue::Table(values) = value.into_inner() {
                        self.read_values(&mut declared, values);
                    }
                }
                ("kind" | "parent" | "name", _) => {
                    self.fault(at, "type", "expected text".to_owned());
                }
                (name, _) => {
                    let message = format!("{name:?} is none of {NODE_FIELDS}");
                    self.fault(at, "unknown-field", message);
                }
            }
        }
        self.place_node(id, span, kind, declared);
    }

    /// Completes the node and inserts it into the table.
    fn place_node(&mut self, id: Id, span: Range<usize>, kind: Option<Kind>, mut new: Declared) {
        if id == Id::root() {
            new.node.kind = Kind::Root;
            new.node.parent = None;
        } else if let Some(kind) = kind {
            new.node.kind = kind;
        } else {
            return self.fault(span, "node-kind", format!("node {id} has no known kind"));
        }
        if let Some(other) = self.nodes.get(&id) {
            let message = format!("node {id} is declared at {} already", other.place);
            return self.fault(span, "duplicate-node", message);
        }
        self.nodes.insert(id, new);
    }

    fn kind(&mut self, span: &Range<usize>, name: &str) -> Option<Kind> {
        let kind = Kind::named(name);
        if kind.is_none() {
            let known = Kind::ALL.map(|kind| kind.to_string()).join(", ");
            let message = format!("there is no kind {name:?}; known are {known}");
            self.fault(span.clone(), "node-kind", message);
        }
        kind
    }

    fn read_values(&mut self, declared: &mut Declared, values: DeTable<'_>) {
        for (name, value) in values {
            let span = name.span();
            let Some(key) = Key::named(name.get_ref()) else {
                let message = format!("there is no key {:?}", name.get_ref());
                self.fault(span, "unknown-key", message);
                continue;
            };
            let result = plain(value).and_then(|plain| {
                key.shape().read(&plain).map_err(|mismatch| {
                    let message = format!("{key}: {mismatch}");
                    (mismatch.rule(), message)
                })
            });
            match result {
                Ok(value) => {
                    declared.node.overrides.insert(key, value);
                    declared.values.insert(key, self.place(&span));
                }
                Err((rule, message)) => self.fault(span, rule, message),
            }
        }
    }

    fn place(&self, span: &Range<usize>) -> Place {
        let before = self.source.text.get(..span.start).unwrap_or_default();
        Place {
            file: self.source.file.clone(),
            line: before.matches('\n').count() + 1,
        }
    }

    fn fault(&mut self, span: Range<usize>, rule: &'static str, message: String) {
        let place = self.place(&span);
        self.faults.push(Fault {
            place,
            rule,
            message,
        });
    }
}

fn plain(value: Spanned<DeValue<'_>>) -> Result<serde_json::Value, (&'static str, String)> {
    let deserializer = ValueDeserializer::from(value);
    serde_json::Value::deserialize(deserializer)
        .map_err(|error| ("type", error.message().trim().to_owned()))
}

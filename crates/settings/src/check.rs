//! Validation rules of a tree.

use cactusnotch_base::Table;

use crate::id::LENGTH_LIMIT;
use crate::index::Index;
use crate::shape::is_text;
use crate::{Error, Id, Key, Kind, Node, Value};

/// The pairs of a floor and the cap that bounds the floors' sum.
const FLOORS: [(Key, Key); 2] = [
    (Key::RequestRateFloor, Key::RequestRateLimit),
    (Key::ConcurrencyFloor, Key::ConcurrencyLimit),
];

/// Returns the rules that `nodes` violate, in a fixed order. A valid tree
/// violates none.
///
/// The rules on names, endpoints and floors assume a well-formed hierarchy and
/// are checked only if the rules on single nodes and parents hold.
#[must_use]
pub fn faults(nodes: &Table<Id, Node>) -> Vec<Error> {
    let mut faults = Vec::new();
    let index = Index::new(nodes);
    if nodes.get(&Id::root()).map(|root| root.kind) != Some(Kind::Root) {
        faults.push(Error::Rootless);
    }
    for (at, &(id, node)) in index.rows().iter().enumerate() {
        check_node(id, node, &mut faults);
        check_place(&index, at, &mut faults);
    }
    if faults.is_empty() {
        check_names(nodes, &mut faults);
        check_endpoints(nodes, &mut faults);
        for (floor, limit) in FLOORS {
            check_floors(&index, floor, limit, &mut faults);
        }
    }
    faults
}

fn check_node(id: &Id, node: &Node, faults: &mut Vec<Error>) {
    if !id.is_well_formed() {
        faults.push(Error::Malformed { node: id.clone() });
    }
    if node.name.is_empty() || node.name.len() > LENGTH_LIMIT || !is_text(&node.name) {
        faults.push(Error::Name { node: id.clone() });
    }
    for (&key, value) in node.overrides.iter() {
        if !key.spec().is_for(node.kind) {
            faults.push(Error::Misplaced {
                node: id.clone(),
                key,
                kind: node.kind,
            });
        }
        if let Err(source) = key.shape().check(value) {
            faults.push(Error::Value {
                node: id.clone(),
                key,
                source,
            });
        }
    }
}

fn check_place(index: &Index<'_>, at: usize, faults: &mut Vec<Error>) {
    let (id, node) = index.rows()[at];
    let Some(parent) = &node.parent else {
        if *id != Id::root() {
            faults.push(Error::Rootless);
        }
        return;
    };
    let Some(above) = index.parent(at) else {
        faults.push(Error::Orphan {
            node: id.clone(),
            parent: parent.clone(),
        });
        return;
    };
    let (_, above) = index.rows()[above];
    if !above.kind.may_contain(node.kind) {
        faults.push(Error::Placement {
            node: id.clone(),
            kind: node.kind,
            parent: parent.clone(),
            parent_kind: above.kind,
        });
    }
    if index.is_own_ancestor(at) {
        faults.push(Error::Cycle { node: id.clone() });
    }
}

fn check_names(nodes: &Table<Id, Node>, faults: &mut Vec<Error>) {
    report_duplicates(nodes, |_| true, |node| (&node.parent, &node.name), faults);
    // Requests refer to organisations, and operators to groups, by name without a path.
    for kind in [Kind::Organisation, Kind::ModelGroup] {
        report_duplicates(nodes, |node| node.kind == kind, |node| &node.name, faults);
    }
}

fn report_duplicates<'a, K: Ord>(
    nodes: &'a Table<Id, Node>,
    is_checked: impl Fn(&Node) -> bool,
    key: impl Fn(&'a Node) -> K,
    faults: &mut Vec<Error>,
) {
    let mut rows: Vec<(K, &Id)> = nodes
        .iter()
        .filter(|(_, node)| is_checked(node))
        .map(|(id, node)| (key(node), id))
        .collect();
    rows.sort();
    for pair in rows.windows(2) {
        if pair[0].0 == pair[1].0 {
            let node = pair[1].1.clone();
            faults.push(Error::Duplicate {
                name: nodes
                    .get(&node)
                    .map_or_else(String::new, |n| n.name.clone()),
                node,
                other: pair[0].1.clone(),
            });
        }
    }
}

fn check_endpoints(nodes: &Table<Id, Node>, faults: &mut Vec<Error>) {
    let mut owners: Table<&str, &Id> = Table::new();
    for (id, node) in nodes.iter() {
        let listed = names(node, Key::Endpoints);
        let selector = node.overrides.get(&Key::EndpointSelector);
        let selects = selector
            .and_then(Value::as_text)
            .is_some_and(|text| !text.is_empty());
        if selects && !listed.is_empty() {
            faults.push(Error::Selector { node: id.clone() });
        }
        for endpoint in listed {
            if let Some(other) = owners.insert(endpoint, id) {
                faults.push(Error::Endpoint {
                    node: id.clone(),
                    endpoint: endpoint.clone(),
                    other: other.clone(),
                });
            }
        }
    }
}

fn names(node: &Node, key: Key) -> &[String] {
    node.overrides
        .get(&key)
        .and_then(Value::as_names)
        .unwrap_or_default()
}

/// Checks that the floors at and below each node do not exceed its cap.
///
/// An organisation needs its own floor or the sum of the floors below it,
/// whichever is larger; a policy and the root need the sum of those below.
fn check_floors(index: &Index<'_>, floor: Key, limit: Key, faults: &mut Vec<Error>) {
    let mut below = vec![0; index.rows().len()];
    for at in index.deepest_first() {
        let (id, node) = index.rows()[at];
        let needed = match node.kind {
            Kind::ModelGroup => continue,
            Kind::Organisation => below[at].max(index.integer(at, floor)),
            Kind::Root | Kind::Policy => below[at],
        };
        let cap = index.integer(at, limit);
        if needed > cap {
            faults.push(Error::Floors {
                node: id.clone(),
                key: floor,
                floors: needed,
                limit_key: limit,
                limit: cap,
            });
        }
        if let Some(parent) = index.parent(at) {
            below[parent] += needed;
        }
    }
}

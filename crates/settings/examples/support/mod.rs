//! A tree of the size that is expected in two years.

use cactusnotch_base::number::Revision;
use cactusnotch_settings::{Edit, Id, Key, Kind, Operation, Value};

const POLICIES: usize = 8;
const ORGANISATIONS: usize = 910;
const GROUPS: usize = 6;
const RANKS: u64 = 256;

/// Returns the edit that builds the tree: 8 policies, 910 organisations with
/// three overrides each, and 6 model groups that list 256 endpoints each.
pub fn fleet() -> Edit {
    let mut operations = vec![set("root", Key::ConcurrencyLimit, Value::Integer(20_000))];
    for policy in 0..POLICIES {
        create(&mut operations, &policy_name(policy), "root", Kind::Policy);
    }
    for organisation in 0..ORGANISATIONS {
        let name = format!("organisation-{organisation:04}");
        let parent = policy_name(organisation % POLICIES);
        create(&mut operations, &name, &parent, Kind::Organisation);
        operations.push(set(&name, Key::ConcurrencyLimit, Value::Integer(100)));
        operations.push(set(&name, Key::ConcurrencyFloor, Value::Integer(10)));
        operations.push(set(&name, Key::Priority, Value::Integer(7)));
    }
    for group in 0..GROUPS {
        let name = format!("group-{group}");
        create(&mut operations, &name, "root", Kind::ModelGroup);
        let endpoints = (0..RANKS).map(|rank| format!("engine-{group}-{rank:03}"));
        let model = Value::Text(format!("model-{group}"));
        operations.push(set(&name, Key::Model, model));
        operations.push(set(&name, Key::Ranks, Value::Integer(RANKS)));
        operations.push(set(
            &name,
            Key::Endpoints,
            Value::Names(endpoints.collect()),
        ));
    }
    Edit::new(
        "example",
        "a tree of the expected size",
        Revision(0),
        operations,
    )
}

/// Returns an edit of one value.
pub fn change(base: Revision, organisation: usize) -> Edit {
    let name = format!("organisation-{:04}", organisation % ORGANISATIONS);
    let value = Value::Integer(organisation as u64 % 10);
    let operations = vec![set(&name, Key::Priority, value)];
    Edit::new("example", "a change of priority", base, operations)
}

fn policy_name(policy: usize) -> String {
    format!("policy-{policy}")
}

fn create(operations: &mut Vec<Operation>, node: &str, parent: &str, kind: Kind) {
    operations.push(Operation::Create {
        node: Id::new(node),
        parent: Id::new(parent),
        kind,
        name: node.to_owned(),
    });
}

fn set(node: &str, key: Key, value: Value) -> Operation {
    Operation::Set {
        node: Id::new(node),
        key,
        value,
    }
}

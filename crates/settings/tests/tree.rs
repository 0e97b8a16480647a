//! Inheritance, atomic edits and the validation rules of a tree.

use cactusnotch_base::Table;
use cactusnotch_base::number::Revision;
use cactusnotch_settings::{
    Edit, Error, Id, KEYS, Key, Kind, Node, Operation, Resolved, Tree, Value, apply, reference,
};
use serde_json::json;

fn create(node: &str, parent: &str, kind: Kind) -> Operation {
    Operation::Create {
        node: node.into(),
        parent: parent.into(),
        kind,
        name: node.to_owned(),
    }
}

fn set(node: &str, key: Key, plain: &serde_json::Value) -> Operation {
    Operation::Set {
        node: node.into(),
        key,
        value: key.shape().read(plain).expect("the value fits the key"),
    }
}

fn relocate(node: &str, parent: &str) -> Operation {
    Operation::Move {
        node: node.into(),
        parent: parent.into(),
    }
}

fn edit(operations: Vec<Operation>) -> Edit {
    Edit::new("maite", "test", Revision(0), operations)
}

fn rule(tree: &Tree, operations: Vec<Operation>) -> &'static str {
    apply(tree, &edit(operations))
        .expect_err("a rule is broken")
        .rule()
}

fn shop() -> Tree {
    let operations = vec![
        create("wholesale", "root", Kind::Policy),
        create("buyers", "wholesale", Kind::Organisation),
        create("counter", "root", Kind::Organisation),
        create("loom", "root", Kind::ModelGroup),
        set("root", Key::Priority, &json!(3)),
        set("wholesale", Key::Priority, &json!(6)),
        set("wholesale", Key::Deadline, &json!("90s")),
        set("wholesale", Key::ConcurrencyLimit, &json!(10)),
        set("buyers", Key::ConcurrencyFloor, &json!(4)),
        set("loom", Key::Model, &json!("notes")),
        set("loom", Key::AllowedOrganisations, &json!(["buyers"])),
    ];
    apply(&Tree::new(), &edit(operations)).expect("the tree is valid")
}

#[test]
fn values_come_from_the_nearest_node_that_overrides_them() {
    let tree = shop();
    let effective = |node: &str, key| {
        tree.effective(&node.into(), key)
            .expect("it means something")
    };
    let deadline = effective("buyers", Key::Deadline);
    assert_eq!(deadline.value, Value::Duration(90_000));
    assert_eq!(deadline.from, Some(Id::from("wholesale")));
    assert_eq!(effective("counter", Key::Deadline).from, None);
    assert_eq!(effective("buyers", Key::Priority).value, Value::Integer(6));
    assert_eq!(effective("counter", Key::Priority).value, Value::Integer(3));
    assert_eq!(
        effective("buyers", Key::ConcurrencyFloor).from,
        Some(Id::from("buyers"))
    );
    assert!(tree.effective(&"buyers".into(), Key::Ranks).is_err());

    let listing = tree.listing(&"buyers".into()).expect("the node exists");
    assert_eq!(listing.path, "/wholesale/buyers");
    assert!(listing.to_string().contains("deadline              1m 30s"));
    let json = serde_json::to_value(&listing).expect("a listing serializes");
    assert_eq!(json["values"][2]["value"], json!(10));
}

#[test]
fn an_edit_takes_effect_as_a_whole_or_not_at_all() {
    let tree = shop();
    let good = set("buyers", Key::Priority, &json!(9));
    let bad = set("nobody", Key::Priority, &json!(9));
    let error = apply(&tree, &edit(vec![good.clone(), bad])).expect_err("a node is missing");
    assert!(matches!(error, Error::Step { at: 1, .. }), "{error}");
    assert_eq!(tree, shop());
    assert!(apply(&tree, &edit(vec![good])).is_ok());
}

#[test]
fn each_rule_is_enforced() {
    let tree = shop();
    let policies = vec![
        create("a", "root", Kind::Policy),
        create("b", "a", Kind::Policy),
    ];
    let with = |last: Operation| [policies.clone(), vec![last]].concat();
    let raw = |key, value| Operation::Set {
        node: "buyers".into(),
        key,
        value,
    };
    let delete = |node: &str| Operation::Delete { node: node.into() };
    let route = json!([{"prefix": "/v1/chat", "endpoints": ["shop"]}]);
    let cases = [
        ("no-operations", vec![]),
        ("cycle", with(relocate("a", "b"))),
        ("missing-node", vec![relocate("buyers", "nowhere")]),
        ("children", vec![delete("wholesale")]),
        ("root", vec![delete("root")]),
        (
            "existing-node",
            vec![create("buyers", "root", Kind::Policy)],
        ),
        ("placement", vec![create("x", "loom", Kind::Organisation)]),
        ("node-id", vec![create("X y", "root", Kind::Policy)]),
        (
            "duplicate-name",
            vec![Operation::Rename {
                node: "counter".into(),
                name: "buyers".into(),
            }],
        ),
        ("misplaced-key", vec![raw(Key::Ranks, Value::Integer(4))]),
        ("type", vec![raw(Key::Priority, Value::Boolean(true))]),
        ("range", vec![raw(Key::Priority, Value::Integer(10))]),
        (
            "inherited",
            vec![Operation::Unset {
                node: "buyers".into(),
                key: Key::Priority,
            }],
        ),
        (
            "floors",
            vec![set("buyers", Key::ConcurrencyFloor, &json!(11))],
        ),
        (
            "floors",
            vec![
                create("dyers", "wholesale", Kind::Organisation),
                set("dyers", Key::ConcurrencyFloor, &json!(7)),
            ],
        ),
        (
            "endpoint-of-two-groups",
            vec![
                create("two", "root", Kind::ModelGroup),
                set("two", Key::Endpoints, &json!(["e1"])),
                set("loom", Key::Endpoints, &json!(["e1"])),
            ],
        ),
        (
            "endpoints-or-selector",
            vec![
                set("loom", Key::Endpoints, &json!(["e1"])),
                set("loom", Key::EndpointSelector, &json!("e")),
            ],
        ),
    ];
    for (expected, operations) in cases {
        assert_eq!(rule(&tree, operations.clone()), expected, "{operations:?}");
    }
    let reserved = Key::Routes
        .shape()
        .read(&route)
        .expect_err("the prefix is reserved");
    assert_eq!(reserved.rule(), "range");
}

#[test]
fn a_tree_from_elsewhere_is_checked_as_it_is_decoded() {
    let mut bytes = Vec::new();
    ciborium::into_writer(&shop(), &mut bytes).expect("a tree encodes");
    let same: Tree = ciborium::from_reader(bytes.as_slice()).expect("a valid tree decodes");
    assert_eq!(same, shop());
    let rows: Table<Id, Node> = [
        (Id::root(), Node::new(None, Kind::Root, "root")),
        (
            Id::from("a"),
            Node::new(Some("b".into()), Kind::Policy, "a"),
        ),
        (
            Id::from("b"),
            Node::new(Some("a".into()), Kind::Policy, "b"),
        ),
    ]
    .into_iter()
    .collect();
    let json = serde_json::to_string(&rows).expect("a table encodes");
    let error = serde_json::from_str::<Tree>(&json).expect_err("the nodes form a cycle");
    assert!(error.to_string().contains("stands below itself"), "{error}");
}

#[test]
fn the_resolved_view_agrees_with_the_tree() {
    let resolved = Resolved::new(&shop());
    let buyers = resolved.organisation("buyers").expect("it is declared");
    assert_eq!(buyers.deadline.as_secs(), 90);
    assert_eq!(
        (buyers.concurrency_limit, buyers.concurrency_floor),
        (10, 4)
    );
    assert_eq!(resolved.serving("notes", "buyers").count(), 1);
    assert_eq!(resolved.serving("notes", "counter").count(), 0);
    assert_eq!(resolved.models("buyers").collect::<Vec<_>>(), ["notes"]);
}

#[test]
fn a_path_goes_to_the_longest_prefix_of_whole_segments() {
    let routes = json!([
        {"prefix": "/stock", "endpoints": ["a"]},
        {"prefix": "/stock/orders", "endpoints": ["b"], "repeatable": true},
    ]);
    let operations = vec![set("root", Key::Routes, &routes)];
    let tree = apply(&shop(), &edit(operations)).expect("the routes are unambiguous");
    let resolved = Resolved::new(&tree);
    let route = |path: &str| {
        let organisation = resolved.organisation("counter").expect("it is declared");
        organisation
            .route(path)
            .map(|route| route.endpoints[0].clone())
    };
    assert_eq!(route("/stock/orders/7").as_deref(), Some("b"));
    assert_eq!(route("/stock/ordersheet").as_deref(), Some("a"));
    assert_eq!(route("/stockings"), None);
}

#[test]
fn the_table_of_keys_agrees_with_the_keys() {
    for (at, spec) in KEYS.iter().enumerate() {
        assert_eq!(spec.key as usize, at, "{} is out of order", spec.name);
        assert_eq!(Key::named(spec.name), Some(spec.key));
        let default = spec.key.default_value();
        spec.shape
            .check(&default)
            .expect("a default lies within the range");
        let same = spec
            .shape
            .read(&default.plain())
            .expect("a default can be written down");
        assert_eq!(same, default);
    }
}

#[test]
fn the_settings_reference_is_up_to_date() {
    let committed = include_str!("../../../docs/operators/settings-reference.md");
    assert_eq!(committed, reference::markdown());
}

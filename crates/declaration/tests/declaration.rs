//! Validation, comparison and application of declarations.

#[path = "../../history/tests/support/mod.rs"]
mod support;

use std::path::Path;
use std::time::Duration;

use cactusnotch_base::number::Revision;
use cactusnotch_declaration::{
    Declaration, Difference, Faults, Options, Source, apply, render, source,
};
use cactusnotch_history::{Options as Calls, Refusal, Replica, Verdict, Writer};
use cactusnotch_settings::{Key, Kind, Tree, apply as apply_edit};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{Fault, Memory, create, edit, layout, random_operation, seeded, set};

const PRUNE: Options = Options { prune: true };

fn check(text: &str) -> Result<Declaration, Faults> {
    Declaration::check(&[file("tree.toml", text)])
}

fn file(name: &str, text: &str) -> Source {
    Source {
        file: name.to_owned(),
        text: text.to_owned(),
    }
}

fn writer(store: &Memory) -> Writer<Memory> {
    let calls = Calls {
        pause: Duration::ZERO,
        ..Calls::default()
    };
    Writer::new(store.clone(), Replica::new(), calls)
}

#[test]
fn each_fault_is_named_with_its_file_line_and_rule() {
    let text = r#"
[nodes.a]
kind = "policy"
[nodes.a.values]
priority = 12
dead-line = "3s"
deadline = 30
[nodes.b]
kind = "polity"
colour = "red"
[nodes.c]
parent = "a"
"#;
    let faults = check(text).expect_err("the declaration has faults");
    let found: Vec<_> = faults
        .faults
        .iter()
        .map(|f| (f.place.line, f.rule))
        .collect();
    let expected = [
        (5, "range"),
        (6, "unknown-key"),
        (7, "type"),
        (8, "node-kind"),
        (9, "node-kind"),
        (10, "unknown-field"),
        (11, "node-kind"),
    ];
    assert_eq!(found, expected, "{faults}");
    assert!(
        faults
            .to_string()
            .starts_with("tree.toml:5: range: priority: 12 is out of range")
    );

    let syntax = check("[nodes.a]\nkind = \n").expect_err("it is not TOML");
    assert_eq!(
        (syntax.faults[0].place.line, syntax.faults[0].rule),
        (2, "syntax")
    );
}

#[test]
fn rules_that_join_nodes_are_checked_over_all_files() {
    let one = file("one.toml", "[nodes.a]\nkind = \"policy\"\nparent = \"b\"\n");
    let two = file(
        "two.toml",
        "\n[nodes.b]\nkind = \"policy\"\nparent = \"a\"\n",
    );
    let faults = Declaration::check(&[one.clone(), two]).expect_err("a cycle");
    let shown: Vec<_> = faults.faults.iter().map(ToString::to_string).collect();
    assert_eq!(shown[0], "one.toml:1: cycle: node a stands below itself");
    assert_eq!(shown[1], "two.toml:2: cycle: node b stands below itself");

    let again = Declaration::check(&[one.clone(), one]).expect_err("declared twice");
    assert_eq!(again.faults[0].rule, "duplicate-node");

    let floors = "[nodes.a]\nkind = \"organisation\"\n[nodes.a.values]\n\
                  concurrency-limit = 3\nconcurrency-floor = 4\n";
    let faults = check(floors).expect_err("a floor above its cap");
    assert_eq!(
        (faults.faults[0].place.line, faults.faults[0].rule),
        (5, "floors")
    );
}

#[test]
fn the_examples_are_accepted_as_one_edit_each_and_change_nothing_twice() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/declarations");
    for (name, organisations) in [("arrieta.toml", 10), ("palmetto.toml", 10)] {
        let sources = source::read(&examples.join(name)).expect("the example is there");
        let declaration = Declaration::check(&sources).expect("the example has no faults");
        let is_organisation = |kind| kind == Kind::Organisation;
        let kinds = declaration
            .nodes()
            .values()
            .map(|declared| declared.node.kind);
        assert_eq!(
            kinds.filter(|&kind| is_organisation(kind)).count(),
            organisations
        );

        let store = Memory::new();
        let mut writer = writer(&store);
        let mut submit = || apply(&mut writer, &declaration, &PRUNE, "ci", name);
        let revision = Revision(1);
        assert_eq!(submit(), Ok(Some(Verdict::Accepted { revision })));
        assert_eq!(submit(), Ok(None));
        assert_eq!(store.count("revision"), 1);
    }
    let all = source::read(&examples).expect("the directory is there");
    assert!(all.len() >= 2, "a directory is read as a whole");
}

#[test]
fn a_declaration_goes_through_the_same_acceptance_as_any_edit() {
    let store = Memory::new();
    let mut ci = writer(&store);
    ci.submit(&layout());
    let text = "[nodes.a]\nkind = \"policy\"\n[nodes.a.values]\nconcurrency-limit = 8\n\
                [nodes.o]\nkind = \"organisation\"\nparent = \"a\"\n";
    let declaration = check(text).expect("it has no faults");
    let tree = ci.replica().tree();
    let difference = Difference::new(tree, &declaration, &Options::default());
    let difference = difference.expect("the kinds agree");
    assert_eq!(
        difference.to_string(),
        "~ set a concurrency-limit = 8 (was 10)\n"
    );
    let planned = difference
        .edit("ci", "declared", Revision(1))
        .expect("there is a change");

    // Another operator submits first, so the base of the plan is outdated.
    let faster = edit(
        "maite",
        Revision(1),
        vec![set("o", Key::ConcurrencyFloor, 9)],
    );
    assert!(matches!(
        writer(&store).submit(&faster),
        Verdict::Accepted { .. }
    ));
    let verdict = ci.submit(&planned);
    let Verdict::Refused(Refusal::Overtaken { other, .. }) = verdict else {
        panic!("the plan is overtaken: {verdict}");
    };
    assert_eq!(other.author, "maite");
    assert_eq!(store.count("revision"), 2);

    // A lost reply leaves no partially applied declaration.
    store.fail_next(Fault::Before);
    assert!(apply(&mut ci, &declaration, &PRUNE, "ci", "declared").is_err());
    let mut again = || apply(&mut ci, &declaration, &PRUNE, "ci", "declared");
    let revision = Revision(3);
    assert_eq!(again(), Ok(Some(Verdict::Accepted { revision })));
    assert_eq!(again(), Ok(None));
}

#[test]
fn a_node_keeps_its_kind() {
    let operations = vec![create("x", "root", Kind::Policy)];
    let tree = apply_edit(&Tree::new(), &edit("maite", Revision(0), operations));
    let declaration = check("[nodes.x]\nkind = \"organisation\"\n").expect("no faults");
    let tree = tree.expect("the edit is valid");
    assert!(Difference::new(&tree, &declaration, &PRUNE).is_err());
}

/// Returns a tree built by random edits.
fn random_tree(seed: u64) -> Tree {
    let mut rng = seeded(seed);
    let mut tree = apply_edit(&Tree::new(), &layout()).expect("the layout is valid");
    for _ in 0..30 {
        let operation = random_operation(&mut rng);
        if let Ok(next) = apply_edit(&tree, &edit("maite", Revision(0), vec![operation])) {
            tree = next;
        }
    }
    tree
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_tree_can_be_written_down_and_reached_from_any_other(from: u64, to: u64) {
        let (from, to) = (random_tree(from), random_tree(to));
        let declaration = check(&render::toml(&to)).expect("a valid tree has no faults");
        let difference = Difference::new(&from, &declaration, &PRUNE).expect("one kind an id");
        let reached = match difference.edit("ci", "declared", Revision(0)) {
            Some(edit) => apply_edit(&from, &edit).expect("the difference can be applied"),
            None => from,
        };
        prop_assert_eq!(reached, to);
    }
}

//! Prints the size of a tree of 910 organisations and 6 model groups, and the
//! time to edit it, to resolve it and to look values up.

mod support;

use std::hint::black_box;
use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_base::number::Revision;
use cactusnotch_settings::{Resolved, Tree, apply};

const ROUNDS: usize = 200;
const LOOKUPS: u32 = 1_000_000;

fn main() {
    let edit = support::fleet();
    let tree = apply(&Tree::new(), &edit).expect("the tree is valid");
    let mut cbor = Vec::new();
    ciborium::into_writer(&tree, &mut cbor).expect("a tree encodes");
    let json = serde_json::to_vec(&tree).expect("a tree encodes");
    println!("nodes                     {}", tree.nodes().len());
    println!("tree as CBOR              {} bytes", cbor.len());
    println!("tree as JSON              {} bytes", json.len());

    let changes: Vec<_> = (0..ROUNDS)
        .map(|at| support::change(Revision(1), at))
        .collect();
    report("apply an edit", |round| {
        black_box(apply(&tree, &changes[round]).expect("the change is valid"));
    });
    report("resolve the tree", |_| {
        black_box(Resolved::new(&tree));
    });
    report("decode the tree from CBOR", |_| {
        let decoded: Tree = ciborium::from_reader(cbor.as_slice()).expect("the tree decodes");
        black_box(decoded);
    });
    report_lookups(&Resolved::new(&tree));
}

fn report_lookups(resolved: &Resolved) {
    let started = clock::now();
    for _ in 0..LOOKUPS {
        let name = black_box("organisation-0637");
        black_box(resolved.organisation(name));
        black_box(resolved.serving("model-3", name).next());
    }
    let each = started.elapsed() / LOOKUPS;
    println!("look an organisation and its group up  {each:?}");
}

/// Prints the median and maximum time of `work`.
fn report(name: &str, mut work: impl FnMut(usize)) {
    let mut times: Vec<Duration> = (0..ROUNDS)
        .map(|round| {
            let started = clock::now();
            work(round);
            started.elapsed()
        })
        .collect();
    times.sort();
    println!(
        "{name:25} median {:?}, greatest {:?}",
        times[ROUNDS / 2],
        times[ROUNDS - 1]
    );
}

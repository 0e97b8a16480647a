//! All interleavings of two operators with conflicting edits, call by call, with
//! up to two faults at any calls.

mod support;

use cactusnotch_base::number::Revision;
use cactusnotch_history::{
    Call, Options, Reader, Replica, Step, Submission, Verdict, Writer, perform,
};
use cactusnotch_settings::{Edit, Key, Kind, Operation};
use support::{Fault, Memory, create, delete, edit, layout, relocate, set};

const OPTIONS: Options = Options {
    attempts: 2,
    races: 2,
    pause: std::time::Duration::ZERO,
    retained: 1,
    compaction_interval: 1,
};

#[derive(Clone)]
struct Operator {
    replica: Replica,
    submission: Submission,
    edit: Edit,
    next: Step<Verdict>,
}

/// A state of the exploration. Clones of the store share its content until it
/// is forked.
struct World {
    store: Memory,
    operators: [Operator; 2],
    faults: usize,
}

impl World {
    fn fork(&self) -> Self {
        Self {
            store: self.store.fork(),
            operators: self.operators.clone(),
            faults: self.faults,
        }
    }

    /// Explores all continuations of this state and returns the number of final
    /// states.
    fn explore(&self) -> usize {
        let mut ends = 0;
        for at in 0..self.operators.len() {
            let Step::Call(call) = &self.operators[at].next else {
                continue;
            };
            for fault in [Fault::None, Fault::Before, Fault::After, Fault::Late] {
                let is_write = matches!(call, Call::Create(_));
                let is_useful = is_write || fault != Fault::Late;
                if fault == Fault::None || (self.faults > 0 && is_useful) {
                    ends += self.after(at, call, fault).explore();
                }
            }
        }
        if self.store.late() > 0 {
            let world = self.fork();
            world.store.deliver(0);
            ends += world.explore();
        }
        if ends > 0 {
            return ends;
        }
        self.check();
        1
    }

    fn after(&self, at: usize, call: &Call, fault: Fault) -> Self {
        let mut world = self.fork();
        world.faults -= usize::from(fault != Fault::None);
        world.store.fail_next(fault);
        let reply = perform(&world.store, call);
        let operator = &mut world.operators[at];
        operator.next = operator.submission.step(&mut operator.replica, reply);
        world
    }

    fn check(&self) {
        let mut reader = Reader::new(self.store.clone(), Replica::new());
        reader.sync().expect("a reader succeeds without faults");
        let mut accepted = 0;
        for operator in &self.operators {
            let found = reader.replica().snapshot().accepted(&operator.edit.id);
            accepted += usize::from(found.is_some());
            let Step::Done(verdict) = &operator.next else {
                panic!("an operator is not done");
            };
            match verdict {
                Verdict::Accepted { revision } => {
                    assert_eq!(found.map(|found| found.revision), Some(*revision));
                }
                Verdict::Unknown { .. } => {}
                Verdict::Refused(_) | Verdict::Unavailable { .. } => {
                    assert!(found.is_none(), "{verdict}, but the edit is in the history");
                }
            }
        }
        assert!(accepted <= 1, "two conflicting edits are both accepted");
    }
}

fn operator(replica: &Replica, author: &str, operations: Vec<Operation>) -> Operator {
    let edit = edit(author, Revision(1), operations);
    let mut submission = Submission::new(edit.clone(), &OPTIONS);
    let replica = replica.clone();
    let next = submission.start(&replica);
    Operator {
        replica,
        submission,
        edit,
        next,
    }
}

fn explore(one: Vec<Operation>, two: Vec<Operation>) -> usize {
    let store = Memory::new();
    let mut setup = Writer::new(store.clone(), Replica::new(), Options::default());
    setup.submit(&layout());
    let world = World {
        store,
        operators: [
            operator(setup.replica(), "maite", one),
            operator(setup.replica(), "inaki", two),
        ],
        faults: 2,
    };
    world.explore()
}

#[test]
fn two_moves_that_make_a_cycle_are_never_both_accepted() {
    let ends = explore(vec![relocate("a", "b")], vec![relocate("b", "a")]);
    assert!(ends > 1_000, "{ends} ends");
}

#[test]
fn a_parent_is_never_deleted_under_a_new_child() {
    let child = vec![create("q", "b", Kind::Policy)];
    let ends = explore(vec![delete("b")], child);
    assert!(ends > 1_000, "{ends} ends");
}

#[test]
fn a_limit_is_never_below_the_sum_of_floors() {
    let cap = vec![set("a", Key::ConcurrencyLimit, 3)];
    let ends = explore(cap, vec![set("o", Key::ConcurrencyFloor, 5)]);
    assert!(ends > 1_000, "{ends} ends");
}

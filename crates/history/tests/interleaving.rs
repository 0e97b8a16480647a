//! Random interleavings of operators, compactions, readers and peers, call by
//! call, with lost, late and refused calls, outages and restarts.

mod support;

use cactusnotch_base::Table;
use cactusnotch_base::number::Revision;
use cactusnotch_history::{
    Call, Catchup, Compaction, Digest, Options, Refusal, Replica, Step, Submission, Verdict,
    perform,
};
use cactusnotch_settings::{Edit, Id, Key, Kind, Tree};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::Rng;
use rand::rngs::StdRng;
use support::{Fault, Memory, edit, layout, random_operation, seeded};

const PROCESSES: usize = 5;
const STEPS: usize = 700;

const OPTIONS: Options = Options {
    attempts: 3,
    races: 3,
    pause: std::time::Duration::ZERO,
    retained: 1,
    compaction_interval: 1,
};

/// The pending work of a process.
enum Work {
    Idle,
    Submitting(Box<Submission>, Edit, Call),
    Compacting(Box<Compaction>, Call),
    Reading(Catchup, Call),
}

struct Process {
    replica: Replica,
    work: Work,
}

/// The verdicts returned to operators, and the revisions observed on replicas.
#[derive(Default)]
struct Record {
    order: Table<Revision, (Digest, String)>,
    accepted: Table<String, Revision>,
    refused: Vec<String>,
    open: Vec<Edit>,
}

impl Record {
    /// Records a verdict. `is_alone` means that no other submission of the same
    /// edit is running.
    fn note(&mut self, edit: Edit, verdict: &Verdict, is_alone: bool) {
        let was_open = self.open.contains(&edit);
        match verdict {
            Verdict::Accepted { revision } => {
                let before = self.accepted.insert(edit.id, *revision);
                assert!(
                    before.is_none_or(|before| before == *revision),
                    "accepted twice"
                );
            }
            Verdict::Refused(Refusal::Expired { .. }) => {}
            // The refusal is final, even if an earlier submission was aborted
            // and its write is still in transit.
            Verdict::Refused(_) if is_alone => self.refuse(&edit),
            Verdict::Unavailable { .. } if !was_open => self.refuse(&edit),
            Verdict::Refused(_) | Verdict::Unavailable { .. } => {}
            Verdict::Unknown { .. } => self.leave_open(edit),
        }
    }

    fn refuse(&mut self, edit: &Edit) {
        self.open.retain(|open| open != edit);
        self.refused.push(edit.id.clone());
    }

    fn leave_open(&mut self, edit: Edit) {
        if !self.open.contains(&edit) {
            self.open.push(edit);
        }
    }

    fn observe(&mut self, replica: &Replica) {
        for summary in &replica.snapshot().recent {
            let row = (summary.digest.clone(), summary.edit.clone());
            let seen = self
                .order
                .get_or_insert_with(summary.revision, || row.clone());
            assert_eq!(*seen, row, "the histories differ at {}", summary.revision);
        }
        assert_valid(replica.tree());
    }

    fn check(&self) {
        let mut edits: Vec<_> = self.order.values().map(|(_, edit)| edit).collect();
        edits.sort();
        let count = edits.len();
        edits.dedup();
        assert_eq!(edits.len(), count, "an edit is in the history twice");
        for (edit, revision) in self.accepted.iter() {
            let found = self.order.get(revision).map(|(_, edit)| edit);
            assert_eq!(found, Some(edit), "an acknowledged edit is missing");
        }
        for edit in &self.refused {
            assert!(!edits.contains(&edit), "a refused edit is in the history");
        }
    }
}

/// Checks the rules that concern several nodes, independently of the
/// implementation in the crate.
fn assert_valid(tree: &Tree) {
    let floor_of = |id: &Id| {
        let floor = tree.effective(id, Key::ConcurrencyFloor);
        floor
            .ok()
            .and_then(|floor| floor.value.as_integer())
            .unwrap_or_default()
    };
    let is_organisation = |id: &Id| tree.node(id).is_some_and(|n| n.kind == Kind::Organisation);
    let organisations: Vec<&Id> = tree
        .nodes()
        .keys()
        .filter(|id| is_organisation(id))
        .collect();
    for id in tree.nodes().keys() {
        let top = tree.lineage(id).take(tree.nodes().len()).last();
        assert_eq!(
            top.map(|(top, _)| top),
            Some(&Id::root()),
            "{id} does not reach the root"
        );
        let below = organisations
            .iter()
            .filter(|o| tree.lineage(o).any(|(above, _)| above == id));
        let floors: u64 = below.map(|organisation| floor_of(organisation)).sum();
        let cap = tree
            .effective(id, Key::ConcurrencyLimit)
            .expect("the limit applies to the node");
        assert!(
            cap.value.as_integer() >= Some(floors),
            "floors of {floors} at {id}"
        );
    }
}

struct World {
    rng: StdRng,
    store: Memory,
    processes: Vec<Process>,
    record: Record,
    is_down: bool,
}

impl World {
    fn new(seed: u64) -> Self {
        let store = Memory::new();
        let mut record = Record::default();
        let mut first = cactusnotch_history::Writer::new(store.clone(), Replica::new(), OPTIONS);
        let setup = layout();
        let verdict = first.submit(&setup);
        record.note(setup, &verdict, true);
        let new = |_| Process {
            replica: Replica::new(),
            work: Work::Idle,
        };
        Self {
            rng: seeded(seed),
            store,
            processes: (0..PROCESSES).map(new).collect(),
            record,
            is_down: false,
        }
    }

    fn tick(&mut self) {
        match self.rng.random_range(0..100) {
            0 => self.is_down = !self.is_down,
            1 | 2 => self.store.deliver(self.rng.random_range(0..8)),
            3 => self.restart(),
            4..=6 => self.gossip(),
            _ => self.advance(),
        }
    }

    fn fault(&mut self) -> Fault {
        match self.rng.random_range(0..100) {
            _ if self.is_down => Fault::Before,
            0..=2 => Fault::Before,
            3..=7 => Fault::After,
            8..=10 => Fault::Late,
            11 => Fault::Refused,
            _ => Fault::None,
        }
    }

    /// Restarts a process. The edit that it was submitting may be submitted again.
    fn restart(&mut self) {
        let at = self.rng.random_range(0..PROCESSES);
        let work = std::mem::replace(&mut self.processes[at].work, Work::Idle);
        if let Work::Submitting(_, edit, _) = work {
            self.record.leave_open(edit);
        }
        self.processes[at].replica = Replica::new();
    }

    fn gossip(&mut self) {
        let from = self.rng.random_range(0..PROCESSES);
        let to = self.rng.random_range(0..PROCESSES);
        let known = self.processes[to].replica.revision();
        if let Some(offer) = self.processes[from].replica.after(known) {
            let answer = self.processes[to].replica.offer(&offer);
            assert!(answer.is_held(), "a peer's offer: {answer}");
        }
        self.observe(to, known);
    }

    fn advance(&mut self) {
        let at = self.rng.random_range(0..PROCESSES);
        let before = self.processes[at].replica.revision();
        let fault = self.fault();
        let work = std::mem::replace(&mut self.processes[at].work, Work::Idle);
        let replica = &mut self.processes[at].replica;
        let call = |call: &Call| {
            self.store.fail_next(fault);
            perform(&self.store, call)
        };
        let next = match work {
            Work::Idle => self.begin(at),
            Work::Submitting(mut submission, edit, pending) => {
                match submission.step(replica, call(&pending)) {
                    Step::Call(next) => Work::Submitting(submission, edit, next),
                    Step::Done(verdict) => {
                        let is_alone = self.is_alone(&edit);
                        self.record.note(edit, &verdict, is_alone);
                        Work::Idle
                    }
                }
            }
            Work::Compacting(mut compaction, pending) => match compaction.step(call(&pending)) {
                Step::Call(next) => Work::Compacting(compaction, next),
                Step::Done(_) => Work::Idle,
            },
            Work::Reading(mut catchup, pending) => match catchup.step(call(&pending)) {
                Step::Call(next) => Work::Reading(catchup, next),
                Step::Done(fetched) => {
                    let answer = replica.apply(&fetched);
                    assert!(answer.is_held(), "a reader's answer: {answer}");
                    Work::Idle
                }
            },
        };
        self.processes[at].work = next;
        self.observe(at, before);
    }

    fn begin(&mut self, at: usize) -> Work {
        let replica = self.processes[at].replica.clone();
        match self.rng.random_range(0..6) {
            0 => {
                let catchup = Catchup::new(replica.revision());
                let call = catchup.start();
                Work::Reading(catchup, call)
            }
            1 => {
                let compaction = Compaction::new(&replica, &OPTIONS);
                let call = compaction.start();
                Work::Compacting(Box::new(compaction), call)
            }
            _ => self.submit(&replica),
        }
    }

    fn submit(&mut self, replica: &Replica) -> Work {
        let is_again = !self.record.open.is_empty() && self.rng.random_bool(0.5);
        let edit = if is_again {
            let at = self.rng.random_range(0..self.record.open.len());
            // The edit stays open: another process may submit it concurrently.
            self.record.open[at].clone()
        } else {
            let count = self.rng.random_range(1..=2);
            let operations = (0..count).map(|_| random_operation(&mut self.rng));
            edit("operator", replica.revision(), operations.collect())
        };
        let mut submission = Submission::new(edit.clone(), &OPTIONS);
        match submission.start(replica) {
            Step::Call(call) => Work::Submitting(Box::new(submission), edit, call),
            Step::Done(verdict) => {
                let is_alone = self.is_alone(&edit);
                self.record.note(edit, &verdict, is_alone);
                Work::Idle
            }
        }
    }

    fn is_alone(&self, edit: &Edit) -> bool {
        let is_submitting = |process: &Process| matches!(&process.work, Work::Submitting(_, other, _) if other == edit);
        !self.processes.iter().any(is_submitting)
    }

    fn observe(&mut self, at: usize, before: Revision) {
        let replica = &self.processes[at].replica;
        assert!(
            replica.revision() >= before,
            "the revision of a replica decreased"
        );
        if replica.revision() > before {
            self.record.observe(replica);
        }
    }

    /// Ends all faults, delivers all late writes, and compares all replicas.
    fn settle(&mut self) {
        while self.store.late() > 0 {
            self.store.deliver(0);
        }
        let mut head = None;
        for at in 0..PROCESSES {
            let store = self.store.clone();
            let replica = self.processes[at].replica.clone();
            let mut reader = cactusnotch_history::Reader::new(store, replica);
            reader.sync().expect("a reader succeeds without faults");
            self.record.observe(reader.replica());
            let digest = reader.replica().digest().clone();
            assert_eq!(*head.get_or_insert_with(|| digest.clone()), digest);
        }
        self.record.check();
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 160,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..ProptestConfig::default()
    })]

    #[test]
    fn there_is_one_order_and_nothing_acknowledged_is_lost(seed in any::<u64>()) {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.tick();
        }
        world.settle();
    }
}

//! A request's whole path through a system of real sockets.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_entry::Server;
use cactusnotch_lab::caller::{Ask, Outcome, key};
use cactusnotch_lab::cluster::{Cluster, Options};
use cactusnotch_lab::{Caller, Operator};

const MODEL: &str = "moe";
const ORGANISATION: &str = "arrieta";
const PATIENCE: Duration = Duration::from_secs(30);
/// The pause between two looks at a state that is awaited.
const GLANCE: Duration = Duration::from_millis(20);

fn ask(prompt: &str) -> Ask {
    Ask {
        organisation: ORGANISATION.to_owned(),
        model: MODEL.to_owned(),
        prompt: prompt.to_owned(),
        max_tokens: 12,
        key: None,
        idempotent: None,
        after: None,
    }
}

/// Waits until an entry lists as many entries as there are: its roster says of
/// each when it serves, which is not settled by the status of the endpoints.
fn listed(caller: &Caller, entry: SocketAddr, entries: usize) -> Vec<SocketAddr> {
    let until = clock::now() + PATIENCE;
    loop {
        let addresses = caller.addresses(entry).unwrap();
        if addresses.len() >= entries || clock::now() > until {
            return addresses;
        }
        std::thread::sleep(GLANCE);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_gets_its_own_whole_answer() {
    let cluster = Cluster::start(&Options::default()).await.unwrap();
    let platform = cluster.platform_options();
    let operators: Vec<_> = cluster.entries.iter().map(Server::operators).collect();
    let callers: Vec<_> = cluster.entries.iter().map(Server::callers).collect();
    let done = tokio::task::spawn_blocking(move || {
        let mut operator = Operator::new(&platform);
        let revision = operator.declare(ORGANISATION, MODEL, 2).unwrap();
        for address in operators {
            operator
                .wait(address, PATIENCE, |status| {
                    status.revision == revision
                        && status.endpoints.len() == 2
                        && status.endpoints.iter().all(|seen| seen.state == "serving")
                })
                .unwrap();
        }
        let caller = Caller::default();
        let addresses = listed(&caller, callers[0], callers.len());
        assert!(addresses.iter().all(|address| callers.contains(address)));
        assert_eq!(addresses.len(), callers.len());
        for number in 0..8 {
            let mut ask = ask(&format!("pattern note {number}"));
            ask.key = (number % 2 == 0).then(key);
            let address = addresses[number % addresses.len()];
            let Outcome::Whole(got) = caller.ask(address, &ask).unwrap() else {
                panic!("request {number} got no whole answer");
            };
            assert_eq!(got.text, ask.expected());
        }
    });
    done.await.unwrap();
    let runs: usize = cluster.engines.iter().map(|e| e.runs().len()).sum();
    assert_eq!(runs, 8);
}

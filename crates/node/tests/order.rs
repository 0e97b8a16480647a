//! Which revisions a node accepts into the order of edits.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use cactusnotch_base::Table;
use cactusnotch_base::clock::System;
use cactusnotch_base::name::{DataCentre, Host, Process, Region};
use cactusnotch_base::number::{Incarnation, Revision, Sequence};
use cactusnotch_history::{Digest, Entry, Offer, Replica, Snapshot, Validation};
use cactusnotch_link::{Identity, Options as LinkOptions, Role, Secret};
use cactusnotch_member::{Record, State};
use cactusnotch_node::{Node, Options};
use cactusnotch_objects::Store;
use cactusnotch_objects::http::{self, Client};
use cactusnotch_objects::object::{Condition, Path, Version};
use cactusnotch_settings::{Edit, Id, Kind, Operation};
use cactusnotch_spread::{self as spread, Message, Span};
use cactusnotch_standins::objects;
use serde_json::{Value, json};
use tokio::time::timeout;

const TIMEOUT: Duration = Duration::from_secs(30);

fn start(platform: &http::Options) -> Node<System> {
    let identity = Identity {
        process: Process::new("entry-0"),
        role: Role::Entry,
        host: Host::new("host-0"),
        data_centre: DataCentre::new("dc-0"),
        incarnation: Incarnation(1),
    };
    let record = Record {
        process: identity.process.clone(),
        role: cactusnotch_member::Role::Entry,
        host: identity.host.clone(),
        data_centre: identity.data_centre.clone(),
        region: Region::new("region-0"),
        peers: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        callers: None,
        endpoint: None,
        incarnation: identity.incarnation,
        state: State::Joining,
    };
    let secret = Secret::new("a secret for tests on loopback, long enough").unwrap();
    let options = Options {
        link: LinkOptions::new(identity, vec![secret]),
        platform: platform.clone(),
        spread: spread::Options::default(),
        seeds: Table::new(),
        tick: Duration::from_millis(20),
    };
    Node::start(options, record, System)
}

fn platform() -> (objects::Platform, http::Options) {
    let platform = objects::Platform::start(&objects::Options::default()).unwrap();
    let options = http::Options {
        base: platform.base(),
        timeout: Duration::from_secs(2),
    };
    (platform, options)
}

/// Returns the entry that declares an organisation after what `replica` holds.
fn next(replica: &Replica, name: &str) -> Entry {
    let create = Operation::Create {
        node: Id::new(name),
        parent: Id::root(),
        kind: Kind::Organisation,
        name: name.to_owned(),
    };
    let edit = Edit::new("test", "declare", replica.revision(), vec![create]);
    match replica.validate(&edit).unwrap() {
        Validation::Next(entry) => *entry,
        Validation::Accepted(_) => unreachable!("the edit is new"),
    }
}

fn put(client: &Client, path: &Path, value: &Value) {
    client.put(path, value, Condition::Always).unwrap();
}

fn span(after: u64, entry: &Entry) -> Span {
    let mut payload = Vec::new();
    ciborium::into_writer(&Offer::Entries(vec![entry.clone()]), &mut payload).unwrap();
    Span {
        after: Sequence(after),
        through: Sequence(after + 1),
        version: Version(after + 1),
        payload: Bytes::from(payload),
    }
}

async fn reach(node: &Node<System>, revision: Revision) {
    let mut views = node.views();
    let reached = views.wait_for(|view| view.revision >= revision);
    timeout(TIMEOUT, reached).await.unwrap().unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leftover_entry_of_a_trimmed_revision_is_ignored() {
    let (_platform, options) = platform();
    let client = Client::new(&options);
    let mut replica = Replica::new();
    let first = next(&replica, "arrieta");
    replica.offer_entries(std::slice::from_ref(&first));
    let leftover = next(&replica, "leftover");
    put(&client, &Entry::path(first.revision), &json!(first));
    let node = start(&options);
    reach(&node, Revision(1)).await;

    for name in ["benedetti", "castro"] {
        let entry = next(&replica, name);
        replica.offer_entries(&[entry]);
    }
    put(&client, &Snapshot::path(), &json!(replica.snapshot()));
    put(
        &client,
        &Path::new("floor", "settings"),
        &json!(Revision(3)),
    );
    put(&client, &Entry::path(leftover.revision), &json!(leftover));
    reach(&node, Revision(2)).await;

    let view = node.view();
    assert_eq!(view.revision, Revision(3));
    assert_eq!(*view.tree, *replica.tree());
    assert_eq!(node.status().held, Sequence(3));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_revision_that_is_not_in_force_does_not_count_as_held() {
    let (platform, options) = platform();
    platform.set_outage(objects::Outage::Refuse);
    let node = start(&options);
    let peer = Process::new("entry-1");
    let entry = next(&Replica::new(), "arrieta");
    let deliver = |span: Span| {
        node.receive(&peer, Message::Span(span));
        (node.status().held, node.view().revision)
    };

    let held = (Sequence(0), Revision(0));
    let unreadable = Bytes::from_static(b"\xff");
    let valid = span(0, &entry);
    assert_eq!(
        deliver(Span {
            payload: unreadable,
            ..valid.clone()
        }),
        held
    );
    let forked = Entry {
        previous: Digest::of(&entry),
        ..entry.clone()
    };
    assert_eq!(deliver(span(0, &forked)), held);
    let far = Span {
        through: Sequence(9),
        ..valid.clone()
    };
    assert_eq!(deliver(far), held);
    assert_eq!(deliver(valid), (Sequence(1), Revision(1)));
}

//! The object API through the client that the workspace uses.

mod wait;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use cactusnotch_objects::Store;
use cactusnotch_objects::http::{Client, Options};
use cactusnotch_objects::object::{Condition, Path, Version};
use cactusnotch_objects::store::Error;
use cactusnotch_standins::objects::{self, Anomaly, Loss, Outage, Platform};
use serde_json::json;
use wait::{LONG, until};

fn platform() -> (Platform, Client) {
    let platform = Platform::start(&objects::Options::default()).unwrap();
    let client = Client::new(&Options {
        base: platform.base(),
        timeout: LONG,
    });
    (platform, client)
}

#[test]
fn conditional_creates_have_one_winner() {
    let (_platform, client) = platform();
    let path = Path::new("claim", "one");
    let racers: Vec<_> = (0..8)
        .map(|racer| {
            let (client, path) = (client.clone(), path.clone());
            thread::spawn(move || client.put(&path, &json!(racer), Condition::Absent))
        })
        .collect();
    let results: Vec<_> = racers
        .into_iter()
        .map(|racer| racer.join().unwrap())
        .collect();
    let object = client.get(&path).unwrap().unwrap();
    for (racer, result) in results.iter().enumerate() {
        match result {
            Ok(version) => assert_eq!((*version, &json!(racer)), (object.version, &object.value)),
            Err(Error::Conflict { current, .. }) => {
                assert_eq!(current.as_deref(), Some(&object));
            }
            Err(error) => panic!("{error}"),
        }
    }
    assert_eq!(results.iter().filter(|result| result.is_ok()).count(), 1);
}

#[test]
fn conditions_name_the_version_that_stands() {
    let (_platform, client) = platform();
    let path = Path::new("lease", "a");
    let absent = client.put(&path, &json!(0), Condition::Version(Version(1)));
    assert!(matches!(absent, Err(Error::Conflict { current: None, .. })));
    let first = client.put(&path, &json!(1), Condition::Always).unwrap();
    let second = client
        .put(&path, &json!(2), Condition::Version(first))
        .unwrap();
    assert!(second > first);
    let stale = client.delete(&path, Condition::Version(first));
    assert!(matches!(
        stale,
        Err(Error::Conflict {
            current: Some(_),
            ..
        })
    ));
    client.delete(&path, Condition::Version(second)).unwrap();
    assert_eq!(client.get(&path).unwrap(), None);
    client.put(&path, &json!(3), Condition::Absent).unwrap();
}

#[test]
fn a_lost_reply_took_effect() {
    let (platform, client) = platform();
    let path = Path::new("claim", "lost");
    for loss in [Loss::Error, Loss::Drop] {
        platform.lose_replies(1, loss);
        let lost = client.put(&path, &json!("mine"), Condition::Absent);
        assert!(matches!(lost, Err(Error::Unanswered { .. })));
        assert_eq!(client.get(&path).unwrap().unwrap().value, json!("mine"));
        let again = client.put(&path, &json!("mine"), Condition::Absent);
        assert!(matches!(again, Err(Error::Conflict { .. })));
        client.delete(&path, Condition::Always).unwrap();
    }
}

#[test]
fn sixty_watches_wake_and_starve_nobody() {
    let (platform, client) = platform();
    let path = Path::new("revision", "1");
    let other = Path::new("status", "1");
    let after = client.put(&other, &json!(0), Condition::Always).unwrap();
    let watches: Vec<_> = (0..60)
        .map(|_| {
            let client = client.clone();
            thread::spawn(move || client.changes("revision", after, LONG))
        })
        .collect();
    let waiting = ("GET".to_owned(), "revision".to_owned());
    until(|| {
        client.put(&other, &json!(1), Condition::Always).unwrap();
        platform.calls().get(&waiting) == Some(&60)
    });
    let version = client.put(&path, &json!("r"), Condition::Absent).unwrap();
    for watch in watches {
        let changes = watch.join().unwrap().unwrap();
        assert_eq!(changes.objects.len(), 1);
        assert_eq!(changes.objects[0].version, version);
    }
    client.delete(&path, Condition::Always).unwrap();
    let changes = client.changes("revision", version, LONG).unwrap();
    assert_eq!(changes.removed, ["1"]);
    let listing = client.changes("revision", Version(0), LONG).unwrap();
    assert!(listing.objects.is_empty() && listing.removed.is_empty());
}

#[test]
fn a_watch_can_go_back_and_can_skip() {
    let (platform, client) = platform();
    let path = Path::new("map", "g");
    let first = client.put(&path, &json!(1), Condition::Always).unwrap();
    let second = client.put(&path, &json!(2), Condition::Always).unwrap();
    platform.disturb_watches(1, Anomaly::Repeat);
    let back = client.changes("map", second, LONG).unwrap();
    assert_eq!((back.version, back.objects[0].version), (first, first));
    platform.disturb_watches(1, Anomaly::Skip);
    let skipped = client.changes("map", first, Duration::ZERO).unwrap();
    assert_eq!((skipped.version, skipped.objects.len()), (first, 0));
    let told = client.changes("map", first, LONG).unwrap();
    assert_eq!(told.objects[0].version, second);
}

#[test]
fn outages_and_limits_refuse_without_effect() {
    let (platform, client) = platform();
    let path = Path::new("status", "s");
    for outage in [Outage::Unavailable, Outage::Refuse] {
        platform.set_outage(outage);
        let down = client.put(&path, &json!(1), Condition::Always);
        assert!(matches!(down, Err(Error::Unanswered { .. })));
    }
    let put = ("PUT".to_owned(), "status".to_owned());
    let calls = platform.calls();
    assert_eq!(calls.get(&put), Some(&1), "a refused connection is no call");
    platform.set_outage(Outage::None);
    assert_eq!(client.get(&path).unwrap(), None);
    let large = json!("x".repeat(1 << 20));
    let refused = client.put(&path, &large, Condition::Always);
    assert!(matches!(refused, Err(Error::Refused { .. })), "{refused:?}");
    platform.set_rate(Some(1));
    let results: Vec<_> = (0..50)
        .map(|at| client.put(&path, &json!(at), Condition::Always).is_ok())
        .collect();
    let refused = results.iter().filter(|passed| !**passed).count();
    assert!(results[0] && refused > 0);
    assert_eq!(platform.limited(), refused as u64);
    platform.set_rate(None);
    let last = results.iter().rposition(|passed| *passed).unwrap();
    assert_eq!(client.get(&path).unwrap().unwrap().value, json!(last));
}

#[test]
fn a_call_that_hung_takes_effect_when_the_outage_ends() {
    let (platform, client) = platform();
    let other = Path::new("other", "o");
    let before = client.put(&other, &json!(0), Condition::Always).unwrap();
    platform.set_outage(Outage::Hang);
    // The second call tells that the server has seen the first caller go.
    for kind in ["status", "later"] {
        let mut caller = TcpStream::connect(platform.address()).unwrap();
        let head = "HTTP/1.1\r\nhost: p\r\ncontent-length: 1";
        write!(caller, "PUT /objects/{kind}/late {head}\r\n\r\n1").unwrap();
        let put = ("PUT".to_owned(), kind.to_owned());
        until(|| platform.calls().get(&put) == Some(&1));
    }
    platform.set_outage(Outage::None);
    let changes = client.changes("status", before, LONG).unwrap();
    assert_eq!(changes.objects[0].value, json!(1));
}

#[test]
fn a_restart_takes_the_same_address_and_is_empty() {
    let (platform, client) = platform();
    let path = Path::new("status", "s");
    client.put(&path, &json!(1), Condition::Always).unwrap();
    let options = objects::Options {
        address: platform.address(),
        ..objects::Options::default()
    };
    drop(platform);
    let stopped = client.get(&path);
    assert!(matches!(stopped, Err(Error::Unanswered { .. })));
    let _again = Platform::start(&options).unwrap();
    assert_eq!(client.get(&path).unwrap(), None);
}

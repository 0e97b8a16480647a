//! Corrupted datagrams of entries and agents are refused or decoded, and never stop the
//! process that receives them.

use std::net::SocketAddr;

use cactusnotch_gateway::endpoint::{Endpoint, StartTime};
use cactusnotch_gateway::{Slowdown, datagram, peer};
use cactusnotch_overload::Ceiling;
use cactusnotch_position::{Era, Position};
use cactusnotch_rebalance::estimate::pack;
use cactusnotch_rebalance::map::Move;
use cactusnotch_rebalance::message::{
    Choices, Datagram, HoldRequest, Part, Phase, Relay, Round, Status,
};
use cactusnotch_rebalance::state::{Maps, Place};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use serde_bytes::ByteBuf;

fn agent() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7340))
}

fn place() -> Place {
    Place {
        group: "g".to_owned(),
        epoch: 1,
        rank: 2,
        size: 96,
    }
}

fn agent_datagrams() -> Vec<Datagram> {
    let (units, counts) = pack(&[1, 2, 300, 4], 2);
    let part = Part {
        group: "g".to_owned(),
        epoch: 1,
        version: 3,
        set: 0,
        sets: 1,
        ranks: vec![vec![0, 1], vec![300]],
    };
    let step = Move {
        set: 0,
        rank: 1,
        out: Some(1),
        new: None,
    };
    vec![
        Datagram::Seek(place()),
        Datagram::Standing(Status {
            place: place(),
            open: true,
            maps: Maps::default(),
            pace: Slowdown::default(),
            fill: 50,
            term: Some(1),
            met: None,
            heard: None,
            known: None,
            held: Some(vec![vec![0, 1], vec![300]]),
        }),
        Datagram::Choices(Choices {
            place: place(),
            units,
            counts: counts.into(),
        }),
        Datagram::Round(Round {
            group: "g".to_owned(),
            epoch: 1,
            term: 1,
            version: 4,
            base: 3,
            moves: vec![step],
            phase: Phase::Arm { step: 9 },
            released: 0,
            asks_held: false,
            limit: Some(Ceiling::FULL),
        }),
        Datagram::Ask(HoldRequest {
            place: place(),
            endpoint: agent(),
            sequence: 0,
            step: 9,
        }),
        Datagram::Relay(Relay {
            to: vec![agent(); 3],
            message: ByteBuf::from(datagram::encode(&Datagram::Part(part.clone()))),
        }),
        Datagram::Part(part),
    ]
}

fn entry_datagrams() -> Vec<peer::Datagram> {
    let entry = peer::Entry {
        host: "a".to_owned(),
        data_centre: "z".to_owned(),
        listen: agent(),
        peers: agent(),
    };
    let endpoint = Endpoint {
        cold_ms: 0,
        id: "i@1".to_owned(),
        instance: "i".to_owned(),
        born: Some(StartTime(1)),
        service: "s".to_owned(),
        address: agent(),
        data_centre: "z".to_owned(),
        slots: 6,
        leaving: false,
        registered: Position::new(Era(1), 3),
    };
    vec![
        peer::Datagram::Subscribe,
        peer::Datagram::Ask {
            entry,
            ready: true,
            round: 7,
        },
        peer::Datagram::State(peer::State {
            evacuated: None,
            ready: true,
            round: 7,
            version: 3,
            proof_age: Some(4),
            known: Position::new(Era(1), 9),
            returned_ago: None,
        }),
        peer::Datagram::Changes(peer::Changes {
            from: Position::new(Era(1), 1),
            to: Position::new(Era(1), 2),
            returned_ago: Some(1),
            endpoints: vec![("i".to_owned(), Some(endpoint)), ("j".to_owned(), None)],
        }),
    ]
}

fn corrupt(mut bytes: Vec<u8>, rng: &mut SmallRng) -> Vec<u8> {
    for _ in 0..rng.random_range(1..6) {
        if bytes.is_empty() {
            break;
        }
        let at = rng.random_range(0..bytes.len());
        match rng.random_range(0..4) {
            0 => bytes[at] = rng.random(),
            1 => drop(bytes.remove(at)),
            2 => bytes.insert(at, rng.random()),
            _ => bytes.truncate(at),
        }
    }
    bytes
}

/// Decodes a corrupted copy of each datagram, as both receivers would.
fn decode_corrupted<T: Serialize>(datagrams: &[T], rng: &mut SmallRng) {
    for whole in datagrams {
        let bytes = corrupt(datagram::encode(whole), rng);
        // Both results are allowed, but not a panic.
        drop(datagram::decode::<Datagram>(&bytes));
        drop(datagram::decode::<peer::Datagram>(&bytes));
    }
}

#[test]
fn corrupted_datagrams_never_panic() {
    let seeds = std::env::var("FUZZ_SEEDS")
        .ok()
        .and_then(|s| s.parse().ok());
    for seed in 0..seeds.unwrap_or(500_u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        decode_corrupted(&agent_datagrams(), &mut rng);
        decode_corrupted(&entry_datagrams(), &mut rng);
    }
}

#[test]
fn whole_datagrams_are_read_as_they_were_sent() {
    for sent in agent_datagrams() {
        let read: Datagram = datagram::decode(&datagram::encode(&sent)).expect("it is valid");
        assert_eq!(read, sent);
    }
    for sent in entry_datagrams() {
        let read: peer::Datagram = datagram::decode(&datagram::encode(&sent)).expect("it is valid");
        assert_eq!(read, sent);
    }
}

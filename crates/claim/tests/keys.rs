//! Valid and invalid tickets, other keys, and the owners of shards.

use std::time::{Duration, SystemTime};

use cactusnotch_base::Outcome;
use cactusnotch_base::name::Process;
use cactusnotch_base::number::Incarnation;
use cactusnotch_base::outcome::Key;
use cactusnotch_claim::kind::{Bare, Mode, Refusal, mode};
use cactusnotch_claim::{Options, Signer, Ticket, owner, ticket};
use cactusnotch_ledger::{Age, Terms};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use uuid::{NoContext, Timestamp, Uuid};

fn ticket() -> Ticket {
    Ticket {
        organisation: "loom".into(),
        terms: Terms {
            endpoint: "one".into(),
            incarnation: Incarnation(4),
            age: Age(1234),
        },
        issued_ms: 1_000_000,
        expires_ms: 2_000_000,
        nonce: Uuid::from_u128(9),
    }
}

fn signer() -> Signer {
    Signer::new(b"secret of the cluster")
}

fn at(ms: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(ms)
}

fn mode_of(key: &Key, organisation: &str, ms: u64, bare: Bare) -> Result<Mode, Refusal> {
    let options = Options::default();
    mode(key, &organisation.into(), &signer(), bare, &options, at(ms))
}

#[test]
fn tickets_name_their_agent_until_they_expire() {
    let key = signer().sign(&ticket());
    let good = mode_of(&key, "loom", 1_999_999, Bare::Refuse);
    assert_eq!(good, Ok(Mode::Ticket(ticket().terms)));
    let expired = mode_of(&key, "loom", 2_000_000, Bare::Refuse).unwrap_err();
    assert_eq!(expired, Refusal::Ticket(ticket::Refusal::Expired));
    assert_eq!(expired.outcome(), Outcome::Unknown);
    let foreign = mode_of(&key, "ledgers", 1_500_000, Bare::Refuse).unwrap_err();
    assert_eq!(foreign, Refusal::Ticket(ticket::Refusal::Foreign));
    assert_eq!(foreign.outcome(), Outcome::NotRun);
    let other = Signer::new(b"another secret").sign(&ticket());
    let forged = mode_of(&other, "loom", 1_500_000, Bare::Refuse).unwrap_err();
    assert_eq!(forged, Refusal::Ticket(ticket::Refusal::Forged));
}

#[test]
fn keys_that_carry_their_time_are_refused_when_they_are_old() {
    let made = 1_700_000_000;
    let uuid = Uuid::new_v7(Timestamp::from_unix(NoContext, made, 0));
    let key = Key::new(uuid.to_string());
    let options = Options::default();
    let made = made * 1000;
    let lifetime = u64::try_from(options.lifetime.as_millis()).unwrap();
    let skew = u64::try_from(options.skew.as_millis()).unwrap();
    let at = |ms| mode_of(&key, "loom", ms, Bare::Refuse);
    assert_eq!(at(made + lifetime - 1), Ok(Mode::Claim));
    assert_eq!(at(made + lifetime), Err(Refusal::Stale));
    assert_eq!(at(made - skew), Ok(Mode::Claim));
    assert_eq!(at(made - skew - 1), Err(Refusal::Early));
    assert_eq!(Refusal::Stale.outcome(), Outcome::Unknown);
    let bare = Key::new("order 17");
    assert_eq!(mode_of(&bare, "loom", made, Bare::Accept), Ok(Mode::Claim));
    let refused = mode_of(&bare, "loom", made, Bare::Refuse);
    assert_eq!(refused, Err(Refusal::Bare));
}

#[test]
fn only_the_shards_of_an_entry_that_leaves_change_their_owner() {
    let mut live: Vec<Process> = (0..9).map(|n| Process::new(format!("entry {n}"))).collect();
    let before: Vec<_> = (0..64).map(|s| owner::owner(s, &live).cloned()).collect();
    let gone = live.remove(4);
    for (shard, then) in (0..64).zip(before) {
        let now = owner::owner(shard, &live).cloned();
        assert!(then == now || then == Some(gone.clone()));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_changed_ticket_is_forged(at in 5usize..200, byte in 33u8..127) {
        let key = signer().sign(&ticket());
        let mut text = key.as_str().as_bytes().to_vec();
        let at = at % (text.len() - 5) + 5;
        prop_assume!(text[at] != byte);
        text[at] = byte;
        let key = Key::new(String::from_utf8(text).unwrap());
        let checked = signer().check(&key, &"loom".into(), 1_500_000);
        prop_assert_eq!(checked, Err(ticket::Refusal::Forged));
    }
}

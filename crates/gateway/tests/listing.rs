//! Listings end whatever the store answers.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_gateway::listing::{Cut, Listing, Pages, Step};
use cactusnotch_gateway::store::{Answer, Change, Error, Item, Kind, Unreadable};
use cactusnotch_position::{Era, Position};
use http::StatusCode;
use proptest::prelude::*;

const KIND: Kind = Kind::Evacuations;
/// More pages than any listing has.
const ENDLESS: u32 = 1_000_000;

fn change(name: &str) -> Change {
    Change {
        name: name.to_owned(),
        item: Ok(Some(Item::Evacuation)),
    }
}

fn page(names: &[&str], more: bool) -> Answer {
    Answer {
        changes: names.iter().map(|name| change(name)).collect(),
        position: Position::new(Era(0), 7),
        more,
    }
}

/// Lists from a store that gives `answer` for the number of the page and the name to go on after.
fn list(
    mut answer: impl FnMut(u32, Option<&str>) -> Result<Answer, Error>,
) -> (u32, Result<Listing, Error>) {
    let start = clock::now();
    let mut pages = Pages::new(KIND, false, start);
    for number in 1..ENDLESS {
        let page = answer(number, pages.after());
        match pages.add(page, start) {
            Step::Next(next) => pages = next,
            Step::End(result) => return (number, result),
        }
    }
    panic!("the listing has no end");
}

fn names(listing: &Listing) -> Vec<&str> {
    listing
        .changes
        .iter()
        .map(|change| change.name.as_str())
        .collect()
}

/// Guards against a page that is asked for without end, since it ends where the last one did.
#[test]
fn a_page_that_comes_again_ends_the_listing() {
    let (calls, result) = list(|_, _| Ok(page(&["a", "b"], true)));
    let listing = result.expect("what was read is of use");
    assert_eq!((calls, &listing.cut), (2, &Some(Cut::Repeated { page: 2 })));
    assert_eq!(names(&listing), ["a", "b", "a", "b"]);
    assert!(!listing.suffices(KIND));
}

/// Guards against pages in a circle.
#[test]
fn pages_in_a_circle_end_the_listing() {
    let circle = ["a", "b", "c"];
    let (calls, result) = list(|number, _| Ok(page(&[circle[number as usize % 3]], true)));
    assert_eq!(calls, 4);
    assert_eq!(
        result.expect("some of it").cut,
        Some(Cut::Repeated { page: 4 })
    );
}

/// Guards against a store that has more for ever, without a name to go on after.
#[test]
fn pages_without_a_name_end_the_listing() {
    let (calls, result) = list(|number, _| match number {
        1 => Ok(page(&["a"], true)),
        _ => Ok(page(&[], true)),
    });
    let listing = result.expect("what was read is of use");
    assert_eq!((calls, &listing.cut), (2, &Some(Cut::Nameless { page: 2 })));
    assert_eq!(names(&listing), ["a"]);
    let (calls, result) = list(|_, _| Ok(page(&["", ""], true)));
    assert_eq!(
        (calls, result.expect("nothing").cut),
        (1, Some(Cut::Nameless { page: 1 }))
    );
}

/// Guards against a process that keeps names without end.
#[test]
fn new_names_without_end_end_the_listing() {
    let (calls, result) = list(|number, _| Ok(page(&[&format!("{number:09}")], true)));
    assert!(
        matches!(result.expect("some of it").cut, Some(Cut::Bound { .. })),
        "{calls}"
    );
    let long = "n".repeat(1 << 20);
    let (calls, result) = list(|number, _| Ok(page(&[&format!("{number}{long}")], true)));
    let listing = result.expect("some of it");
    assert!(matches!(listing.cut, Some(Cut::Bound { .. })), "{calls}");
    assert!(names(&listing).iter().map(|name| name.len()).sum::<usize>() < 32 << 20);
}

/// Guards against an agent that does nothing else while a slow store answers page after page.
#[test]
fn a_slow_listing_ends() {
    let start = clock::now();
    let after = |pages: u32| -> Instant { start + Duration::from_secs(1) * pages };
    let mut pages = Pages::new(KIND, true, start);
    for number in 1..ENDLESS {
        let page = page(&[&number.to_string()], true);
        match pages.add(Ok(page), after(number)) {
            Step::Next(next) => pages = next,
            Step::End(result) => {
                let cut = result.expect("some of it").cut;
                assert!(matches!(cut, Some(Cut::Bound { pages: 10, .. })), "{cut:?}");
                return;
            }
        }
    }
}

/// Guards against objects that are lost, or a service that is, since the store refuses a page.
#[test]
fn a_page_that_is_refused_leaves_the_pages_before_it() {
    let refused = |status| {
        list(move |number, _| match number {
            1 => Ok(page(&["a"], true)),
            _ => Err(Error::Refused(status)),
        })
        .1
    };
    let listing = refused(StatusCode::BAD_REQUEST).expect("what was read is of use");
    assert!(matches!(listing.cut, Some(Cut::Refused { page: 2, .. })));
    assert_eq!(names(&listing), ["a"]);
    for status in [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ] {
        refused(status).expect_err("the store serves no call");
    }
    let (_, first) = list(|_, _| Err(Error::Refused(StatusCode::BAD_REQUEST)));
    first.expect_err("nothing was read");
}

/// Guards against pages of two eras in one listing.
#[test]
fn a_store_that_comes_back_between_two_pages_fails_the_listing() {
    let (_, result) = list(|number, _| {
        let mut page = page(&[&number.to_string()], true);
        page.position = Position::new(Era(u64::from(number)), 7);
        Ok(page)
    });
    assert!(matches!(result, Err(Error::HistoryGone)));
}

/// Guards against an object without a name that hides those after it.
#[test]
fn a_listing_goes_on_after_the_last_object_with_a_name() {
    let unnamed = || Change {
        name: String::new(),
        item: Err(Unreadable {
            kind: KIND,
            detail: "no name".to_owned(),
        }),
    };
    let (_, result) = list(|_, after| match after {
        None => {
            let mut first = page(&["a"], true);
            first.changes.push(unnamed());
            Ok(first)
        }
        Some(after) => {
            assert_eq!(after, "a");
            Ok(page(&["b"], false))
        }
    });
    let listing = result.expect("it is complete");
    assert_eq!(names(&listing), ["a", "", "b"]);
    assert_eq!(listing.cut, None);
}

/// Guards against a target that is longer than any server reads, and that hides the objects after it.
#[test]
fn a_listing_goes_on_after_a_name_that_is_too_long() {
    for long in ["é".repeat(500_000), "n".repeat(1 << 20)] {
        let (_, result) = list(|_, after| match after {
            None => Ok(page(&[&long], true)),
            Some(after) => {
                assert!(after.len() < 2_100 && after > long.as_str());
                Ok(page(&["z"], false))
            }
        });
        assert_eq!(result.expect("it is complete").cut, None);
    }
}

proptest! {
    /// Guards against objects that are passed over: any names, in pages of any size, by any order
    /// that the store keeps to.
    #[test]
    fn a_sound_listing_is_complete(
        mut all in prop::collection::btree_set(".{1,12}", 1..40).prop_map(Vec::from_iter),
        size in 1_usize..7,
        turn in any::<bool>(),
    ) {
        if turn {
            all.reverse();
        }
        let (_, result) = list(|_, after| {
            let from = after.map_or(0, |after| {
                all.iter().position(|name| name == after).expect("it was listed") + 1
            });
            let names: Vec<_> = all[from..].iter().take(size).map(String::as_str).collect();
            Ok(page(&names, from + names.len() < all.len()))
        });
        let listing = result.expect("it is complete");
        prop_assert_eq!(names(&listing), all.iter().map(String::as_str).collect::<Vec<_>>());
        prop_assert!(listing.cut.is_none());
    }
}

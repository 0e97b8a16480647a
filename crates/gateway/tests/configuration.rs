//! Lookup of routes, weights and keys in a configuration.

use std::time::Duration;

use cactusnotch_gateway::Configuration;
use cactusnotch_gateway::configuration::{Limits, Organisation, Parts};
use cactusnotch_gateway::route::{Backend, RetryPolicy, Route};

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        retry_policy: RetryPolicy::Idempotent,
        streaming: false,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        max_event_gap: None,
        priority: 1,
        max_attempts: 2,
        anonymous: false,
        allowed_regions: Vec::new(),
        backends: vec![Backend {
            service: "s".to_owned(),
            weight: 1,
        }],
    }
}

fn configuration(routes: Vec<Route>) -> Configuration {
    let limits = Limits {
        head_bytes: 16_384,
        body_bytes: 1 << 20,
        head_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
    };
    let organisation = Organisation {
        allowed_regions: Vec::new(),
        name: "o".to_owned(),
        priority: None,
    };
    let organisations = Some(vec![(
        organisation,
        vec!["key".to_owned(), "old".to_owned()],
    )]);
    Configuration::new(Parts {
        version: 1,
        limits,
        routes,
        services: Vec::new(),
        organisations,
    })
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let known = configuration(vec![
        route("a", "/"),
        route("a", "/x/"),
        route("a", "/x/y/"),
        route("b", "/x/"),
    ]);
    let found = |host, path| known.route(host, path).map(|route| route.name.clone());
    assert_eq!(found("a", "/x/y/z").as_deref(), Some("a/x/y/"));
    assert_eq!(found("a", "/x/yz").as_deref(), Some("a/x/"));
    assert_eq!(found("a", "/xy").as_deref(), Some("a/"));
    assert_eq!(found("b", "/x").as_deref(), None);
    assert_eq!(found("c", "/x/").as_deref(), None);
}

#[test]
fn two_thousand_routes_are_each_found() {
    let routes =
        (0..2_000).map(|number| route(&format!("h{}", number % 40), &format!("/p{number}/q/")));
    let known = configuration(routes.collect());
    for number in 0..2_000 {
        let path = format!("/p{number}/q/r/s");
        let found = known
            .route(&format!("h{}", number % 40), &path)
            .expect("the route exists");
        assert_eq!(found.prefix, format!("/p{number}/q/"));
    }
}

#[test]
fn keys_belong_to_organisations_and_are_needed_unless_a_route_is_open() {
    let mut open = route("a", "/open/");
    open.anonymous = true;
    let known = configuration(vec![route("a", "/"), open]);
    assert_eq!(
        known.organisation("old").map(|o| o.name.as_str()),
        Some("o")
    );
    assert_eq!(known.organisation("ol"), None);
    assert!(
        known
            .route("a", "/")
            .is_some_and(|route| known.needs_key(route))
    );
    assert!(
        known
            .route("a", "/open/1")
            .is_some_and(|route| !known.needs_key(route))
    );
}

#[test]
fn requests_are_split_by_weight() {
    let mut split = route("a", "/");
    split.backends = vec![
        Backend {
            service: "s".to_owned(),
            weight: 90,
        },
        Backend {
            service: "t".to_owned(),
            weight: 10,
        },
    ];
    let draws = (0..1_000_u32).map(|part| u32::MAX / 1_000 * part);
    let first = draws
        .filter(|&draw| split.service(draw) == Some("s"))
        .count();
    assert!((899..=901).contains(&first), "{first} of 1,000 requests");
}

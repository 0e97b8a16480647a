//! The plain service and the list of hosts.

mod wait;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use cactusnotch_standins::hosts::{self, Host, Hosts, State};
use cactusnotch_standins::service::{self, Service};
use wait::until;

fn post(service: &Service, path: &str, key: &str) -> Result<String, ureq::Error> {
    ureq::post(format!("http://{}{path}", service.address()))
        .header("idempotency-key", key)
        .send("wool")?
        .body_mut()
        .read_to_string()
}

#[test]
fn a_repeated_order_is_placed_twice_and_counted() {
    let service = Service::start(&service::Options::default()).unwrap();
    assert_eq!(post(&service, "/desk/echo", "e").unwrap(), "wool");
    assert_eq!(post(&service, "/orders", "k").unwrap(), "{\"order\":1}");
    service.lose_replies(1);
    assert!(post(&service, "/orders", "k").is_err());
    assert_eq!((service.starts("k"), service.orders()), (2, 2));
    assert!(service.runs().iter().all(|run| run.completed));
}

#[test]
fn an_order_is_placed_although_its_caller_went_away() {
    let options = service::Options {
        delay: Duration::from_millis(20),
        ..service::Options::default()
    };
    let service = Service::start(&options).unwrap();
    let mut caller = TcpStream::connect(service.address()).unwrap();
    write!(
        caller,
        "POST /orders HTTP/1.1\r\nhost: s\r\ncontent-length: 0\r\n\r\n"
    )
    .unwrap();
    until(|| !service.runs().is_empty());
    drop(caller);
    until(|| service.orders() > 0);
    assert!(service.runs()[0].completed);
}

#[test]
fn the_list_of_hosts_lags() {
    let host = Host {
        host: "h1".into(),
        data_centre: "d1".into(),
        address: ([127, 0, 0, 1], 80).into(),
        state: State::Live,
    };
    for (lag, told) in [
        (Duration::from_hours(1), "live"),
        (Duration::ZERO, "leaving"),
    ] {
        let hosts = Hosts::start(&hosts::Options {
            hosts: vec![host.clone()],
            lag,
            ..hosts::Options::default()
        })
        .unwrap();
        hosts.mark(&host.host, State::Leaving);
        let url = format!("http://{}/hosts", hosts.address());
        let mut response = ureq::get(url).call().unwrap();
        let list: serde_json::Value = response.body_mut().read_json().unwrap();
        assert_eq!(list[0]["state"], told);
        assert_eq!(hosts.hosts()[0].state, State::Leaving);
    }
}

//! Accepting connections and passing each one on.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::net::{TcpListener, TcpStream};

use super::control::{Accept, Direction, Shared};
use super::pump::{self, Pump};

/// Accepts connections for as long as the proxy runs.
pub(crate) async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut control = shared.control.subscribe();
    let mut number = 0;
    loop {
        drop(
            control
                .wait_for(|control| control.accept != Accept::Ignore)
                .await,
        );
        let accepted = tokio::select! {
            biased;
            _ = control.wait_for(|control| control.accept == Accept::Ignore) => continue,
            accepted = listener.accept() => accepted,
        };
        let Ok((client, _)) = accepted else {
            continue;
        };
        if control.borrow().accept == Accept::Refuse {
            shared.count(|counts| counts.refused += 1);
            continue;
        }
        number += 1;
        tokio::spawn(pass(client, Arc::clone(&shared), number));
    }
}

/// Passes one connection on until it ends or is broken off.
async fn pass(client: TcpStream, shared: Arc<Shared>, number: u64) {
    let mut control = shared.control.subscribe();
    let (target, spread, cuts) = {
        let control = control.borrow();
        (control.target, control.spread, control.cuts)
    };
    let Ok(server) = TcpStream::connect(target).await else {
        shared.count(|counts| counts.refused += 1);
        return;
    };
    shared.count(|counts| counts.accepted += 1);
    drop(client.set_nodelay(true));
    drop(server.set_nodelay(true));
    let mut random = StdRng::seed_from_u64(shared.seed ^ number);
    let extra = up_to(&mut random, spread);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let pump = |direction, random| Pump {
        shared: Arc::clone(&shared),
        control: shared.control.subscribe(),
        direction,
        extra,
        random,
    };
    let up = pump(Direction::Up, StdRng::from_rng(&mut random));
    let down = pump(Direction::Down, StdRng::from_rng(&mut random));
    let both = async {
        tokio::try_join!(
            pump::run(up, client_read, server_write),
            pump::run(down, server_read, client_write),
        )
    };
    tokio::select! {
        _ = both => {}
        _ = control.wait_for(|control| control.cuts != cuts) => {
            shared.count(|counts| counts.cut += 1);
        }
    }
}

/// Draws a time of at most `limit`.
pub(crate) fn up_to(random: &mut StdRng, limit: Duration) -> Duration {
    limit.mul_f64(random.random_range(0.0..=1.0))
}

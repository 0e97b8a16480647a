//! Links between two processes of one cluster.

mod common;

use cactusnotch_link::{Link, Listener, dial};
use common::options;

#[tokio::test]
async fn messages_arrive_whole_and_in_order() {
    let mut listener = Listener::<Vec<u64>>::bind("127.0.0.1:0", options("agent"))
        .await
        .unwrap();
    let link: Link<Vec<u64>> = dial(listener.address(), &options("entry")).await.unwrap();
    let accepted = listener.accept().await.unwrap().unwrap();
    assert_eq!(accepted.peer().process.as_str(), "entry");
    assert_eq!(link.peer().process.as_str(), "agent");

    let (sender, _receiver) = link.split();
    let (_back, mut receiver) = accepted.split();
    let count = 5_000;
    let sending = tokio::spawn(async move {
        for number in 0..count {
            sender.send(&vec![number; 100]).await.unwrap();
        }
        assert_eq!(sender.stats().messages_in(), 0);
        sender.close("done").await;
        sender.closed().await
    });
    for number in 0..count {
        let message = receiver.recv().await.unwrap().unwrap();
        assert_eq!(message, vec![number; 100]);
    }
    assert!(receiver.recv().await.is_none());
    assert_eq!(
        receiver.closed().await.to_string(),
        "closed by the peer: done"
    );
    assert_eq!(sending.await.unwrap().to_string(), "closed here: done");
    assert_eq!(receiver.stats().messages_in(), count);
    assert!(receiver.stats().bytes_in() > count * 100);
}

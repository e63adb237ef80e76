//! Calls over real sockets, and their authentication.

use std::time::Duration;

use filbertsail_wire::{
    Frame,
    frame::{Done, Hello, Hint, Token},
    link::{
        Error,
        auth::{Key, Refusal, Verifier, sign_call, sign_hello, verify_call},
        client::Client,
        server::{Handler, Sender, serve},
    },
};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
};
use tokio_util::sync::CancellationToken;

#[derive(Clone)]
struct Echo;

impl Handler for Echo {
    async fn handle(&self, caller: Hello, request: Frame, mut replies: Sender) {
        if let Frame::Hint(Hint { version }) = request {
            for index in 0..u32::try_from(version).unwrap_or(0) {
                let text = caller.name.repeat(1_000);
                let token = Token { index, text, weight_version: version };
                replies.send(token).await.expect("caller listens");
            }
        }
        replies.send(Done).await.expect("caller listens");
    }
}

fn hello() -> Hello {
    Hello {
        protocol: 1,
        name: "gateway-1".to_owned(),
        incarnation: 1,
        zone: "perth-a".to_owned(),
        address: "127.0.0.1:1".parse().expect("address"),
        sent_at_ms: 0,
        nonce: [0; 16],
    }
}

async fn start() -> (std::net::SocketAddr, CancellationToken) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("address");
    let stop = CancellationToken::new();
    tokio::spawn(serve(listener, Key::new(vec![1; 32]), Echo, stop.clone()));
    (address, stop)
}

/// Guards against replies that stall when the flow-control window is exhausted.
#[tokio::test]
async fn can_stream_replies_beyond_the_window() {
    let (address, _stop) = start().await;
    let client = Client::new(address, &Key::new(vec![1; 32]), &hello()).expect("client");
    let mut replies = client.call(&Hint { version: 300 }.into()).await.expect("call");
    let mut tokens = 0;
    while let Some(frame) = replies.next().await.expect("reply") {
        match frame {
            Frame::Token(token) => {
                assert_eq!(token.index, tokens);
                tokens += 1;
            }
            other => assert_eq!(other, Frame::Done(Done)),
        }
    }
    assert_eq!(tokens, 300);
}

/// Guards against replying to a caller with a different key.
#[tokio::test]
async fn can_reject_a_caller_with_another_key() {
    let (address, _stop) = start().await;
    let client = Client::new(address, &Key::new(vec![2; 32]), &hello()).expect("client");
    let error = client.call_unary(&Hint { version: 1 }.into()).await.expect_err("refused");
    assert!(matches!(error, filbertsail_wire::link::Error::Refused(401)), "{error}");
}

/// Guards against a recorded identity that is replayed on a second connection.
#[test]
fn can_reject_a_replayed_identity() {
    let (key, verifier) = (Key::new(vec![1; 32]), Verifier::default());
    let now = 1_000_000;
    let identity = |sent_at_ms, byte| {
        sign_hello(&key, &Hello { sent_at_ms, nonce: [byte; 16], ..hello() }).expect("signs")
    };
    assert!(verifier.verify(&key, &identity(now, 1), now).is_ok());
    assert_eq!(verifier.verify(&key, &identity(now, 1), now + 59_000), Err(Refusal::Replay));
    assert_eq!(verifier.verify(&key, &identity(now, 1), now + 120_000), Err(Refusal::Replay));
    assert!(verifier.verify(&key, &identity(now, 2), now).is_ok());
    let stranger = Key::new(vec![2; 32]);
    assert_eq!(verifier.verify(&stranger, &identity(now, 3), now), Err(Refusal::Stranger));
    assert_eq!((verifier.refusals(Refusal::Replay), verifier.refusals(Refusal::Stranger)), (2, 1));
}

/// Guards against a call that is replayed with another number or modified in transit.
#[test]
fn can_bind_a_code_to_number_and_request() {
    let (key, nonce) = (Key::new(vec![1; 32]), [9; 16]);
    let text = sign_call(&key, &nonce, 7, b"request");
    let code = text.strip_prefix("7-").expect("number");
    assert!(verify_call(&key, &nonce, 7, b"request", code));
    assert!(!verify_call(&key, &nonce, 8, b"request", code));
    assert!(!verify_call(&key, &nonce, 7, b"requesT", code));
    assert!(!verify_call(&key, &[8; 16], 7, b"request", code));
}

/// Guards against concurrent calls that arrive out of order on one connection and count as replays.
#[tokio::test]
async fn can_call_from_many_tasks_concurrently() {
    let (address, _stop) = start().await;
    let client = Client::new(address, &Key::new(vec![1; 32]), &hello()).expect("client");
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..200 {
        let client = client.clone();
        calls.spawn(async move { client.call_unary(&Hint { version: 0 }.into()).await });
    }
    for reply in calls.join_all().await {
        assert_eq!(reply.expect("reply"), Frame::Done(Done));
    }
}

/// Address of a proxy to `target`, and a switch that makes its present connections silent: they
/// stay open and deliver nothing in either direction, while new ones work.
async fn start_proxy(target: std::net::SocketAddr) -> (std::net::SocketAddr, watch::Sender<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("address");
    let (silence, silent) = watch::channel(0);
    tokio::spawn(async move {
        for number in 1.. {
            let (mut near, _) = listener.accept().await.expect("accepts");
            let mut far = TcpStream::connect(target).await.expect("connects");
            let mut silent = silent.clone();
            tokio::spawn(async move {
                let has_ended = tokio::select! {
                    _ = copy_bidirectional(&mut near, &mut far) => true,
                    _ = silent.wait_for(|silent| *silent >= number) => false,
                };
                if !has_ended {
                    std::future::pending::<()>().await;
                }
            });
        }
    });
    (address, silence)
}

/// Guards against a connection that has gone silent and is used for good: every call through it
/// fails until the process restarts.
#[tokio::test]
async fn can_replace_a_silent_connection() {
    let (target, _stop) = start().await;
    let (address, silence) = start_proxy(target).await;
    let client = Client::new(address, &Key::new(vec![1; 32]), &hello()).expect("client");
    let limit = Duration::from_millis(300);
    let request = Hint { version: 0 }.into();
    let call = || client.call_unary_within(&request, limit);
    assert!(call().await.is_ok());
    silence.send_replace(1);
    assert!(matches!(call().await, Err(Error::TimedOut)));
    assert!(call().await.is_ok(), "the silent connection is still in use");
}

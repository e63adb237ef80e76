//! Calls over real sockets.

use filbertsail_wire::{
    Frame,
    frame::{Done, Hello, Hint, Token},
    link::{
        auth::Key,
        client::Client,
        server::{Handler, Sender, serve},
    },
};
use tokio::net::TcpListener;
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

/// Guards against replies that stall once the flow-control window is used up.
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

/// Guards against strangers: a caller with another key gets no answer.
#[tokio::test]
async fn can_refuse_a_caller_with_another_key() {
    let (address, _stop) = start().await;
    let client = Client::new(address, &Key::new(vec![2; 32]), &hello()).expect("client");
    let error = client.ask(&Hint { version: 1 }.into()).await.expect_err("refused");
    assert!(matches!(error, filbertsail_wire::link::Error::Refused(401)), "{error}");
}

//! Verdicts at backend servers that speak HTTP/2.

mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use common::{Gateway, inventory, verdict};
use h2::{
    Reason,
    server::{self, Connection, SendResponse},
};
use http::{Method, Request, Response};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const OPTIONS: &str = "reports_load = false\nhttp2 = true";

#[derive(Clone, Copy, Debug)]
enum Act {
    Answer,
    /// Refuses the first stream of each connection.
    RefuseFirst,
    /// Refuses every stream.
    RefuseAll,
    /// Resets each stream after it arrived.
    Reset,
    /// Ends the first connection by a GOAWAY that leaves its stream out.
    GoAway,
    /// Breaks the connection after a stream arrived.
    Break,
}

async fn start(act: Act) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("address");
    let ran = Arc::new(AtomicUsize::new(0));
    let count = ran.clone();
    tokio::spawn(async move {
        for number in 0.. {
            let Ok((stream, _)) = listener.accept().await else { return };
            tokio::spawn(serve(stream, act, number, count.clone()));
        }
    });
    (address, ran)
}

/// Reads up to the first HEADERS frame and answers with a GOAWAY whose last stream is 0.
async fn leave_out(mut stream: TcpStream) {
    const PREFACE_BYTES: usize = 24;
    const HEADERS: u8 = 1;
    const SETTINGS_FRAME: [u8; 9] = [0, 0, 0, 4, 0, 0, 0, 0, 0];
    const GOAWAY_FRAME: [u8; 17] = [0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
    stream.write_all(&SETTINGS_FRAME).await.expect("open");
    stream.read_exact(&mut [0; PREFACE_BYTES]).await.expect("preface");
    loop {
        let mut head = [0; 9];
        stream.read_exact(&mut head).await.expect("frame");
        let length = usize::from(head[1]) * 256 + usize::from(head[2]);
        stream.read_exact(&mut vec![0; length]).await.expect("payload");
        if head[3] == HEADERS {
            break;
        }
    }
    stream.write_all(&GOAWAY_FRAME).await.expect("open");
    // The peer closes the connection.
    let _ = stream.read_to_end(&mut Vec::new()).await;
}

async fn serve(stream: TcpStream, act: Act, number: usize, ran: Arc<AtomicUsize>) {
    if let (Act::GoAway, 0) = (act, number) {
        return leave_out(stream).await;
    }
    let Ok(mut connection): Result<Connection<TcpStream, Bytes>, _> =
        server::handshake(stream).await
    else {
        return;
    };
    let mut streams = 0;
    while let Some(Ok((request, mut response))) = connection.accept().await {
        streams += 1;
        match act {
            Act::RefuseAll => response.send_reset(Reason::REFUSED_STREAM),
            Act::RefuseFirst if streams == 1 => response.send_reset(Reason::REFUSED_STREAM),
            Act::Reset => {
                ran.fetch_add(1, Ordering::SeqCst);
                response.send_reset(Reason::INTERNAL_ERROR);
            }
            Act::Break => {
                ran.fetch_add(1, Ordering::SeqCst);
                return;
            }
            _ => {
                ran.fetch_add(1, Ordering::SeqCst);
                answer(&request, &mut response);
            }
        }
    }
}

fn answer(request: &Request<h2::RecvStream>, response: &mut SendResponse<Bytes>) {
    let id = request.headers()["filbertsail-request-id"].clone();
    let head = Response::builder().header("filbertsail-request-id", id).body(()).expect("head");
    let mut stream = response.send_response(head, false).expect("open");
    stream.send_data("done".into(), true).expect("open");
}

/// Guards against requests that h2 proves unprocessed but that count as a possible run.
#[tokio::test]
async fn can_retry_streams_that_were_refused_or_left_out() {
    for act in [Act::Answer, Act::RefuseFirst, Act::GoAway] {
        let (address, ran) = start(act).await;
        let gateway = Gateway::start(inventory("application", OPTIONS, &[address])).await;
        for turn in 0..3 {
            let response = gateway.call(Method::POST, "/s/svc/orders", "soap").await;
            let text = String::from_utf8_lossy(response.body()).into_owned();
            assert_eq!((response.status().as_u16(), &*text), (200, "done"), "{act:?} {turn}");
        }
        assert_eq!(ran.load(Ordering::SeqCst), 3, "{act:?}");
    }
}

/// Guards against a refusal that counts as a run once the attempts are used up.
#[tokio::test]
async fn can_prove_that_a_refused_stream_did_not_run() {
    let (address, ran) = start(Act::RefuseAll).await;
    let gateway = Gateway::start(inventory("application", OPTIONS, &[address])).await;
    let response = gateway.call(Method::POST, "/s/svc/orders", "soap").await;
    assert_eq!((response.status().as_u16(), &*verdict(&response)), (503, "not_run"));
    assert_eq!(ran.load(Ordering::SeqCst), 0);
}

/// Guards against a second order after a stream or connection that broke with the first.
#[tokio::test]
async fn can_leave_a_reset_stream_alone() {
    for act in [Act::Reset, Act::Break] {
        let (address, ran) = start(act).await;
        let gateway = Gateway::start(inventory("application", OPTIONS, &[address])).await;
        let response = gateway.call(Method::POST, "/s/svc/orders", "soap").await;
        assert_eq!(response.status(), 502, "{act:?}");
        assert_eq!(verdict(&response), "may_have_run", "{act:?}");
        assert_eq!(ran.load(Ordering::SeqCst), 1, "{act:?}");
    }
}

//! Parser of event streams.

use filbertsail_entry::event::{Event, Malformed, Parser};
use proptest::{collection::vec, prelude::proptest, test_runner::Config};

const FIELD: &str = "x-version";

fn parse(parts: &[&[u8]]) -> Result<Vec<Event>, Malformed> {
    let mut parser = Parser::new(FIELD);
    let mut events = Vec::new();
    for part in parts {
        parser.push(part);
        while let Some(event) = parser.take()? {
            events.push(event);
        }
    }
    Ok(events)
}

fn stream(count: usize) -> String {
    (1..=count)
        .map(|id| match id % 5 {
            0 => format!("X-Version: {id}\nid: {id}\ndata: a{id}\n\n"),
            1 => format!("id:{id}\r\ndata:a{id}\r\n\r\n"),
            _ => format!("id: {id}\ndata: a{id}\n\n"),
        })
        .collect()
}

proptest! {
    #![proptest_config(Config { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..Config::with_cases(200) })]

    /// Guards against events that are lost, duplicated or merged, depending on how the bytes are
    /// split.
    #[test]
    fn can_parse_bytes_split_anywhere(count in 1_usize..12, cuts in vec(0_usize..400, 0..20)) {
        let text = stream(count);
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(text.len())).collect();
        cuts.extend([0, text.len()]);
        cuts.sort_unstable();
        let parts: Vec<&[u8]> =
            cuts.windows(2).map(|pair| &text.as_bytes()[pair[0]..pair[1]]).collect();
        let events = parse(&parts).expect("well formed");
        let ids: Vec<u64> = events.iter().filter_map(|event| event.id).collect();
        assert_eq!(ids, (1..=count as u64).collect::<Vec<_>>());
        for event in events {
            let id = event.id.expect("numbered");
            assert_eq!(event.data, format!("a{id}"));
            assert_eq!(event.version, (id % 5 == 0).then_some(id));
        }
    }

    /// Guards against a panic or an endless loop on arbitrary bytes.
    #[test]
    fn can_parse_arbitrary_bytes(bytes in vec(proptest::num::u8::ANY, 0..600)) {
        let _ = parse(&[&bytes]);
    }
}

/// Guards against returning an event that was cut off by a broken connection.
#[test]
fn can_omit_an_incomplete_event() {
    let mut parser = Parser::new(FIELD);
    parser.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n");
    assert_eq!(parser.take().map(|event| event.and_then(|event| event.id)), Ok(Some(1)));
    assert_eq!(parser.take(), Ok(None));
    assert!(!parser.is_empty());
}

/// Guards against bytes of another protocol in the text of an item.
#[test]
fn can_reject_malformed_events() {
    for bytes in [&b"HTTP/1.1 200 OK\n\n"[..], b"id: x\ndata: a\n\n", b"data: \xff\n\n"] {
        assert_eq!(parse(&[bytes]), Err(Malformed), "{bytes:?}");
    }
}

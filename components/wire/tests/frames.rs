//! Encoding of every frame kind, and decoding of arbitrary bytes.

use bytes::{BufMut, BytesMut};
use filbertsail_errors::Verdict;
use filbertsail_wire::{
    Frame, codec,
    frame::{
        Batch, Condition, Config, Digest, Dispatch, Done, Fault, Fetch, Finish, Hint, Label,
        Member, Notice, Offer, Order, Outcome, Progress, Pull, Role, Survey, Token, Worker,
        Workers,
    },
};
use proptest::{
    collection::vec,
    prelude::{any, prop_assert, prop_assert_eq, proptest},
    test_runner::{Config as Settings, RngSeed},
};

fn work_frames() -> Vec<Frame> {
    let dispatch = Dispatch {
        request_id: "r-1".to_owned(),
        service: "advisor-lm".to_owned(),
        team: "agronomy".to_owned(),
        trainer: "advisor".to_owned(),
        prompt: "when to feed".to_owned(),
        max_tokens: 300,
        priority: 2,
        deadline_ms: 60_000,
        min_version: Some(7),
        avoid: vec!["a-1".to_owned()],
    };
    let token = Token { index: 1, text: "now".to_owned(), weight_version: 8 };
    let labels = vec![Label { version: 7, from: 0, to: 3 }, Label { version: 8, from: 3, to: 5 }];
    let finish = Finish { worker: "a-2".to_owned(), tokens: 5, labels, text: "now, ok".to_owned() };
    let fault = Fault {
        code: "overloaded".to_owned(),
        message: "try later".to_owned(),
        verdict: Verdict::NotRun,
    };
    let order = Order {
        worker: "a-1".to_owned(),
        id: "o-1".to_owned(),
        load_version: 9,
        scope: "weights/advisor-lm".to_owned(),
        epoch: 4,
        life_ms: 5_000,
    };
    let outcome = Outcome { accepted: true, weight_version: Some(8), epoch: 4 };
    vec![
        dispatch.into(),
        token.into(),
        finish.into(),
        fault.into(),
        order.into(),
        outcome.into(),
        Survey { service: "advisor-lm".to_owned() }.into(),
        Workers { workers: vec![worker()] }.into(),
    ]
}

fn worker() -> Worker {
    Worker {
        name: "a-1".to_owned(),
        zone: "perth-a".to_owned(),
        live: true,
        leaving: false,
        running: 3,
        queued: 1,
        capacity: 8,
        weight_version: None,
        age_ms: 250,
    }
}

fn member() -> Member {
    Member {
        name: "gateway-1".to_owned(),
        role: Role::Gateway,
        zone: "perth-a".to_owned(),
        address: "10.0.0.1:7400".parse().expect("address"),
        incarnation: 1_700_000_000_000,
        revision: 3,
        condition: Condition::Suspect,
        draining: true,
        config_version: 12,
    }
}

fn control_frames() -> Vec<Frame> {
    let fetch = Fetch {
        trainer: "advisor".to_owned(),
        step: 5,
        version: 8,
        wait_ms: 1_000,
        cursor: Some("c".to_owned()),
    };
    let digest = Digest {
        members: vec![member()],
        full: true,
        view: 0x0123_4567_89ab_cdef,
        confirmed_age_ms: Some(900),
    };
    let config = Config {
        version: 12,
        digest: "ab12".to_owned(),
        text: "[deployment]".to_owned(),
        confirmed_age_ms: None,
    };
    vec![
        Notice { trainer: "advisor".to_owned(), step: 5 }.into(),
        Offer {
            trainer: "advisor".to_owned(),
            step: 6,
            object: "rounds/advisor/6/ab12".to_owned(),
            digest: "ab12".to_owned(),
            samples: 16,
        }
        .into(),
        fetch.into(),
        Batch { body: b"{}".to_vec() }.into(),
        Progress { ready: 10, wanted: 1_024 }.into(),
        digest.into(),
        Hint { version: 12 }.into(),
        Pull { have: 11 }.into(),
        config.into(),
        Done.into(),
    ]
}

/// Guards against a change of the encoding that daemons of older versions cannot decode.
#[test]
fn can_keep_the_bytes_of_every_frame() {
    let mut lines = Vec::new();
    for frame in work_frames().into_iter().chain(control_frames()) {
        let bytes = codec::encode(&frame).expect("encodes");
        assert_eq!(codec::decode(&mut BytesMut::from(&bytes[..])), Ok(Some(frame.clone())));
        let name = format!("{frame:?}");
        let name = name.split(['(', ' ']).next().unwrap_or_default().to_owned();
        lines.push(format!("{name} {}", hex::encode(&bytes)));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against failing on frames of a newer version with additional fields.
#[test]
fn can_ignore_bytes_after_the_known_fields() {
    for frame in work_frames().into_iter().chain(control_frames()) {
        let bytes = codec::encode(&frame).expect("encodes");
        let mut longer = BytesMut::new();
        longer.put_u32(u32::try_from(bytes.len() - 4 + 3).expect("short"));
        longer.put_slice(&bytes[4..]);
        longer.put_slice(&[1, 2, 3]);
        assert_eq!(codec::decode(&mut longer), Ok(Some(frame)));
    }
}

/// Guards against allocating memory for a long list that a short frame declares.
#[test]
fn can_reject_a_list_longer_than_its_frame() {
    let mut buffer = BytesMut::new();
    buffer.put_u32(2 + 5);
    buffer.put_u16(11);
    // Varint marker of a 32-bit length, then the length of 60 MiB.
    buffer.put_u8(252);
    buffer.put_u32(60 * 1024 * 1024);
    let error = codec::decode(&mut buffer).expect_err("refused");
    assert!(error.to_string().contains("LimitExceeded"), "{error}");
}

fn proptest_settings() -> Settings {
    Settings { cases: 2_000, rng_seed: RngSeed::Fixed(7), ..Settings::default() }
}

proptest! {
    #![proptest_config(proptest_settings())]

    /// Guards against a panic on arbitrary bytes.
    #[test]
    fn can_decode_arbitrary_bytes(kind in 0_u16..20, body in vec(any::<u8>(), 0..200)) {
        let mut buffer = BytesMut::new();
        buffer.put_u32(u32::try_from(body.len() + 2).expect("short"));
        buffer.put_u16(kind);
        buffer.put_slice(&body);
        let result = codec::decode(&mut buffer);
        prop_assert!(buffer.is_empty());
        if let Ok(Some(frame)) = result {
            let again = codec::encode(&frame).expect("encodes");
            prop_assert_eq!(codec::decode(&mut BytesMut::from(&again[..])), Ok(Some(frame)));
        }
    }

    /// Guards against a panic on a valid frame with modified bytes.
    #[test]
    fn can_decode_modified_frames(
        index in 0_usize..17,
        changes in vec((any::<usize>(), any::<u8>()), 1..6),
    ) {
        let frames: Vec<_> = work_frames().into_iter().chain(control_frames()).collect();
        let mut bytes = BytesMut::from(&codec::encode(&frames[index]).expect("encodes")[..]);
        for (position, value) in changes {
            let position = position % bytes.len();
            bytes[position] = value;
        }
        let length = bytes.len();
        while let Ok(Some(_)) = codec::decode(&mut bytes) {}
        prop_assert!(bytes.len() <= length);
    }
}

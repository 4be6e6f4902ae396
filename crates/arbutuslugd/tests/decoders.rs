//! Whatever bytes come in, a decoder of ours answers with a value or an error.
//!
//! A peer of another build, a broken object or a hostile caller must not take
//! a process down: what a decoder makes of noise, and of sound input with one
//! byte changed, is its own business, but it returns.

use entry::{parsing::Chat, session};
use journal::{audit, wire};
use proptest::prelude::*;
use settings::Settings;
use world::{contract::Customer, model::Version, money::Amount, object::Object, request::Key};

/// Cases of each property; fixed so that CI is the same every time.
const CASES: u32 = 256;

const OBJECTS: &str = include_str!("../../../examples/tubig/objects.yaml");
const SETTINGS: &str = include_str!("../../../examples/tubig/settings-pasig-1.yaml");
const CHAT: &str =
    r#"{"model":"summary","messages":[{"role":"user","content":"Sum up."}],"stream":true,"max_tokens":9}"#;

/// Feeds every decoder that takes text.
fn decode_text(text: &str) {
    let _ = Object::parse_file(text);
    let _ = Settings::parse(text);
    let _ = Amount::parse(text);
    let _ = Version::parse(text);
    let _ = Key::parse(text).map(|key| key.made_at());
    if let Ok(value) = serde_json::from_str(text) {
        let _ = Object::from_json(&value);
    }
    let keys = session::Keys::new(vec![b"key".to_vec()]).expect("a key");
    let customer = Customer::parse("club").expect("a name");
    let _ = session::parse(&keys, &customer, text);
}

/// Feeds every decoder that takes bytes.
fn decode_bytes(bytes: &[u8]) {
    let _ = wire::decode_request(bytes);
    let _ = wire::decode_reply(bytes);
    let _ = wire::decode_records(bytes);
    let _ = audit::records("journal/0/1", bytes);
    let _ = Chat::parse(bytes);
}

/// Sound input with one byte changed and the rest cut off somewhere.
fn spoilt(sound: &'static str) -> impl Strategy<Value = Vec<u8>> {
    (0..sound.len(), any::<u8>(), 0..=sound.len()).prop_map(|(at, byte, end)| {
        let mut bytes = sound.as_bytes().to_vec();
        bytes[at] = byte;
        bytes.truncate(end);
        bytes
    })
}

fn config() -> ProptestConfig {
    let seed = proptest::test_runner::RngSeed::Fixed(17);
    ProptestConfig { cases: CASES, rng_seed: seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn noise_is_refused_or_read(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        decode_bytes(&bytes);
        decode_text(&String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn spoilt_objects_are_refused_or_read(bytes in spoilt(OBJECTS)) {
        decode_text(&String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn spoilt_settings_are_refused_or_read(bytes in spoilt(SETTINGS)) {
        decode_text(&String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn spoilt_chats_are_refused_or_read(bytes in spoilt(CHAT)) {
        decode_bytes(&bytes);
    }
}

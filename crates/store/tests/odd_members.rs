//! Entries of the platform's list of instances that cannot be decoded, beside sound ones.

use std::net::SocketAddr;

use serde_json::value::RawValue;
use standin::objects::{self, Limits, Objects};
use store::{Handle, Priority, Settings, open};

/// Levels of nesting that a decoder which calls itself for each level does not survive.
const LEVELS: usize = 250_000;

const SOUND: &str = r#"{"name":"i1","role":"entry","state":"live"}"#;

async fn start() -> (objects::Handle, Handle) {
    let standin = Objects::bind(SocketAddr::from(([127, 0, 0, 1], 0)), Limits::none()).await.expect("a free port");
    let settings = Settings::new(standin.addr(), "us/1");
    (standin, open(settings))
}

fn raw(entry: &str) -> Box<RawValue> {
    RawValue::from_string(entry.to_owned()).expect("JSON")
}

fn nested() -> String {
    format!("{}{}", "[".repeat(LEVELS), "]".repeat(LEVELS))
}

async fn names(handle: &Handle) -> Vec<String> {
    let members = handle.instances(Priority::Config).await.expect("the list");
    members.into_iter().map(|member| member.name).collect()
}

/// An entry that ended the process, or hid the others, would keep it from following the list.
async fn check(entry: &str, expected: &[&str]) {
    let (standin, handle) = start().await;
    for entries in [[entry, SOUND], [SOUND, entry]] {
        standin.set_raw_instances(&entries.map(raw));
        let mut read = names(&handle).await;
        read.sort();
        assert_eq!(read, expected);
    }
}

macro_rules! odd {
    ($($name:ident: $entry:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            check(&$entry, &["i1"]).await;
        }
    )*};
}

odd! {
    null: "null";
    number: "7";
    number_too_large: "1e999999";
    text: "\"i2\"";
    list: r#"["i2","entry","live",1]"#;
    list_of_the_fields: r#"["i2","entry","live"]"#;
    nested_entry: nested();
    empty_object: "{}";
    without_a_state: r#"{"name":"i2","role":"entry"}"#;
    unknown_state: r#"{"name":"i2","role":"entry","state":"starting"}"#;
    unknown_role: r#"{"name":"i2","role":"standby","state":"live"}"#;
    name_that_is_no_text: r#"{"name":99999999999999999999999999,"role":"entry","state":"live"}"#;
    nested_name: format!(r#"{{"name":{},"role":"entry","state":"live"}}"#, nested());
    nested_state: format!(r#"{{"name":"i2","role":"entry","state":{}}}"#, nested());
    field_twice: r#"{"name":"i2","name":"i3","role":"entry","state":"live"}"#;
    half_of_a_surrogate_pair: r#"{"name":"\ud800","role":"entry","state":"live"}"#;
}

macro_rules! sound {
    ($($name:ident: $field:expr;)*) => {$(
        /// A field that nobody reads may have any value.
        #[tokio::test]
        async fn $name() {
            check(&format!(r#"{{"name":"i2","x":{},"role":"entry","state":"live"}}"#, $field), &["i1", "i2"]).await;
        }
    )*};
}

sound! {
    nested_unknown_field: nested();
    unknown_field_with_a_number_too_large: "1e999999";
    unknown_field_with_a_port_out_of_range: "\"10.0.0.1:70000\"";
}

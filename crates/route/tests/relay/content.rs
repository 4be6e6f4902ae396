//! Equality of the content identities of requests.

use route::relay::content::Content;

/// Each case has a name, two requests, and whether they are the same work.
macro_rules! cases {
    ($($name:ident: $one:expr, $other:expr => $same:expr;)*) => {$(
        #[test]
        fn $name() {
            let of = |(team, method, host, path, body): (Option<&str>, &str, &str, &str, &str)| {
                Content::of(team, method, host, path, body.as_bytes())
            };
            assert_eq!(of($one) == of($other), $same);
        }
    )*};
}

const ONE: (Option<&str>, &str, &str, &str, &str) = (Some("club"), "POST", "a.example", "/a/1", "sheet");

cases! {
    repeat_is_the_same: ONE, ONE => true;
    other_customer: ONE, (Some("tower"), ONE.1, ONE.2, ONE.3, ONE.4) => false;
    no_customer: ONE, (None, ONE.1, ONE.2, ONE.3, ONE.4) => false;
    other_method: ONE, (ONE.0, "PUT", ONE.2, ONE.3, ONE.4) => false;
    other_host: ONE, (ONE.0, ONE.1, "b.example", ONE.3, ONE.4) => false;
    other_path: ONE, (ONE.0, ONE.1, ONE.2, "/a/2", ONE.4) => false;
    other_body: ONE, (ONE.0, ONE.1, ONE.2, ONE.3, "sheets") => false;
    host_and_path_are_separated: (None, "GET", "a", "/b/c", ""), (None, "GET", "a/b", "/c", "") => false;
}

/// A body in blocks is the same work, also for instances that hold theirs in one piece.
#[test]
fn blocks_do_not_change_the_identity() {
    let body: Vec<u8> = (0..5_000).map(|number| u8::try_from(number % 251).unwrap()).collect();
    let whole = Content::of(ONE.0, ONE.1, ONE.2, ONE.3, &body);
    assert_eq!(whole.work, world::hash::rendezvous(world::hash::stable(b"POST\0a.example\0/a/1"), &body));
    for length in [1, 7, 240, 1_024, 4_999] {
        assert_eq!(Content::of_blocks(ONE.0, ONE.1, ONE.2, ONE.3, body.chunks(length)), whole);
    }
}

/// The hash of the work does not depend on the customer and the customer's hash is
/// separate, so nobody can find a body with which a request collides with one of another
/// customer.
#[test]
fn customers_have_separate_hashes() {
    let (club, tower) = (Content::of(ONE.0, "GET", "h", "/", b""), Content::of(Some("tower"), "GET", "h", "/", b""));
    assert_eq!(club.work, tower.work);
    assert_ne!(club.team, tower.team);
}

#[test]
fn displays_as_fixed_length_hexadecimal() {
    let content = Content { team: 1, work: 0xab };
    assert_eq!(content.to_string(), "0000000100000000000000ab");
    assert_eq!("0000000100000000000000ab".parse(), Ok(content));
}

/// Anybody may write an object of the kind under which refused requests are stored.
#[test]
fn malformed_texts_are_rejected() {
    for text in [
        "",
        "00",
        "0000000100000000000000a",
        "0000000100000000000000abc",
        "+0000001+0000000000000ab",
        "ä".repeat(12).as_str(),
    ] {
        assert!(text.parse::<Content>().is_err(), "{text}");
    }
}

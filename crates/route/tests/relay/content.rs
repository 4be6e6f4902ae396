//! What counts as the same request.

use route::relay::content::Content;

/// Names each case: two requests, and whether they are the same work.
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
    other_team: ONE, (Some("tower"), ONE.1, ONE.2, ONE.3, ONE.4) => false;
    no_team: ONE, (None, ONE.1, ONE.2, ONE.3, ONE.4) => false;
    other_method: ONE, (ONE.0, "PUT", ONE.2, ONE.3, ONE.4) => false;
    other_host: ONE, (ONE.0, ONE.1, "b.example", ONE.3, ONE.4) => false;
    other_path: ONE, (ONE.0, ONE.1, ONE.2, "/a/2", ONE.4) => false;
    other_body: ONE, (ONE.0, ONE.1, ONE.2, ONE.3, "sheets") => false;
    path_that_runs_into_the_host: (None, "GET", "a", "/b/c", ""), (None, "GET", "a/b", "/c", "") => false;
}

/// The work tells nothing of the team: nobody can find a body that collides with
/// another team's request as a whole.
#[test]
fn teams_stand_apart() {
    let (club, tower) = (Content::of(ONE.0, "GET", "h", "/", b""), Content::of(Some("tower"), "GET", "h", "/", b""));
    assert_eq!(club.work, tower.work);
    assert_ne!(club.team, tower.team);
}

#[test]
fn shows_as_hexadecimal_of_one_length() {
    let content = Content { team: 1, work: 0xab };
    assert_eq!(content.to_string(), "0000000100000000000000ab");
    assert_eq!("0000000100000000000000ab".parse(), Ok(content));
}

/// Anybody may write an object under the kind that refused requests are kept under.
#[test]
fn other_texts_name_no_content() {
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

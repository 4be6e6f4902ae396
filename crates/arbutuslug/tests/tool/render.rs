//! Tables for people, JSON and YAML for programs.

use arbutuslug::Exit;
use operator::{Bill, Member, Revision};
use world::{
    Timestamp,
    money::{Amount, Currency},
    object::Object,
    request,
};

use crate::fake::{Fake, State, member, run};

fn bill(key: &str, cost: u64, currency: &str) -> Bill {
    Bill {
        request: request::Id { customer: "tousuvool".parse().unwrap(), key: key.parse().unwrap() },
        version: None,
        cost: Amount(cost),
        currency: Currency::try_from(currency.to_owned()).unwrap(),
        attempts: 1,
        at: Timestamp(1_700_000_000_123),
    }
}

/// Runs a verb and compares its output, blanks at line ends aside.
async fn check(state: State, args: &[&str], expected: &str) {
    let fake = Fake::start(state).await;
    let ran = run(&[fake.address], args).await;
    assert_eq!(ran.exit, Exit::Done, "{}", ran.err);
    assert_eq!(ran.out.trim_end(), expected.trim_end(), "got:\n{}", ran.out);
}

#[tokio::test]
async fn bills_as_a_table() {
    let state =
        State { bills: vec![bill("a", 1_500_000_000, "EUR"), bill("launch-22", 20, "PHP")], ..State::default() };
    let expected = "\
TIME                      REQUEST    VERSION  COST        CURRENCY  ATTEMPTS
2023-11-14T22:13:20.123Z  a          -        1.50        EUR       1
2023-11-14T22:13:20.123Z  launch-22  -        0.00000002  PHP       1
2 bills, 1.50 EUR, 0.00000002 PHP";
    check(state, &["bills", "tousuvool"], expected).await;
}

#[tokio::test]
async fn bills_as_json() {
    let state = State { bills: vec![bill("a", 1_500_000_000, "EUR")], ..State::default() };
    let expected = r#"[{"request":{"customer":"tousuvool","key":"a"},"version":null,"cost":"1.50","currency":"EUR","attempts":1,"at":1700000000123}]"#;
    check(state, &["bills", "tousuvool", "-o", "json"], expected).await;
}

#[tokio::test]
async fn no_bill_is_no_error() {
    check(State::default(), &["bills", "tousuvool", "-o", "json"], "[]").await;
}

#[tokio::test]
async fn status_names_who_is_behind() {
    let address = "10.0.1.5:7102".parse().unwrap();
    let silent = Member { generation: None, silent: Some("no answer in time".into()), ..member("voru-1", 0, address) };
    let members = vec![member("tartu-a-1", 9, address), member("tartu-b-1", 8, address), silent];
    let fake = Fake::start(State { members, ..State::default() }).await;
    let ran = run(&[fake.address], &["status"]).await;
    let expected = "\
INSTANCE   DOMAIN   STATE  GENERATION  IN FLIGHT  OPERATORS      REMARK
tartu-a-1  tartu-a  live   9           3          10.0.1.5:7102
tartu-b-1  tartu-a  live   8           3          10.0.1.5:7102  behind
voru-1     tartu-a  live   -           3          10.0.1.5:7102  does not answer: no answer in time
generation 9, as tartu-a-1 knows it
";
    assert_eq!(ran.out, expected, "got:\n{}", ran.out);
    assert_eq!(ran.err, "behind generation 9: tartu-b-1, voru-1\n");
}

/// What `get -o yaml` writes, `apply` reads: the same objects, and the
/// generation they were read at.
#[tokio::test]
async fn objects_as_yaml_are_a_file_to_apply() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/tubig/objects.yaml");
    let objects = Object::parse_file(&std::fs::read_to_string(path).unwrap()).unwrap();
    for object in objects {
        let kind = object.key().kind.to_string();
        let revision = Revision {
            generation: 4,
            change: "c".into(),
            author: "mari".into(),
            at: Timestamp(0),
            object: Some(object.clone()),
        };
        let fake = Fake::start(State { revisions: vec![revision], ..State::default() }).await;
        let ran = run(&[fake.address], &["get", &kind, "-o", "yaml"]).await;
        assert!(ran.out.starts_with("# read at generation: 4\n"), "{}", ran.out);
        assert_eq!(Object::parse_file(&ran.out), Ok(vec![object]), "{}", ran.out);
    }
}

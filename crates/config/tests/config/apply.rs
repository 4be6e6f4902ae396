//! Changes by operators.

use std::time::Duration;

use config::{Applied, Edit, Error, Expected};
use tokio::time::sleep;
use world::object::{Key, Kind, Object};

use crate::site::{Options, Site, model, put};

fn key(name: &str) -> Key {
    Key { kind: Kind::Model, name: name.into() }
}

#[tokio::test(start_paused = true)]
async fn change_is_in_force_everywhere() {
    let site = Site::open(Options::default()).await;
    assert_eq!(put(site.config(0), model("m", 1)).await, Ok(1));
    site.wait(1).await;
    assert_eq!(put(site.config(3), model("m", 2)).await, Ok(2));
    site.wait(2).await;
    assert!(site.instances.iter().all(|instance| instance.config.fresh()));
}

#[tokio::test(start_paused = true)]
async fn history_continues_before_a_deletion() {
    let site = Site::open(Options::default()).await;
    put(site.config(0), model("m", 1)).await.expect("accepted");
    put(site.config(0), model("other", 1)).await.expect("accepted");
    site.config(0).apply("bob", vec![Edit::Delete(key("m"), Expected::At(1))]).await.expect("accepted");
    put(site.config(0), model("m", 3)).await.expect("accepted");
    let history = site.config(0).history(&key("m"), 10).await.expect("up");
    let seen: Vec<_> = history.iter().map(|past| (past.revision.generation, past.revision.author.as_str())).collect();
    assert_eq!(seen, [(4, "ann"), (3, "bob"), (1, "ann")]);
    assert_eq!(history[1].object, None);
}

/// Two operators change one object at once, each from the generation it read.
/// One succeeds; the other gets a conflict that names the first change, its time and
/// author, and its own edit has no effect. A silent overwrite would lose a change
/// that was reported as accepted.
#[tokio::test(start_paused = true)]
async fn second_of_two_concurrent_edits_gets_a_conflict() {
    let site = Site::open(Options::default()).await;
    put(site.config(0), model("m", 1)).await.expect("accepted");
    site.wait(1).await;
    let edit = |versions| vec![Edit::Put(model("m", versions), Expected::At(1))];
    let (ann, bob) = tokio::join!(site.config(0).apply("ann", edit(2)), site.config(1).apply("bob", edit(3)));
    let (accepted, winner, refused) = match (&ann, &bob) {
        (Ok(applied), Err(error)) => (applied, "ann", error),
        (Err(error), Ok(applied)) => (applied, "bob", error),
        both => panic!("exactly one must succeed: {both:?}"),
    };
    assert_eq!(accepted.generation, 2);
    let Error::Conflict(conflict) = refused else { panic!("not a conflict: {refused}") };
    let found = conflict.found.as_ref().expect("the object has a last change");
    assert_eq!((found.generation, found.author.as_str(), found.at.0), (2, winner, 1_000));
}

/// Two operators change two objects at once. Both are accepted: the one that
/// loses the race for the generation silently takes the next one.
#[tokio::test(start_paused = true)]
async fn concurrent_edits_of_different_objects_do_not_conflict() {
    let site = Site::open(Options::default()).await;
    let (a, b) = tokio::join!(put(site.config(0), model("a", 1)), put(site.config(1), model("b", 1)));
    let mut generations = [a.expect("accepted"), b.expect("accepted")];
    generations.sort_unstable();
    assert_eq!(generations, [1, 2]);
    site.wait(2).await;
    assert_eq!(site.config(2).current().models().len(), 2);
}

/// Returns a site whose instance 3 is still at generation 1 of 2.
async fn site_with_outdated_instance() -> Site {
    let site = Site::open(Options::default()).await;
    put(site.config(0), model("m", 1)).await.expect("accepted");
    site.wait(1).await;
    sleep(Duration::from_secs(2)).await;
    site.config(3).set_reader(false).await;
    site.cut(3, true);
    put(site.config(0), model("m", 2)).await.expect("accepted");
    assert_eq!(site.config(3).current().generation(), 1);
    site
}

/// An operator submits the object that this outdated instance still has in force. If
/// it were reported as unchanged, generation 2, which differs, would come into force
/// everywhere instead.
#[tokio::test(start_paused = true)]
async fn unchanged_is_decided_on_the_newest_state() {
    let site = site_with_outdated_instance().await;
    assert_eq!(put(site.config(3), model("m", 1)).await, Ok(3));
}

/// An operator who read generation 2 at another instance changes it here. A check
/// against the old state would report a conflict with a change older than the one
/// that the operator read.
#[tokio::test(start_paused = true)]
async fn conflict_is_decided_on_the_newest_state() {
    let site = site_with_outdated_instance().await;
    let edit = Edit::Put(model("m", 3), Expected::At(2));
    assert_eq!(site.config(3).apply("ann", vec![edit]).await.map(|applied| applied.generation), Ok(3));
}

/// An object that is consistent only with the newest state is accepted at an
/// outdated instance.
#[tokio::test(start_paused = true)]
async fn consistency_is_checked_on_the_newest_state() {
    let site = site_with_outdated_instance().await;
    assert_eq!(put(site.config(3), pool("m@2")).await, Ok(3));
}

#[tokio::test(start_paused = true)]
async fn inconsistent_objects_are_refused() {
    let site = site_with_outdated_instance().await;
    let refused = put(site.config(0), pool("m@9")).await;
    assert!(matches!(&refused, Err(Error::Invalid(faults)) if faults.len() == 1), "{refused:?}");
    assert_eq!(site.config(0).current().generation(), 2);
}

#[tokio::test(start_paused = true)]
async fn unchanged_object_creates_no_generation() {
    let site = Site::open(Options::default()).await;
    put(site.config(0), model("m", 1)).await.expect("accepted");
    let again = site.config(1).apply("ann", vec![Edit::Put(model("m", 1), Expected::Any)]).await;
    assert_eq!(again, Ok(Applied { generation: 1, changed: false }));
}

#[tokio::test(start_paused = true)]
async fn two_edits_of_one_object_are_refused() {
    let site = Site::open(Options::default()).await;
    let edits = [1, 2].map(|versions| Edit::Put(model("m", versions), Expected::Any));
    assert_eq!(site.config(0).apply("ann", edits.into()).await, Err(Error::DuplicateObject(key("m"))));
}

/// A change is too large for one entry of the log. The error describes the change
/// and not the platform's keys.
#[tokio::test(start_paused = true)]
async fn change_above_a_megabyte_is_refused() {
    let site = Site::open(Options::default()).await;
    let refused = put(site.config(0), model("m", 20_000)).await;
    assert!(matches!(&refused, Err(Error::TooLarge { .. })), "{refused:?}");
    assert_eq!(put(site.config(0), model("m", 1)).await, Ok(1));
}

fn pool(version: &str) -> Object {
    let text =
        format!("kind: pool\nname: p\nspec: {{ domain: d0, serves: {{ versions: [{version}] }}, endpoints: [] }}");
    Object::parse_file(&text).expect("a pool").remove(0)
}

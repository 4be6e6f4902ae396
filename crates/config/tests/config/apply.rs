//! Changes as operators make them.

use config::{Edit, Error, Expected};
use world::object::{Key, Kind};

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
async fn history_goes_back_over_a_deletion() {
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
/// One wins; the other hears which change came first, when and by whom, and
/// nothing of its own is in force. A silent overwrite would lose a change
/// that was reported as accepted.
#[tokio::test(start_paused = true)]
async fn second_operator_hears_of_the_first() {
    let site = Site::open(Options::default()).await;
    put(site.config(0), model("m", 1)).await.expect("accepted");
    site.wait(1).await;
    let edit = |versions| vec![Edit::Put(model("m", versions), Expected::At(1))];
    let (ann, bob) = tokio::join!(site.config(0).apply("ann", edit(2)), site.config(1).apply("bob", edit(3)));
    let (accepted, winner, refused) = match (&ann, &bob) {
        (Ok(applied), Err(error)) => (applied, "ann", error),
        (Err(error), Ok(applied)) => (applied, "bob", error),
        both => panic!("one must win: {both:?}"),
    };
    assert_eq!(accepted.generation, 2);
    let Error::Conflict(conflict) = refused else { panic!("not a conflict: {refused}") };
    let found = conflict.found.as_ref().expect("a change stands there");
    assert_eq!((found.generation, found.author.as_str(), found.at.0), (2, winner, 1_000));
}

/// Two operators change two objects at once. Both are accepted: the one that
/// loses the race for the generation takes the next without being told.
#[tokio::test(start_paused = true)]
async fn race_on_another_object_is_no_conflict() {
    let site = Site::open(Options::default()).await;
    let (a, b) = tokio::join!(put(site.config(0), model("a", 1)), put(site.config(1), model("b", 1)));
    let mut generations = [a.expect("accepted"), b.expect("accepted")];
    generations.sort_unstable();
    assert_eq!(generations, [1, 2]);
    site.wait(2).await;
    assert_eq!(site.config(2).current().models().len(), 2);
}

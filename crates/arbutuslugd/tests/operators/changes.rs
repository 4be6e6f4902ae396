//! Objects and roll-outs: changed, in force, raced over, lost.

use arbutuslug::Exit;
use arbutuslugd::operators::{Duty, Phase};
use store::fake::Loss;
use world::instance::State;

use crate::site::{File, KEY, Site, run};

const MODEL: &str = "\
kind: model
name: summary
spec:
  versions:
    - { version: '3', price: { input: '0.20', output: '0.60', currency: EUR } }
    - { version: '4', price: { input: '0.18', output: '0.55', currency: EUR } }
";

const SERVICE: &str = "\
kind: service
name: logbook
spec:
  price: { call: '0.0004', currency: EUR }
";

fn with_price(price: &str) -> String {
    SERVICE.replace("0.0004", price)
}

#[tokio::test]
async fn applied_objects_are_in_force_at_every_instance() {
    let site = Site::open(3).await;
    let file = File::of(&format!("{MODEL}---\n{SERVICE}"));
    let ran = site.run(&["apply", file.path()]).await;
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
    assert!(ran.out.contains("changed model summary\nchanged service logbook\ngeneration 1"), "{ran:?}");
    assert!(ran.err.contains("generation 1: in force at 3 of 3"), "{ran:?}");
    for node in &site.nodes {
        assert_eq!(node.handles.config.status().generation, 1);
    }
    assert!(site.done(&["apply", file.path()]).await.starts_with("unchanged"));
    assert!(site.done(&["get", "model"]).await.contains("3 (tier 0), 4 (tier 0)"));
    assert!(site.done(&["status"]).await.contains("generation 1, as i0 knows it"));
}

/// An operator reads an object into a file, another changes it, the first
/// applies the file. The file would take the other's change back unseen; the
/// tool refuses and names who changed it.
#[tokio::test]
async fn stale_file_is_refused_and_names_the_other_change() {
    let site = Site::open(1).await;
    site.apply(SERVICE).await;
    let read = site.done(&["get", "service", "logbook", "-o", "yaml"]).await;
    site.apply(&with_price("0.0005")).await;

    let file = File::of(&read.replace("0.0004", "0.0009"));
    let ran = site.run(&["apply", file.path()]).await;
    assert_eq!(ran.exit, Exit::Refused, "{ran:?}");
    assert!(ran.err.contains("service logbook was read at generation 1, but generation 2 was made by mari"), "{ran:?}");

    let again = site.done(&["get", "service", "logbook", "-o", "yaml"]).await;
    assert!(again.contains("0.0005"));
    site.apply(&again.replace("0.0005", "0.0009")).await;
    assert!(site.done(&["get", "service", "logbook", "-o", "json"]).await.contains("0.0009"));
}

/// A change is made at one instance and comes into force at the others over
/// peer links. In the time line it stands before its effects.
#[tokio::test]
async fn change_stands_before_its_effects_in_the_time_line() {
    let site = Site::open(3).await;
    site.apply(SERVICE).await;
    let lines = site.done(&["timeline", "--kind", "edit,configuration"]).await;
    let made = lines.find("generation 1 made").expect("the change is recorded");
    let in_force: Vec<_> = lines.match_indices("generation 1 in force").collect();
    assert_eq!(in_force.len(), 3, "{lines}");
    assert!(in_force.iter().all(|(place, _)| made < *place), "{lines}");
}

/// The same, but the other operator has deleted the object: applying the
/// file must not bring it back.
#[tokio::test]
async fn stale_file_does_not_bring_a_deleted_object_back() {
    let site = Site::open(1).await;
    site.apply(SERVICE).await;
    let read = site.done(&["get", "service", "logbook", "-o", "yaml"]).await;
    site.done(&["delete", "service", "logbook", "--author", "jaan"]).await;
    let file = File::of(&read.replace("0.0004", "0.0009"));
    let ran = site.run(&["apply", file.path()]).await;
    assert_eq!(ran.exit, Exit::Refused, "{ran:?}");
    assert!(ran.err.contains("it was deleted by jaan"), "{ran:?}");
    // Without the line that tells when it was read, it is a new object.
    site.apply(SERVICE).await;
}

/// Two operators apply changes of one object that both read at the same
/// generation, at two instances at once. One is done, the other is refused
/// and told who was faster; the object is the winner's everywhere.
#[tokio::test]
async fn of_two_racing_operators_one_is_refused() {
    let site = Site::open(2).await;
    site.apply(SERVICE).await;
    let file = |price: &str| File::of(&format!("# read at generation: 1\n{}", with_price(price)));
    let (first, second) = (file("0.0005"), file("0.0006"));
    let addresses = [site.nodes[0].listener.address(), site.nodes[1].listener.address()];
    let args = |file: &File, author: &str| ["apply", file.path(), "--author", author].map(String::from);
    let (mari, jaan) = (args(&first, "mari"), args(&second, "jaan"));
    let (mari, jaan) = (mari.each_ref().map(String::as_str), jaan.each_ref().map(String::as_str));
    let (mari, jaan) = tokio::join!(run(&addresses[..1], KEY, &mari), run(&addresses[1..], KEY, &jaan));

    let (winner, loser, price) = match (mari.exit, jaan.exit) {
        (Exit::Done, Exit::Refused) => ("mari", jaan, "0.0005"),
        (Exit::Refused, Exit::Done) => ("jaan", mari, "0.0006"),
        _ => panic!("{mari:?} {jaan:?}"),
    };
    assert!(loser.err.contains(&format!("generation 2 was made by {winner}")), "{loser:?}");
    for address in addresses {
        let ran = run(&[address], KEY, &["get", "service", "logbook", "-o", "json"]).await;
        assert!(ran.out.contains(price), "{ran:?}");
    }
}

#[tokio::test]
async fn objects_that_do_not_fit_are_refused_whole() {
    let site = Site::open(1).await;
    let rollout = "kind: rollout\nname: r\nspec: { version: summary@9, predecessor: '3' }\n";
    let file = File::of(&format!("{MODEL}---\n{rollout}"));
    for verb in ["check", "apply"] {
        let ran = site.run(&[verb, file.path()]).await;
        assert_eq!(ran.exit, Exit::Refused, "{ran:?}");
        assert!(ran.err.contains("rollout r"), "{ran:?}");
    }
    assert_eq!(site.nodes[0].handles.config.status().generation, 0);
}

#[tokio::test]
async fn deletion_and_history_tell_who_and_when() {
    let site = Site::open(1).await;
    site.apply(SERVICE).await;
    site.apply(&with_price("0.0005")).await;
    site.done(&["delete", "service", "logbook", "--author", "jaan"]).await;

    let history = site.done(&["history", "service", "logbook"]).await;
    let lines: Vec<_> = history.lines().collect();
    assert_eq!(lines.len(), 4, "{history}");
    assert!(lines[1].starts_with('3') && lines[1].contains("jaan") && lines[1].contains("deleted"), "{history}");
    assert!(lines[3].starts_with('1') && lines[3].contains("mari"), "{history}");
    assert_eq!(site.run(&["delete", "service", "logbook"]).await.exit, Exit::Refused);
    assert_eq!(site.run(&["get", "service", "logbook"]).await.exit, Exit::Refused);
}

#[tokio::test]
async fn rollout_is_started_paused_and_withdrawn_for_good() {
    let site = Site::open(2).await;
    site.apply(MODEL).await;
    let start = ["rollout", "start", "s4", "--version", "summary@4", "--predecessor", "3", "--steps", "0.25,1"];
    site.done(&start).await;
    assert!(site.done(&["get", "rollout"]).await.contains("summary@4 over 3, loading"));
    assert_eq!(site.run(&start).await.exit, Exit::Refused);
    site.done(&["rollout", "pause", "s4", "--reason", "look first"]).await;
    assert!(site.done(&["get", "rollout", "s4"]).await.contains("paused at share 0.25: look first"));
    site.done(&["rollout", "withdraw", "s4", "--reason", "too slow"]).await;
    let ran = site.run(&["rollout", "resume", "s4"]).await;
    assert_eq!(ran.exit, Exit::Refused);
    assert!(ran.err.contains("a withdrawn version never comes back"), "{ran:?}");
}

/// The platform makes the change and its answer is lost; reading back finds
/// the change, so the operator is told "done" and not "failed".
#[tokio::test]
async fn platform_answer_lost_after_the_effect_is_done() {
    let site = Site::open(1).await;
    site.apply(SERVICE).await;
    site.platform.lose(1, Loss::After);
    site.apply(&with_price("0.0005")).await;
    let history = site.done(&["history", "service", "logbook"]).await;
    assert_eq!(history.lines().count(), 3, "one change, made once: {history}");
}

/// While the platform is down nothing can be changed. The refusal says that
/// nothing was done.
#[tokio::test]
async fn platform_down_is_a_refusal_and_not_an_unknown_outcome() {
    let site = Site::open(1).await;
    site.apply(SERVICE).await;
    site.platform.set_down(true);
    let file = File::of(&with_price("0.0005"));
    let ran = site.run(&["apply", file.path(), "--timeout", "60"]).await;
    assert_eq!(ran.exit, Exit::Refused, "{ran:?}");
    site.platform.set_down(false);
    assert_eq!(site.nodes[0].handles.config.status().generation, 1);
}

/// A generation that nobody has made yet: the wait ends by naming each
/// instance that lags.
#[tokio::test]
async fn wait_names_the_instances_that_lag() {
    let site = Site::open(2).await;
    let ran = site.run(&["wait", "7", "--wait", "0.5"]).await;
    assert_eq!(ran.exit, Exit::Unknown, "{ran:?}");
    assert!(ran.err.contains("i0 (generation 0), i1 (generation 0)"), "{ran:?}");
}

/// An instance's links are cut without a word. The change is accepted and the
/// tool names the instance that has not confirmed it, until it counts as gone.
#[tokio::test]
async fn silent_instance_is_named_until_it_is_gone() {
    let site = Site::open(2).await;
    site.nodes[1].handles.peer.abort();
    let file = File::of(SERVICE);
    let ran = site.run(&["apply", file.path(), "--wait", "0.5"]).await;
    assert_eq!(ran.exit, Exit::Unknown, "{ran:?}");
    assert!(ran.err.contains("accepted and not yet in force at: i1 (does not answer"), "{ran:?}");
    site.wait_for_state(0, "i1", State::Gone).await;
    site.done(&["wait", "1"]).await;
}

/// An operator makes a change at an instance that is leaving. It is accepted
/// there and in force at the other too: until it has finished, a leaving
/// instance serves operators as ever, so that a withdrawal need not wait.
#[tokio::test]
async fn instance_leaving_at_apply() {
    let site = Site::open(2).await;
    let leaving = &site.nodes[0];
    leaving.handles.peer.leave().await.expect("the links run");
    leaving.duty.send_replace(Duty { phase: Phase::Leaving, in_flight: 1 });
    let file = File::of(SERVICE);
    let ran = run(&[leaving.listener.address()], KEY, &["apply", file.path(), "--wait", "30"]).await;
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
    assert_eq!(site.nodes[1].handles.config.status().generation, 1);
}

/// An instance has left in order when a change is made. The operator is told
/// that the change is in force: the tool waits for those that serve, and one
/// that told all of its leaving serves nobody.
#[tokio::test]
async fn instance_leaving_at_in_force() {
    let site = Site::open(2).await;
    let leaving = &site.nodes[1].handles.peer;
    leaving.leave().await.expect("the links run");
    leaving.close().await.expect("the links run");
    site.wait_for_state(0, "i1", State::Gone).await;
    let file = File::of(SERVICE);
    let ran = run(&[site.nodes[0].listener.address()], KEY, &["apply", file.path(), "--wait", "30"]).await;
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
}

//! Changes whose answer is lost: told truthfully, made at most once.

use arbutuslug::Exit;

use crate::fake::{Act, Fake, Ran, State, run};

const OBJECT: &str = "kind: service\nname: logbook\nspec: { price: { call: '0.0004', currency: EUR } }\n";

struct File(std::path::PathBuf);

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Applies one object under a script.
async fn apply(acts: &[Act], blind: u32) -> (Ran, Fake) {
    let state = State { acts: acts.iter().copied().collect(), blind, ..State::default() };
    let fake = Fake::start(state).await;
    let file = File(std::env::temp_dir().join(format!("arbutuslug-{}.yaml", uuid::Uuid::new_v4())));
    std::fs::write(&file.0, OBJECT).unwrap();
    let path = file.0.to_str().expect("UTF-8");
    let ran = run(&[fake.address], &["apply", path, "--timeout", "0.4", "--wait", "5"]).await;
    (ran, fake)
}

/// Applies under a script, and counts the changes that were made.
async fn check(acts: &[Act], blind: u32, exit: Exit, made: usize) {
    let (ran, fake) = apply(acts, blind).await;
    assert_eq!(ran.exit, exit, "{}", ran.err);
    let mine = fake.state().revisions.iter().filter(|revision| revision.author == "mari").count();
    assert_eq!(mine, made, "{}", ran.err);
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $acts:expr, blind $blind:expr => $exit:expr, made $made:expr;)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() { check(&$acts, $blind, $exit, $made).await; })*
    };
}

cases! {
    answered: [Act::Make], blind 0 => Exit::Done, made 1;
    /// The change is made and the answer lost. The tool reads the history,
    /// finds its change there and reports it as done.
    answer_lost_after_the_effect: [Act::MakeAndLose], blind 0 => Exit::Done, made 1;
    /// The question is lost. The history does not have the change, so it is
    /// sent again, under the same id and condition.
    question_lost: [Act::Lose, Act::Make], blind 0 => Exit::Done, made 1;
    /// The instance itself does not know; the history tells.
    instance_in_doubt: [Act::MakeAndDoubt], blind 0 => Exit::Done, made 1;
    /// The answer is lost and so is the first look at the history. The change
    /// is sent again and now collides with itself, which must not be told as
    /// another operator's change.
    own_change_is_no_conflict: [Act::MakeAndLose], blind 1 => Exit::Done, made 1;
    /// Another operator was faster: nothing is made.
    outrun: [Act::Outrun], blind 0 => Exit::Refused, made 0;
    /// The question is lost, then another operator is faster.
    outrun_after_a_lost_question: [Act::Lose, Act::Outrun], blind 0 => Exit::Refused, made 0;
    /// Neither answers nor the history come through: the tool says that it
    /// does not know, and never that nothing was done.
    nothing_comes_through: [Act::MakeAndLose, Act::Lose, Act::Lose, Act::Lose, Act::Lose, Act::Lose, Act::Lose, Act::Lose],
        blind 100 => Exit::Unknown, made 1;
}

#[tokio::test]
async fn unknown_outcome_tells_how_to_find_out() {
    let (ran, _fake) = apply(&[Act::Lose; 20], 100).await;
    assert_eq!(ran.exit, Exit::Unknown);
    assert!(ran.err.contains("in `arbutuslug history service logbook`"), "{}", ran.err);
}

#[tokio::test]
async fn lost_race_names_the_other_operator() {
    let (ran, _fake) = apply(&[Act::Outrun], 0).await;
    assert!(ran.err.contains("generation 1 was made by jaan"), "{}", ran.err);
}

/// The instance that was asked dies after making the change. The other one
/// knows it from the history.
#[tokio::test]
async fn another_instance_tells_the_outcome() {
    let first = Fake::start(State { acts: [Act::MakeAndLose].into(), blind: 1, ..State::default() }).await;
    let second = Fake::join(first.state.clone()).await;
    let file = File(std::env::temp_dir().join(format!("arbutuslug-{}.yaml", uuid::Uuid::new_v4())));
    std::fs::write(&file.0, OBJECT).unwrap();
    let path = file.0.to_str().expect("UTF-8");
    let ran = run(&[first.address, second.address], &["apply", path]).await;
    assert_eq!(ran.exit, Exit::Done, "{}", ran.err);
    assert_eq!(first.state().revisions.len(), 1);
}

//! Plays days of our own on the users' bench and prints one table.

use std::{
    fs, io,
    path::{Path, PathBuf},
    process::Command,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

/// What to play.
#[derive(Debug)]
pub struct Plan {
    /// The bench's program.
    pub bench: PathBuf,
    /// The deployment's file.
    pub site: PathBuf,
    /// Days played at a time.
    pub jobs: usize,
    /// Why, for the bench's journal.
    pub why: String,
}

/// Where the days lie; the bench's hunt plays them as well.
const FOLDER: &str = "deploy/days";

/// Plays every day on the site; fails when one breaks a rule.
pub fn run(root: &Path, plan: &Plan) -> Result<(), String> {
    let folder = root.join(FOLDER);
    let days = days(&folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    let (next, broken) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let printing = Mutex::new(());
    thread::scope(|scope| {
        for _ in 0..plan.jobs.max(1) {
            scope.spawn(|| {
                while let Some(day) = days.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let row = play(root, plan, day);
                    if !row.as_ref().is_ok_and(|row| !row.contains("BROKEN")) {
                        broken.fetch_add(1, Ordering::Relaxed);
                    }
                    let _one_at_a_time = printing.lock().unwrap_or_else(PoisonError::into_inner);
                    println!("{}", row.unwrap_or_else(|error| format!("{}: {error}", day.display())));
                }
            });
        }
    });
    match broken.into_inner() {
        0 => Ok(()),
        count => Err(format!("{count} of {} days broke a rule or were not played", days.len())),
    }
}

fn days(folder: &Path) -> io::Result<Vec<PathBuf>> {
    let mut days: Vec<PathBuf> = fs::read_dir(folder)?.map(|entry| Ok(entry?.path())).collect::<io::Result<_>>()?;
    days.sort();
    Ok(days)
}

/// Plays one day; its row of the bench's table.
fn play(root: &Path, plan: &Plan, day: &Path) -> Result<String, String> {
    let output = Command::new(&plan.bench)
        .current_dir(root)
        .args(["run".as_ref(), plan.site.as_os_str(), day.as_os_str()])
        .args(["--no-cpu", "--jobs", "1", "--why", &plan.why])
        .output()
        .map_err(|error| format!("{}: {error}; give the bench's path with --bench", plan.bench.display()))?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let name = day.file_stem().unwrap_or_default().to_string_lossy();
    let mut rows = text.lines().filter(|line| line.starts_with(&format!("{name} ")));
    rows.next().map(str::to_owned).ok_or_else(|| String::from_utf8_lossy(&output.stderr).trim().to_owned())
}

//! Reads `docs/FAULTS.md`.
//!
//! A line `## fault` opens a section; a line `| step | content |` is a cell
//! when its first column is a step. Content is test names in backticks,
//! `cannot: reason`, or `open: what is missing` for a fault that can strike
//! there and that no test causes yet. A line `## pairs` opens the section of two faults
//! together, with rows `| fault + fault | step | tests |`.

use crate::{Fault, Step};

/// Shortest reason that says anything.
const SHORTEST_REASON: usize = 15;
/// Heading of the section of pairs.
const PAIRS: &str = "pairs";

/// One cell of the matrix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cell {
    /// The faults that meet; one or two.
    pub faults: Vec<Fault>,
    /// The step they strike.
    pub step: Step,
    /// What the page says.
    pub content: Content,
}

/// What a cell says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Content {
    /// Tests that cause it.
    Tests(Vec<String>),
    /// Why it cannot happen.
    Cannot(String),
    /// It can happen and no test causes it: what is missing.
    Open(String),
}

/// What is wrong with the page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// A heading that is no fault.
    Heading(String),
    /// A row that cannot be read.
    Row(String),
    /// A cell that stands twice.
    Twice(Fault, Step),
    /// A cell that is missing.
    Missing(Fault, Step),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Heading(text) => write!(f, "`## {text}` is no fault; see faults::Fault for the spellings"),
            Self::Row(text) => {
                write!(
                    f,
                    "cannot read `{text}`; write `| step | `test` |`, `| step | cannot: reason |` or `| step | open: what is missing |`"
                )
            }
            Self::Twice(fault, step) => write!(f, "{} at {} stands twice; keep one row", fault.as_str(), step.as_str()),
            Self::Missing(fault, step) => write!(f, "{} at {} is missing; add its row", fault.as_str(), step.as_str()),
        }
    }
}

impl std::error::Error for Error {}

/// Every cell of the page, single faults complete.
///
/// # Errors
///
/// Every [`Error`] of the page.
pub fn parse(page: &str) -> Result<Vec<Cell>, Vec<Error>> {
    let mut reader = Reader::default();
    page.lines().for_each(|line| reader.line(line.trim()));
    reader.find_missing();
    if reader.errors.is_empty() { Ok(reader.cells) } else { Err(reader.errors) }
}

#[derive(Default)]
enum Section {
    #[default]
    Preface,
    Fault(Fault),
    Pairs,
}

#[derive(Default)]
struct Reader {
    section: Section,
    cells: Vec<Cell>,
    errors: Vec<Error>,
}

impl Reader {
    fn line(&mut self, line: &str) {
        if let Some(heading) = line.strip_prefix("## ") {
            self.heading(heading);
        } else if line.starts_with('|') {
            self.row(line);
        }
    }

    fn heading(&mut self, heading: &str) {
        self.section = match Fault::parse(heading) {
            Some(fault) => Section::Fault(fault),
            None if heading == PAIRS => Section::Pairs,
            None => {
                self.errors.push(Error::Heading(heading.into()));
                Section::Preface
            }
        };
    }

    fn row(&mut self, line: &str) {
        let columns: Vec<_> = line.trim_matches('|').split('|').map(str::trim).collect();
        let is_frame = columns.iter().all(|c| c.starts_with("---")) || matches!(columns[0], "step" | "faults");
        if is_frame {
            return;
        }
        let cell = match (&self.section, columns.as_slice()) {
            (Section::Preface, _) => return,
            (Section::Fault(fault), [step, content]) => cell(vec![*fault], step, content),
            (Section::Pairs, [faults, step, content]) => {
                let faults: Option<Vec<_>> = faults.split('+').map(|f| Fault::parse(f.trim())).collect();
                faults.filter(|f| f.len() == 2).and_then(|faults| cell(faults, step, content))
            }
            _ => None,
        };
        match cell {
            Some(cell) if self.has(&cell) => self.errors.push(Error::Twice(cell.faults[0], cell.step)),
            Some(cell) => self.cells.push(cell),
            None => self.errors.push(Error::Row(line.into())),
        }
    }

    fn has(&self, cell: &Cell) -> bool {
        self.cells.iter().any(|other| other.faults == cell.faults && other.step == cell.step)
    }

    fn find_missing(&mut self) {
        for &fault in Fault::ALL {
            for &step in Step::ALL {
                let found = self.cells.iter().any(|cell| cell.faults == [fault] && cell.step == step);
                if !found {
                    self.errors.push(Error::Missing(fault, step));
                }
            }
        }
    }
}

fn cell(faults: Vec<Fault>, step: &str, content: &str) -> Option<Cell> {
    Some(Cell { faults, step: Step::parse(step)?, content: read_content(content)? })
}

fn read_content(text: &str) -> Option<Content> {
    if let Some(reason) = text.strip_prefix("cannot: ") {
        return said(reason).map(Content::Cannot);
    }
    if let Some(missing) = text.strip_prefix("open: ") {
        return said(missing).map(Content::Open);
    }
    let tests: Vec<_> = text.split('`').skip(1).step_by(2).map(String::from).collect();
    (!tests.is_empty()).then_some(Content::Tests(tests))
}

fn said(text: &str) -> Option<String> {
    (text.len() >= SHORTEST_REASON).then(|| text.into())
}

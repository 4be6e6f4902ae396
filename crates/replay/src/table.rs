//! Tables of measured figures, for people.

use std::fmt;

/// One question's figures.
#[derive(Debug)]
pub struct Table {
    /// What is asked.
    pub title: String,
    /// Heads of the columns; the first is the row's name.
    pub columns: Vec<String>,
    /// Cells, a row each.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// An empty table.
    pub fn new(title: impl Into<String>, columns: &[&str]) -> Self {
        Self { title: title.into(), columns: columns.iter().map(ToString::to_string).collect(), rows: Vec::new() }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.chain(self.columns.get(column)).map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<_> = (0..self.columns.len()).map(width).collect();
        let line = |f: &mut fmt::Formatter<'_>, cells: &[String]| {
            write!(f, "|")?;
            cells.iter().zip(&widths).try_for_each(|(cell, width)| write!(f, " {cell:<width$} |"))?;
            writeln!(f)
        };
        writeln!(f, "### {}\n", self.title)?;
        line(f, &self.columns)?;
        let rule: Vec<_> = widths.iter().map(|width| "-".repeat(*width)).collect();
        line(f, &rule)?;
        self.rows.iter().try_for_each(|row| line(f, row))
    }
}

//! Where a command writes.

use std::io::Write;

use serde::Serialize;

use crate::exit::Failure;

/// Form of the output.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Format {
    /// Tables for people.
    #[default]
    Table,
    /// One JSON document; one per line where the output is a stream.
    Json,
    /// YAML.
    Yaml,
}

/// Standard output and standard error, or a test's stand-ins for them.
pub struct Console<'a> {
    out: &'a mut dyn Write,
    err: &'a mut dyn Write,
    format: Format,
}

impl std::fmt::Debug for Console<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Console").field("format", &self.format).finish_non_exhaustive()
    }
}

impl<'a> Console<'a> {
    /// A console over two writers.
    pub fn new(out: &'a mut dyn Write, err: &'a mut dyn Write) -> Self {
        Self { out, err, format: Format::default() }
    }

    pub(crate) fn set_format(&mut self, format: Format) {
        self.format = format;
    }

    pub(crate) fn format(&self) -> Format {
        self.format
    }

    /// Shows a result: as a table, or the value itself to programs.
    pub(crate) fn show<T: Serialize>(&mut self, value: &T, table: impl FnOnce(&T) -> String) -> Result<(), Failure> {
        let text = match self.format {
            Format::Table => table(value),
            Format::Json => json(value)?,
            Format::Yaml => yaml(value)?,
        };
        self.print(&text)
    }

    /// Writes a text and a line end to standard output.
    pub(crate) fn print(&mut self, text: &str) -> Result<(), Failure> {
        let written = writeln!(self.out, "{}", text.trim_end()).and_then(|()| self.out.flush());
        written.map_err(|_| Failure::Closed)
    }

    /// Writes a line of progress or an error to standard error.
    pub(crate) fn note(&mut self, text: &str) {
        // With standard error gone there is nobody left to tell.
        let _ = writeln!(self.err, "{}", text.trim_end()).and_then(|()| self.err.flush());
    }
}

pub(crate) fn json<T: Serialize>(value: &T) -> Result<String, Failure> {
    serde_json::to_string(value).map_err(|error| unprintable(&error))
}

pub(crate) fn yaml<T: Serialize>(value: &T) -> Result<String, Failure> {
    serde_saphyr::to_string(value).map_err(|error| unprintable(&error))
}

fn unprintable(error: &dyn std::fmt::Display) -> Failure {
    Failure::Refused(format!("cannot print the answer: {error}; use another format with -o"))
}

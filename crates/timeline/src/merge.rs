//! Pages of many instances in one causal order.

use serde::Serialize;
use world::instance;

use crate::{Page, Record, Source, Stamp};

/// All instances' records in one order, with what is missing.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Timeline {
    /// Records, causes before effects.
    pub records: Vec<Record>,
    /// What is missing.
    pub gaps: Vec<Gap>,
}

/// Records that are missing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "gap", rename_all = "snake_case")]
pub enum Gap {
    /// An instance's ring overflowed.
    Overflow {
        /// Whose ring.
        source: Source,
        /// Its records at or before this may be missing.
        before: Stamp,
    },
    /// The query's limit left records out.
    Limited {
        /// Whose records.
        source: Source,
        /// Its records at or before this were left out.
        before: Stamp,
    },
    /// An instance did not answer.
    Silent {
        /// Which instance.
        instance: instance::Id,
        /// Why it did not.
        cause: String,
    },
}

impl Timeline {
    /// Merges pages.
    ///
    /// Sorted by stamp: an effect's stamp is later than its cause's. Equal
    /// stamps of two instances have no causal order; instance and number
    /// decide, so that every merge of the same pages gives the same order.
    #[must_use]
    pub fn merge(pages: Vec<Page>, silent: Vec<Gap>) -> Self {
        let mut gaps = silent;
        let mut records = Vec::new();
        for page in pages {
            gaps.extend(page.gaps());
            records.extend(page.records);
        }
        records.sort_by(|a, b| place(a).cmp(&place(b)));
        records.dedup_by(|a, b| place(a) == place(b));
        Self { records, gaps }
    }
}

impl Page {
    /// What is missing from it.
    pub fn gaps(&self) -> impl Iterator<Item = Gap> {
        let source = || self.source.clone();
        let overflow = self.overflowed_before.map(|before| Gap::Overflow { source: source(), before });
        let limited = self.limited_before.map(|before| Gap::Limited { source: source(), before });
        overflow.into_iter().chain(limited)
    }
}

fn place(record: &Record) -> (Stamp, &Source, u64) {
    (record.at, &record.source, record.number)
}

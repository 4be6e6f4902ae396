//! Tables for people.

use comfy_table::{Table, presets::NOTHING};

/// A table with a head line; columns are parted by blanks alone, so that
/// `cut` and `awk` can take them apart.
pub(crate) fn table<const N: usize>(head: [&str; N], rows: impl IntoIterator<Item = [String; N]>) -> String {
    let mut table = Table::new();
    table.load_preset(NOTHING);
    table.set_header(head);
    table.add_rows(rows);
    for column in table.column_iter_mut() {
        column.set_padding((0, 2));
    }
    table.lines().map(|line| line.trim_end().to_owned()).collect::<Vec<_>>().join("\n")
}

/// A cell for a value that may be missing.
pub(crate) fn or_dash(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".into(), |value| value.to_string())
}

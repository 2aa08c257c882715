//! Text tables with aligned columns.

use std::fmt::Write;

const GAP: &str = "  ";

/// A table with a header row, printed in columns.
#[derive(Debug)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new<const N: usize>(head: [&str; N]) -> Self {
        let head = head.iter().map(ToString::to_string).collect();
        Self { rows: vec![head] }
    }

    pub(crate) fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }

    pub(crate) fn render(&self) -> String {
        let columns = self.rows[0].len();
        let width = |column: usize| {
            let cells = self.rows.iter().map(|row| row[column].chars().count());
            cells.max().unwrap_or_default()
        };
        let widths: Vec<_> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let line: Vec<_> = cells
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            writeln!(text, "{}", line.join(GAP).trim_end()).expect("writing to a string succeeds");
        }
        text
    }
}

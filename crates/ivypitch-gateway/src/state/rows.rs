//! The result of one execution: pages of whole rows, as slices of the buffers that they were read into.

use bytes::Bytes;

pub const COLUMNS: [&[u8]; 3] = [b"c1", b"c2", b"c3"];
const LARGEST_RESULT: usize = 48_000;

/// Emptied when the client has it or is gone; one at most for each open statement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rows {
    pages: Vec<Bytes>,
    bytes: usize,
}

impl Rows {
    /// Adds the next page: whole rows of three columns, within the size of a result.
    pub fn add(&mut self, page: Bytes) -> Result<(), &'static str> {
        if self.bytes + page.len() > LARGEST_RESULT {
            return Err("result too large");
        }
        if std::str::from_utf8(&page).is_err() {
            return Err("page is no text");
        }
        if !page.is_empty() && !page.ends_with(b"\n") {
            return Err("row cut short");
        }
        let columns = |row: &[u8]| 1 + row.iter().filter(|&&b| b == b'\t').count();
        if rows_of(&page).any(|row| columns(row) != COLUMNS.len()) {
            return Err("row without three columns");
        }
        self.bytes += page.len();
        self.pages.push(page);
        Ok(())
    }

    pub fn pages(&self) -> usize {
        self.pages.len()
    }

    pub fn into_pages(self) -> impl Iterator<Item = Bytes> {
        self.pages.into_iter()
    }

    /// The rows of one page, each as its columns.
    pub fn of_page(page: &[u8]) -> impl Iterator<Item = impl Iterator<Item = &[u8]>> {
        rows_of(page).map(|row| row.split(|&b| b == b'\t'))
    }
}

fn rows_of(page: &[u8]) -> impl Iterator<Item = &[u8]> {
    page.split_inclusive(|&b| b == b'\n')
        .map(|row| row.strip_suffix(b"\n").unwrap_or(row))
}

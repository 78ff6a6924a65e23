//! The result of an attempt: pages of complete rows, as slices of the receive buffers.

use bytes::Bytes;
use thiserror::Error;

/// Column names of every result, in order.
pub const COLUMNS: [&[u8]; 3] = [b"c1", b"c2", b"c3"];
/// Maximum size of a result.
const MAX_RESULT_BYTES: usize = 48_000;

/// Why a page was rejected.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Error)]
pub enum PageError {
    /// The result would exceed its maximum size.
    #[error("result larger than {MAX_RESULT_BYTES} bytes")]
    ResultTooLarge,
    /// The page is not UTF-8.
    #[error("page is not UTF-8")]
    NotUtf8,
    /// The last row has no terminating newline.
    #[error("last row of the page is incomplete")]
    IncompleteRow,
    /// A row does not have one value per column.
    #[error("row does not have {} columns", COLUMNS.len())]
    WrongColumnCount,
}

/// The rows of a result. Each open statement has at most one; it is dropped once the client has
/// received it or disconnected.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rows {
    pages: Vec<Bytes>,
    bytes: usize,
}

impl Rows {
    /// Appends the next page; on an error nothing is appended.
    pub fn push_page(&mut self, page: Bytes) -> Result<(), PageError> {
        if self.bytes + page.len() > MAX_RESULT_BYTES {
            return Err(PageError::ResultTooLarge);
        }
        if std::str::from_utf8(&page).is_err() {
            return Err(PageError::NotUtf8);
        }
        if !page.is_empty() && !page.ends_with(b"\n") {
            return Err(PageError::IncompleteRow);
        }
        if lines(&page).any(|row| column_count(row) != COLUMNS.len()) {
            return Err(PageError::WrongColumnCount);
        }
        self.bytes += page.len();
        self.pages.push(page);
        Ok(())
    }

    /// Removes the last page, if there is one, and returns it.
    pub fn pop_page(&mut self) -> Option<Bytes> {
        let page = self.pages.pop()?;
        self.bytes -= page.len();
        Some(page)
    }

    /// The first page, if there is one.
    pub fn first_page(&self) -> Option<&Bytes> {
        self.pages.first()
    }

    /// The number of pages appended.
    pub fn page_count(&self) -> usize {
        self.pages.len()
    }

    /// Returns the pages in order.
    pub fn into_pages(self) -> impl Iterator<Item = Bytes> {
        self.pages.into_iter()
    }

    /// Iterates over the rows of a page, each an iterator over its columns.
    pub fn rows_of_page(page: &[u8]) -> impl Iterator<Item = impl Iterator<Item = &[u8]>> {
        lines(page).map(|row| row.split(|&byte| byte == b'\t'))
    }
}

fn lines(page: &[u8]) -> impl Iterator<Item = &[u8]> {
    page.split_inclusive(|&byte| byte == b'\n')
        .map(|row| row.strip_suffix(b"\n").unwrap_or(row))
}

fn column_count(row: &[u8]) -> usize {
    1 + row.iter().filter(|&&byte| byte == b'\t').count()
}

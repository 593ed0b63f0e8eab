//! Compares the merge of records with a full sort.

use arbtest::arbtest;
use fulmarweir_route::{RECORD_BYTES, merge_records};

#[test]
fn merging_returns_the_greatest_records_in_descending_order() {
    arbtest(|u| {
        let parts: Vec<Vec<u8>> = u.arbitrary()?;
        let top_k = u.int_in_range(0..=12)?;
        let mut all: Vec<&[u8]> = parts
            .iter()
            .flat_map(|part| part.chunks_exact(RECORD_BYTES))
            .collect();
        all.sort_by(|a, b| b.cmp(a));
        all.truncate(top_k);
        assert_eq!(
            merge_records(parts.iter().map(Vec::as_slice), top_k),
            all.concat()
        );
        Ok(())
    });
}

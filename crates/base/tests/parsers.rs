//! Property tests of parsing names and announcements: arbitrary input causes no panic, and only
//! valid input is accepted.

use arbtest::{arbitrary::Unstructured, arbtest};
use fulmarweir_base::{NAME_MAX_BYTES, ServiceName, TargetRecord, shard_for_key};

const SEEDS: std::ops::Range<u64> = 0..60;
/// Size of the random input, which arbtest reads from the low 32 bits of a seed.
const INPUT_BYTES: u64 = 1000;

const ANNOUNCEMENT: &str = r#"{"name":"pitches-1","service":"street-app/pitches",
"address":"127.0.0.1:9001","incarnation":1717,"state":"serving","slots":3,"connections":30,
"versions":[{"version":41,"shard":0,"of":3},{"version":42,"shard":0,"of":3}]}"#;

/// Text that is inserted into JSON, to break its syntax or to change the type of a value.
const FRAGMENTS: [&str; 16] = [
    "\"",
    "{",
    "}",
    "[",
    "]",
    ",",
    ":",
    "-1",
    "0",
    "1e999",
    "18446744073709551616",
    "null",
    "true",
    "\\u0000",
    "\u{e9}",
    "\"name\":",
];

/// Checks a property with fixed seeds, so that every run of the test has the same result.
fn check(property: fn(&mut Unstructured<'_>) -> arbtest::arbitrary::Result<()>) {
    for seed in SEEDS {
        arbtest(property).seed(seed << 32 | INPUT_BYTES).run();
    }
}

/// Returns `ANNOUNCEMENT` with up to two of its substrings replaced by fragments.
fn mutated_announcement(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<String> {
    let mut text: Vec<char> = ANNOUNCEMENT.chars().collect();
    for _ in 0..u.int_in_range(0..=2)? {
        let start = u.choose_index(text.len())?;
        let end = (start + u.int_in_range(0..=12_usize)?).min(text.len());
        let fragment = u.choose(&FRAGMENTS)?;
        text.splice(start..end, fragment.chars());
    }
    Ok(text.into_iter().collect())
}

#[test]
fn a_valid_announcement_is_parsed() {
    let record: TargetRecord = serde_json::from_str(ANNOUNCEMENT).unwrap();
    assert_eq!(record.versions.len(), 2);
    assert_eq!(record.service.as_str(), "street-app/pitches");
}

#[test]
fn a_mutated_announcement_is_rejected_or_has_valid_names() {
    check(|u| {
        let text = mutated_announcement(u)?;
        if let Ok(record) = serde_json::from_str::<TargetRecord>(&text) {
            assert!(record.name.as_str().parse::<ServiceName>().is_ok());
            let copy = serde_json::to_string(&record).unwrap();
            assert_eq!(serde_json::from_str::<TargetRecord>(&copy).unwrap(), record);
        }
        Ok(())
    });
}

#[test]
fn accepted_names_have_valid_characters_and_length() {
    check(|u| {
        let text: String = u.arbitrary()?;
        if let Ok(name) = text.parse::<ServiceName>() {
            assert_eq!(name.as_str(), text);
            assert!((1..=NAME_MAX_BYTES).contains(&text.len()));
            assert!(
                text.bytes()
                    .all(|b| b.is_ascii_graphic() && !b.is_ascii_uppercase())
            );
        }
        Ok(())
    });
    assert!("a".repeat(NAME_MAX_BYTES).parse::<ServiceName>().is_ok());
    assert!(
        "a".repeat(NAME_MAX_BYTES + 1)
            .parse::<ServiceName>()
            .is_err()
    );
}

#[test]
fn a_key_is_placed_on_an_existing_shard() {
    check(|u| {
        let (key, count): (String, u32) = u.arbitrary()?;
        assert!(shard_for_key(&key, count) < count.max(1));
        Ok(())
    });
}

//! Validated names, stored as shared immutable strings.

use std::{borrow::Borrow, fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Longest accepted name in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// The error for a name that is empty, too long or has a character that is not allowed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NameError {
    text: String,
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is not a name: expected 1 to {NAME_MAX_BYTES} of a-z 0-9 - _ . /, starting with a letter or digit",
            self.text
        )
    }
}

impl std::error::Error for NameError {}

fn check_name(text: &str) -> Result<(), NameError> {
    let valid_start = text
        .bytes()
        .next()
        .is_some_and(|b| b.is_ascii_lowercase() || b.is_ascii_digit());
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_./".contains(&b);
    if valid_start && text.len() <= NAME_MAX_BYTES && text.bytes().all(is_allowed) {
        return Ok(());
    }
    let text = text.chars().take(NAME_MAX_BYTES).collect();
    Err(NameError { text })
}

macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, f)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(de::Error::custom)
            }
        }
    };
}

shared_name! {
    /// Name of a VM that runs the daemon.
    VmName
}
shared_name! {
    /// Name of a data centre.
    CentreName
}
shared_name! {
    /// Name of a region, a group of data centres.
    RegionName
}
shared_name! {
    /// Name of a service, as listed in the configuration.
    ServiceName
}
shared_name! {
    /// Name of a target, i.e. a back end that holds shards of one service.
    TargetName
}

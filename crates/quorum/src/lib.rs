//! Replicated registers on a small set of voters.

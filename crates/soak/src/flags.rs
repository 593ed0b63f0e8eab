//! Command-line flags.

use std::path::PathBuf;

xflags::xflags! {
    /// Randomized faults on real processes. Ends with 1 when a promise was broken.
    cmd fulmarweir-soak {
        /// The program under test.
        required --program program: PathBuf
        /// A second build, by which VMs are replaced when they start again, and the other way round.
        optional --old-program old_program: PathBuf
        /// First seed.
        optional --seed seed: u64
        /// Number of seeds.
        optional --seeds seeds: u64
        /// Seconds with faults for each seed.
        optional --seconds seconds: u64
        /// Entry VMs.
        optional --entries entries: u8
    }
}

//! Command line of the daemon.

use std::path::PathBuf;

xflags::xflags! {
    /// The query tier daemon. SIGTERM or SIGINT stops it gracefully, a second one at once.
    cmd fulmarweird {
        /// Settings file of this VM (INI).
        required --settings settings: PathBuf
        /// Check the settings file and exit: 0 when it is right, 2 when not.
        optional --check
    }
}

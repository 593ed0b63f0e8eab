//! The command line: commands, arguments and their help texts.

#![allow(
    unreachable_pub,
    clippy::pedantic,
    reason = "the macro writes public structs and a parser of its own style"
)]

use std::path::PathBuf;

use fulmarweir_base::ServiceName;

xflags::xflags! {
    /// The command-line tool of the fulmarweir query tier, for operators and callers.
    ///
    /// Exit codes: 0 done, 1 refused and not run, 2 bad usage or a faulty file,
    /// 3 undecided: the request may have run, or ran without its full effect.
    cmd fulmarweir {
        /// HOST:PORT of a VM, repeatable; the next one is tried only if the
        /// request was not run or is idempotent. For search and act this is the
        /// callers' port (default 127.0.0.1:7000), for all other commands the
        /// operators' port (default 127.0.0.1:7002).
        repeated --at-vm address: String

        /// Print one JSON document on standard output instead of text and tables.
        optional --json

        /// Operators' token. To keep it out of the process list, set the
        /// environment variable FULMARWEIR_TOKEN instead.
        optional --token token: String

        /// Time limit for an answer, over all VMs that are tried (default 10000).
        optional --deadline-ms millis: u64

        /// Reads and changes the configuration, the text that lists all services.
        cmd config {
            /// Checks a file and prints all its faults. Contacts no VM.
            cmd check {
                /// The configuration file.
                required file: PathBuf
            }

            /// Prints the configuration in force.
            cmd show {}

            /// Submits a file as the next version.
            cmd submit {
                /// The configuration file.
                required file: PathBuf

                /// Version that the file is based on. The change is refused if
                /// a newer version exists.
                required --at version: u64

                /// ID of the change. To resend a change whose answer was lost,
                /// give the same ID: the first outcome is returned.
                optional --change-id id: String

                /// Wait for at most this many seconds until the version is in
                /// force on all VMs, and print where it is not.
                optional --wait secs: u64
            }

            /// Lists recent changes and their outcomes.
            cmd history {}

            /// Shows how a file differs from the configuration in force.
            cmd diff {
                /// The configuration file.
                required file: PathBuf
            }
        }

        /// Shows a VM, its configuration, the voters and the other VMs.
        cmd status {}

        /// Lists the targets that a VM knows.
        cmd targets {}

        /// Searches a service.
        cmd search {
            /// Name of the service.
            required service: ServiceName

            /// Search only the shard that holds this key.
            optional --key key: String

            /// JSON body that targets receive (default {}).
            optional --body json: String

            /// Maximum number of hits to return.
            optional --limit hits: u32

            /// Lowest index version that may answer.
            optional --min-version version: u64
        }

        /// Runs an act, such as a renewal, booking or charge, at most once.
        cmd act {
            /// Name of the service.
            required service: ServiceName

            /// Key that decides which shard runs it.
            required --key key: String

            /// JSON body that the target receives (default {}).
            optional --body json: String

            /// Makes the request idempotent: resent with the same key, it never
            /// runs again and the recorded outcome is returned.
            optional --idempotency-key id: String
        }

        /// Shows the timeline of a request from the logs of all VMs, and what
        /// these VMs believed about the tier at that time. Contacts no VM.
        cmd explain {
            /// The caller's ID of the request.
            required request: String

            /// Log files, in any order.
            repeated files: PathBuf
        }

        /// Prints the version of this tool.
        cmd version {}
    }
}

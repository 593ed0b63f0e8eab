//! The command line, in one place: commands, arguments and their help.

#![allow(
    unreachable_pub,
    clippy::pedantic,
    reason = "the macro writes public structs and a parser of its own style"
)]

use std::path::PathBuf;

use fulmarweir_base::ServiceName;

xflags::xflags! {
    /// The operators' and callers' tool of the fulmarweir query tier.
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

        /// Operators' token; the variable FULMARWEIR_TOKEN keeps it off the
        /// list of processes.
        optional --token token: String

        /// Longest time to an answer over all VMs that are tried (default 10000).
        optional --deadline-ms millis: u64

        /// Reads and changes the configuration, the one text that lists all services.
        cmd config {
            /// Checks a file without any VM and prints every fault in it.
            cmd check {
                /// The configuration file.
                required file: PathBuf
            }

            /// Prints the text in force.
            cmd show {}

            /// Submits a file as the next version.
            cmd submit {
                /// The configuration file.
                required file: PathBuf

                /// Version that the file was edited from; refused if it is not
                /// the newest any more.
                required --at version: u64

                /// Names the change. To resend a change whose answer was lost,
                /// give the same ID: the first outcome is returned.
                optional --change-id id: String

                /// Wait until the version is in force on all VMs, and say where it is not.
                optional --wait secs: u64
            }

            /// Lists recent changes and their outcomes.
            cmd history {}

            /// Shows how a file differs from the text in force.
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

            /// Most hits to return.
            optional --limit hits: u32

            /// Oldest index version that may answer.
            optional --min-version version: u64
        }

        /// Runs a renewal, booking or charge, at most once.
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

        /// Tells from the logs of all VMs what became of one request, and what
        /// these VMs believed of their surroundings then. Needs no VM.
        cmd explain {
            /// The caller's id of the request.
            required request: String

            /// Log files, in any order.
            repeated files: PathBuf
        }

        /// Prints the version of this tool.
        cmd version {}
    }
}

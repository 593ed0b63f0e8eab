#!/bin/sh
# Two operators send different configurations with the same version number to two daemons at once.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/fulmarweir-node ] && [ -x target/review/harness ] || exit 2
exec target/review/harness race review/1

#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out. See claim.txt.
set -u
cd "$(dirname "$0")/../.."
if [[ ! -x target/review/standin || ! -x target/release/cactusnotch ]]; then
    echo "build first: the deploy file's build, then review/build.sh" >&2
    exit 2
fi
exec target/review/standin not-run review/2/record.txt

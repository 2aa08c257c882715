#!/usr/bin/env bash
# The placer machine loses its links to all servers, and the store turns its writes away. TROUBLE=0: neither.
cd "$(dirname "$0")/../.."
export MIMOSABAYD="${MIMOSABAYD:-target/release/mimosabayd}"
if [ ! -x "$MIMOSABAYD" ] || [ ! -x target/review-2/site ]; then
    echo "not built: the build of deploy/system.toml and review/build-2.sh come first"
    exit 2
fi
exec timeout -k 5 110 target/review-2/site wedge review/7/record.txt

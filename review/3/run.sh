#!/bin/sh
# 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$here/../.." && pwd)
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$ROOT/deploy/balancer.toml")
export ROOT RUN_COMMAND
[ -n "$RUN_COMMAND" ] && [ -f "$ROOT/target/petrelstand.jar" ] && [ -d "$ROOT/review/build" ] || exit 2
exec java -cp "$ROOT/review/build" standins.SlowPieces "$here" "${TROUBLE:-1}"

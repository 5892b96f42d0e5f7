#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
[ -f target/trestleline.jar ] && [ -f target/review-2/Case10.class ] || { echo "not built: see review/build-2.sh"; exit 2; }
exec java -Xmx512m -cp target/review-2 Case10 review/10

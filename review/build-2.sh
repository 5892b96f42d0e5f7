#!/usr/bin/env bash
# Builds the stand-ins and the cases 6 to 10, after the build of deploy/balancer.toml. Needs a JDK 17 and no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/stand-ins-2/*.java
for case in review/6 review/7 review/8 review/9 review/10; do
  if [ -d "$case" ]; then javac -Xlint:all -cp target/review-2 -d target/review-2 "$case"/*.java; fi
done

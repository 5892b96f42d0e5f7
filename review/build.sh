#!/bin/sh
# Builds the stand-ins of the cases into review/out; needs a JDK 17 only.
set -e
cd "$(dirname "$0")"
rm -rf out
mkdir out
javac --release 17 -d out standins/*.java

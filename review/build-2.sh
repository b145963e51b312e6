#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start, after the build of the deploy file. Needs the JDK alone: no
# library, no network.
set -e
cd "$(dirname "$0")/.."
rm -rf review/lib-2/target
mkdir -p review/lib-2/target
javac -Xlint:all -encoding UTF-8 -d review/lib-2/target review/lib-2/src/*.java

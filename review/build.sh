#!/bin/sh
# Builds what the cases start beside the platform's jar: the daemon's jar with its stewards and commands, and the
# stand-ins in review/lib. Maven goes by what earlier builds have fetched (-o); the network is asked only if that fails.
set -e
cd "$(dirname "$0")/.."
mvn -q -B -o -DskipTests package || mvn -q -B -DskipTests package
rm -rf review/lib/target
mkdir -p review/lib/target
javac -Xlint:all -d review/lib/target review/lib/src/*.java

#!/bin/sh
# Builds what the cases start beside the platform's jar: the daemon's jar with its stewards and commands, and the
# stand-ins in review/lib. Without a network Maven goes by what earlier builds have fetched.
set -e
cd "$(dirname "$0")/.."
mvn -q -B -DskipTests package || mvn -q -B -o -DskipTests package
rm -rf review/lib/target
mkdir -p review/lib/target
javac -Xlint:all -d review/lib/target review/lib/src/*.java

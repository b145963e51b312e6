#!/bin/sh
# Builds the platform's jar and a class-data archive (CDS) that makes the start cheaper. The archive holds the classes
# and lambdas loaded by a trial start, which is ended as soon as it listens, and those loaded by the tests of the front
# door and of its warm-up. The jar also runs without the archive.
set -e
mvn -q -B -DskipTests -pl door -am package
mvn -q -B -pl door -am test -Dtest=FrontDoorTest,WarmUpTest -Dsurefire.failIfNoSpecifiedTests=false \
  "-DargLine=-XX:DumpLoadedClassList=$PWD/door/target/served.lst"

GW_CONFIG=deploy/rehearsal.json java -XX:DumpLoadedClassList=door/target/started.lst -Xmx64m \
  -XX:TieredStopAtLevel=1 -Dio.netty.jfr.enabled=false -jar door/target/willowdoor.jar serve \
  > door/target/rehearsal.log 2>&1 &
door=$!
tries=0
until grep -qs ServerBootstrapAcceptor door/target/started.lst || [ $tries -ge 300 ]; do
  tries=$((tries + 1))
  sleep 0.1
done
kill $door 2> /dev/null && wait $door || true

cat door/target/started.lst door/target/served.lst 2> /dev/null | awk '!seen[$0]++' > door/target/classes.lst
java -Xshare:dump -XX:+UseSerialGC -Xlog:disable -Xlog:all=off -XX:SharedClassListFile=door/target/classes.lst \
  -XX:SharedArchiveFile=door/target/willowdoor.jsa -jar door/target/willowdoor.jar > door/target/archive.log 2>&1 ||
  echo "could not create the class-data archive: see door/target/archive.log" >&2

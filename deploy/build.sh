#!/bin/sh
# Builds the platform's jar, and beside it an archive of class data that makes the start cheap: the classes and
# lambdas that a start itself loads (a rehearsal that is ended as soon as it listens), and those that the tests of the
# front door and of its warm-up load. Without the archive it runs all the same.
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
  echo "no class-data archive: see door/target/archive.log" >&2

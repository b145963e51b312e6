#!/bin/sh
# Builds the platform's jar, and beside it an archive of class data that makes the start cheap: the classes are
# those that the tests of the front door and of its warm-up load. Without the archive it runs all the same.
set -e
mvn -q -B -DskipTests -pl door -am package
mvn -q -B -pl door -am test -Dtest=FrontDoorTest,WarmUpTest -Dsurefire.failIfNoSpecifiedTests=false \
  "-DargLine=-XX:DumpLoadedClassList=$PWD/door/target/classes.lst" &&
  java -Xshare:dump -XX:+UseSerialGC -Xlog:disable -Xlog:all=off -XX:SharedClassListFile=door/target/classes.lst \
    -XX:SharedArchiveFile=door/target/willowdoor.jsa -jar door/target/willowdoor.jar > door/target/archive.log 2>&1 ||
  echo "no class-data archive: see door/target/archive.log" >&2

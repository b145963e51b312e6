#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for built in door/target/willowdoor.jar review/lib-2/target/SlowLongAnswer.class; do
  [ -f "$built" ] || { echo "$built is missing: run sh deploy/build.sh and sh review/build-2.sh" >&2; exit 2; }
done
timeout -k 5 112 java -cp review/lib-2/target SlowLongAnswer review/7
code=$?
[ $code -le 2 ] || code=2
exit $code

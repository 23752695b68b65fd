#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/.build/standins ] && [ -x target/release/juniperdock ] || exit 2
review/.build/standins foreign review/3
case $? in
0) exit 0 ;;
1) exit 1 ;;
*) exit 2 ;;
esac

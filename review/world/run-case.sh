#!/bin/sh
# run-case.sh NAME FOLDER: runs the case program NAME, which writes record.txt
# into FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
name=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/$name
[ -x "$program" ] && [ -x target/bin/lacewingspread ] || exit 2
temporary=$(mktemp -d) || exit 2
"$program" "$folder/record.txt" target/bin/lacewingspread "$temporary"
result=$?
rm -rf "$temporary"
case $result in
  0 | 1) exit $result ;;
  *) exit 2 ;;
esac

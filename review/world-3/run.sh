#!/bin/sh
# Runs one script case: run.sh FOLDER PROGRAM. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
command_of() {
  sed -n "/^\[roles\.$1\]/,/^\[roles\./s/^run = \"\(.*\)\"\$/\1/p" \
    deploy/system.toml
}
balancer=$(command_of balancer)
agent=$(command_of agent)
program="target/review-3/$2"
if [ ! -x "$program" ] || [ ! -x "${balancer%% *}" ]; then
  echo "not built: $program or ${balancer%% *}"
  exit 2
fi
directory=$(mktemp -d) || exit 2
RECORD="$folder/record.txt" timeout -k 5 110 \
  "$program" "$directory" "$balancer" "$agent" >/dev/null
status=$?
rm -rf "$directory"
tail -n 3 "$folder/record.txt"
[ "$status" -le 1 ] && exit "$status"
exit 2

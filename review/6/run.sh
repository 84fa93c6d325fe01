#!/bin/sh
exec "$(dirname "$0")/../world/run-case.sh" ports "$(dirname "$0")"

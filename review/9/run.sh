#!/bin/sh
exec "$(dirname "$0")/../world/run-case.sh" idle "$(dirname "$0")"

#!/bin/sh
exec "$(dirname "$0")/../world/run-case.sh" moved "$(dirname "$0")"

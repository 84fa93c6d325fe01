#!/bin/sh
exec "$(dirname "$0")/../world/run-case.sh" lapse "$(dirname "$0")"

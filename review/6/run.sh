#!/bin/sh
exec "$(dirname "$0")/../world/run-case.sh" foreign "$(dirname "$0")"

#!/bin/sh
exec "$(dirname "$0")/../world/run-case.sh" forgotten "$(dirname "$0")"

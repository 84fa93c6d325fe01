#!/bin/sh
here=$(dirname "$0")
exec "$here/../world-3/run.sh" "$here" newserver

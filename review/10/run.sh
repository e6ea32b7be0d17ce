#!/bin/sh
# Plays the case with the entries of the deploy file; TROUBLE=0 leaves the disruption out. Exit: 1 broken, 0 held, 2 not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
# The stand-in ends its processes itself; these are left only if it is ended from outside.
end() { [ -f "$folder/pids" ] && kill -9 $(cat "$folder/pids") 2>/dev/null; rm -f "$folder/pids"; }
trap 'kill "$standin" 2>/dev/null; end; exit 2' INT TERM HUP
target/review-2/standin pages "$folder" &
standin=$!
wait "$standin"
code=$?
end
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac

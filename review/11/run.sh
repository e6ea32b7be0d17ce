#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0: no process is killed.
cd "$(dirname "$0")" || exit 2
exec ../../target/review-3/release/killed_agent .

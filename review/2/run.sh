#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. The case depends on the
# moment of the crash, so up to three moments are tried, one after the other, until the rule is broken.
cd "$(dirname "$0")"
REVIEW_ROOT=$(cd ../.. && pwd)
export REVIEW_ROOT
for moment in 6050 5950 6150; do
	CRASH_AFTER_MS=$moment ../bin/standins sync-lost "$PWD" || exit
	[ "${TROUBLE:-}" != 0 ] || exit 0
done

#!/bin/sh
# Long moves while one table server hangs.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x bin/junctionring ] || [ ! -x bin/review-2 ]; then
	echo "first run the build of deploy/balancer.toml, and review/build-2.sh" >&2
	exit 2
fi
exec bin/review-2 hung-upload "$here/record.txt"

# Shared by the cases' run.sh, which sets $here (its folder) and then reads this file. POSIX sh.
# Exit status of a case: 0 the rule held, 1 it was broken, 2 the case could not run.
root=$(cd "$here/../.." && pwd)
cd "$root"
TROUBLE=${TROUBLE:-1}
standin=$root/review/bin/standin
record=$here/record.txt
tmp=$(mktemp -d)
export TMPDIR="$tmp"
unset EDGE_CONFIG EDGE_NAME EDGE_LISTEN EDGE_DISCOVERY EDGE_MANAGEMENT EDGE_LOG_LEVEL JUNCTIONRING_COORDINATORS
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml) # exec bin/junctionring serve
pids=
: >"$record"

note() { "$standin" note "$record" "$*"; }

# started PID: ends with the script.
started() { pids="$pids $1"; }

cleanup() {
	for p in $pids; do kill "$p" 2>/dev/null || true; done
	sleep 0.5
	for p in $pids; do kill -9 "$p" 2>/dev/null || true; done
	rm -rf "$tmp"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

cannot() {
	note "the case could not run: $*"
	echo "could not run: $*" >&2
	exit 2
}

[ -x "$standin" ] && [ -x bin/junctionring ] && [ -x bin/fleet ] && [ -x bin/lab ] && [ -x bin/configstream ] || {
	echo "could not run: build the deploy file's build and review/build.sh first" >&2
	exit 2
}

# gateway FILE LOG starts a gateway of an operator's file with the deploy file's run command; its process id is $gateway.
gateway() {
	sh -c "$run --operator $1" >>"$2" 2>&1 &
	gateway=$!
	started "$gateway"
}

# until_ready ADDRESS waits up to 10 s for 200 on the readiness path.
until_ready() { "$standin" ready "$1" 10s || cannot "no gateway is ready at $1"; }

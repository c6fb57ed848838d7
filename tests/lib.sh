# What the demo and the scripted runs share. Source it with BUILD set to a build folder.
# Processes are ended by the ids noted here; every wait is for a condition, with a limit.
set -u
DIR=$(mktemp -d)
PIDS=""
PEER_KEY=000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
INSTANCES=""
SERVERS=""
PLATFORM=""
WAIT_S=${WAIT_S:-40}
trap finish EXIT

finish() {
	local code=$?
	exec 2>/dev/null
	# What a sanitizer found in any process of the run fails it.
	if grep -hE 'ERROR: (Address|Leak|Thread)Sanitizer|WARNING: ThreadSanitizer|runtime error:' "$DIR"/*.log; then
		code=1
		grep -hA "${TRACE:-40}" -E 'ERROR: (Address|Leak|Thread)Sanitizer|WARNING: ThreadSanitizer|runtime error:' "$DIR"/*.log | head -n 150
	fi
	for pid in $PIDS; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
	wait 2>/dev/null
	if [ "${KEEP:-}" ]; then echo "kept: $DIR"; else rm -rf "$DIR"; fi
	exit $code
}

fail() {
	echo "FAILED: $*"
	for log in "$DIR"/*.log; do echo "--- $(basename "$log")"; tail -n "${TAIL:-15}" "$log"; done
	exit 1
}

# wait_for WHAT COMMAND...: until the command succeeds.
wait_for() {
	local what=$1 until=$((SECONDS + WAIT_S))
	shift
	while ! "$@" >/dev/null 2>&1; do
		[ $SECONDS -lt $until ] || fail "waited $WAIT_S s for: $what"
		sleep 0.05
	done
}

# start NAME COMMAND...: in the background; its id in PID_NAME, its output in NAME.log.
start() {
	local name=$1
	shift
	"$@" >>"$DIR/$name.log" 2>&1 &
	eval "PID_$name=$!"
	PIDS="$PIDS $!"
}

pid_of() { eval "echo \$PID_$1"; }
gone() { ! kill -0 "$1" 2>/dev/null; }
stop_now() { kill -KILL "$(pid_of "$1")"; wait "$(pid_of "$1")" 2>/dev/null; true; }

# standin NAME COMMAND...: sets ADDR_NAME to where it listens.
standin() {
	local name=$1
	start "$@"
	wait_for "$name listens" grep -q '^listening' "$DIR/$name.log"
	eval "ADDR_$name=$(sed -n 's/^listening //p' "$DIR/$name.log")"
}

addr_of() { eval "echo \$ADDR_$1"; }

start_platform() {
	standin platform "$BUILD/tests/standin-platform" "$@"
	PLATFORM=$(addr_of platform)
}

# engine NAME DOMAIN [options]; service NAME DOMAIN SERVICE [options]
engine() {
	local name=$1 domain=$2
	shift 2
	standin "$name" "$BUILD/tests/standin-backend" --name "$name" "$@"
	add_server "$name" llm "$domain" "$(addr_of "$name")"
}

service() {
	local name=$1 domain=$2 service=$3
	shift 3
	standin "$name" "$BUILD/tests/standin-backend" --kind service --name "$name" "$@"
	add_server "$name" "$service" "$domain" "$(addr_of "$name")"
}

add_server() {
	SERVERS="$SERVERS${SERVERS:+,}{\"name\":\"$1\",\"service\":\"$2\",\"failure_domain\":\"$3\",\"address\":\"$4\",\"checks_fencing\":${5:-true}}"
}

# plan NAME:DOMAIN ...: addresses for the instances, before any starts.
plan() {
	local entry name ports
	for entry in "$@"; do
		name=${entry%%:*}
		ports=($("$BUILD/tests/free-ports" 3))
		eval "ADDR_$name=127.0.0.1:${ports[0]} OPERATOR_$name=127.0.0.1:${ports[1]} PEER_$name=127.0.0.1:${ports[2]}"
		eval "DOMAIN_$name=${entry##*:}"
		INSTANCES="$INSTANCES $name"
	done
}

operator_of() { eval "echo \$OPERATOR_$1"; }
peer_of() { eval "echo \$PEER_$1"; }
operators() { local list="" i; for i in $INSTANCES; do list="$list${list:+,}$(operator_of "$i")"; done; echo "$list"; }

# settings NAME [extra lines]: PLATFORM_NAME and PEERS_NAME, where set, stand for the way through a proxy.
settings() {
	local name=$1 extra=${2:-} peers="" other own platform
	eval "platform=\${PLATFORM_$name:-$PLATFORM}"
	eval "peers=\${PEERS_$name:-}"
	if [ -z "$peers" ]; then
		for other in $INSTANCES; do
			[ "$other" = "$name" ] && continue
			eval "own=\$DOMAIN_$other"
			peers="$peers${peers:+,}{\"instance\":\"$other\",\"failure_domain\":\"$own\",\"address\":\"$(peer_of "$other")\"}"
		done
	fi
	eval "own=\$DOMAIN_$name"
	cat >"$DIR/$name.json" <<-END
	{
		"instance": "$name",
		"failure_domain": "$own",
		"listen": "$(addr_of "$name")",
		"operator_listen": "$(operator_of "$name")",
		"peer_listen": "$(peer_of "$name")",
		"peers": [ $peers ],
		"peer_key": "$PEER_KEY",
		"platform": "$platform",
		$extra
		"backend_servers": [ $SERVERS ]
	}
	END
}

ready() { curl -sf "http://$(operator_of "$1")/ready" >/dev/null; }

# instance NAME [extra lines]
instance() {
	settings "$@"
	start "$1" "$BUILD/corianderwalk" --settings "$DIR/$1.json"
	wait_for "$1 is ready" ready "$1"
}

instance_unready() {
	settings "$@"
	start "$1" "$BUILD/corianderwalk" --settings "$DIR/$1.json"
	wait_for "$1 lives" curl -sf "http://$(operator_of "$1")/live"
}

cwctl() {
	local list
	list=$(operators)
	"$BUILD/cwctl" --platform "$PLATFORM" --operators "${list:-none}" "$@"
}
control() { curl -sf -X POST "http://$1/control" -d "$2" >/dev/null || fail "control of $1"; }

# chat INSTANCE KEY MODEL [curl options]: a completion, not streamed unless STREAM is set.
chat() {
	local name=$1 key=$2 model=$3
	shift 3
	curl -sN -m 60 "http://$(addr_of "$name")/v1/chat/completions" -H "Authorization: Bearer $key" \
		-d "{\"model\":\"$model\",\"stream\":${STREAM:-false},\"max_tokens\":${TOKENS:-8},\"messages\":[{\"role\":\"user\",\"content\":\"${PROMPT:-hello}\"}]}" "$@"
}

# order INSTANCE KEY IDEMPOTENCY_KEY BODY [curl options]
order() {
	local name=$1 key=$2 idempotency=$3 body=$4
	shift 4
	curl -s -m 60 "http://$(addr_of "$name")/services/orders/fabric" -X POST -H "Authorization: Bearer $key" \
		-H "Idempotency-Key: $idempotency" -H 'Content-Type: application/json' -d "$body" "$@"
}

runs() { curl -s "http://$(addr_of "$1")/runs"; }
# field NAME: of a JSON object on standard input, the first value of that name.
field() { grep -oE "\"$1\":(\"[^\"]*\"|[-0-9.a-z]+)" | head -n 1 | sed -E 's/^[^:]*:"?//; s/"$//'; }
counter() { curl -s "http://$(operator_of "$1")/counters" | awk -v n="corianderwalk_$2" '$1==n{print $2; f=1} END{if(!f) print 0}'; }
bill_count() { cwctl bills --json | grep -c .; }
bills_are() { [ "$(bill_count)" -eq "$1" ]; }
in_force() { local i; for i in $INSTANCES; do [ "$(curl -s "http://$(operator_of "$i")/status" | field table_offset)" -ge "$1" ] || return 1; done; }

# table ROWS...: publishes them, each without the header.
publish() {
	{
		echo "organisation,model,version,weight,requests_per_s,tokens_per_s,concurrent,cost_per_1k_tokens,quality_target,state"
		printf '%s\n' "$@"
	} >"$DIR/table.csv"
	cwctl table publish "$DIR/table.csv" >/dev/null || fail "publish"
}

# proxy NAME TARGET: sets ADDR_NAME to the way through it, CONTROL_NAME to its control port.
proxy() {
	start "$1" "$BUILD/tests/faultproxy" --to "$2"
	wait_for "$1 listens" grep -q '^listening' "$DIR/$1.log"
	eval "ADDR_$1=$(sed -n 's/^proxy //p' "$DIR/$1.log") CONTROL_$1=$(sed -n 's/^listening //p' "$DIR/$1.log")"
}

# faults NAME MODE [more JSON members]
faults() {
	local where
	eval "where=\$CONTROL_$1"
	control "$where" "{\"mode\":\"$2\"${3:+,$3}}"
}

# run_all COUNT COMMAND...: in parallel, the command with 1..COUNT as its last word.
run_all() {
	local count=$1 i ids=""
	shift
	for i in $(seq "$count"); do
		"$@" "$i" &
		ids="$ids $!"
	done
	for i in $ids; do wait "$i"; done
}

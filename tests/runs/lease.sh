# Symptom: an order of an instance that had lost its lease changed what the next holder had set.
# Sequence: the holder's order is on its way when it is paused past its lease; another instance takes
# the lease and gives its own order; the old one arrives, and the old holder goes on.
# Cause: a lease was checked when the order was made, not when it took effect. A server that checks
# the fencing number refuses the old order; for one that ignores it the order states the wanted end.
. tests/lib.sh
start_platform
FAST='"lease_ms": 1000, "load_poll_ms": 50, "silent_ms": 500, "heartbeat_ms": 100,'
scenario() { # NAME checks-fencing-option
	INSTANCES="" SERVERS=""
	engine "r$1" d1 --versions m/1 ${2:-}
	publish "a,m,1,100,,,,1,,allowed" "a,m,2,0,,,,1,,allowed"
	proxy "way$1" "$(addr_of "r$1")"
	plan "old$1:d1" "new$1:d1"
	local direct=$SERVERS
	SERVERS=""
	add_server "r$1" llm d1 "$(addr_of "way$1")"
	instance "old$1" "$FAST"
	knows() { curl -s "http://$(operator_of "old$1")/status" | grep -q '"slots":8'; }
	wait_for "the engine's load is known" knows "$1"
	faults "way$1" freeze
	cwctl table set a m 2 weight 100 >/dev/null
	ordered() { cwctl timeline | grep "instance=$1 " | grep -q 'event=order '; }
	wait_for "the order is on its way" ordered "old$1"
	kill -STOP "$(pid_of "old$1")"
	SERVERS=$direct
	instance "new$1" "$FAST"
	loaded() { curl -s "http://$(addr_of "r$1")/load" | grep -q 'm/2'; }
	wait_for "the new holder's order" loaded "$1"
	orders() { curl -s "http://$(addr_of "r$1")/orders_taken"; }
	local new
	new=$(orders "$1" | grep -o '"fencing":[0-9]*' | sort -u)
	echo "$1: orders before the old one comes: of $(wc -l <<<"$new") fencing number"
	faults "way$1" pass
	arrived() { [ "$(orders "$1" | grep -o '"fencing":[0-9]*' | sort -u | wc -l)" -eq 2 ]; }
	wait_for "the old order arrives" arrived "$1"
	echo "$1: the old order came: refused $(orders "$1" | grep -o '"refused":true' | wc -l)"
	kill -CONT "$(pid_of "old$1")"
	awake() { curl -s "http://$(operator_of "old$1")/status" | grep -q '"state":"live"'; }
	wait_for "the old holder is awake" awake "$1"
	sees() { curl -s "http://$(operator_of "old$1")/status" | grep -q '"platform":"up"'; }
	wait_for "it reads the log" sees "$1"
	local number
	number=$(orders "$1" | grep -o '"fencing":[0-9]*' | sort -t: -k2 -n | head -n 1)
	echo "$1: awake, it gave no second order of its old lease: $([ "$(orders "$1" | grep -o "$number," | wc -l)" -eq 1 ] && echo yes)"
	echo "$1: versions loaded: $(curl -s "http://$(addr_of "r$1")/load" | grep -o '"versions":.*' )"
	stop_now "old$1"; stop_now "new$1"; stop_now "r$1"
}
scenario checks --checks-fencing
scenario ignores

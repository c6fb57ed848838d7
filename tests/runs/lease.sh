# Guards against an order of an expired lease that undoes what the next lease holder has set. The holder is
# paused beyond its lease while its order is in transit; another instance takes the lease and sends its own
# order; then the old order arrives and the old holder resumes. The lease was checked when the order was
# made, not when the order took effect. A server that checks the fencing number refuses the old order; for a
# server that ignores fencing numbers an order states the wanted final state, so a late order is harmless.
. tests/lib.sh
start_platform
FAST='"lease_ms": 1000, "load_poll_ms": 50, "silent_ms": 500, "heartbeat_ms": 100,'
scenario() { # NAME checks-fencing-option
	INSTANCES="" SERVERS=""
	engine "r$1" d1 --versions m/1 ${2:-}
	publish "a,m,1,100,,,,1,,allowed" "a,m,2,0,,,,1,,allowed"
	start_proxy "proxy$1" "$(addr_of "r$1")"
	plan "old$1:d1" "new$1:d1"
	local direct=$SERVERS
	SERVERS=""
	add_server "r$1" llm d1 "$(addr_of "proxy$1")"
	instance "old$1" "$FAST"
	has_load() { curl -s "http://$(operator_of "old$1")/status" | grep -q '"slots":8'; }
	wait_for "the engine's load is known" has_load "$1"
	set_fault "proxy$1" freeze
	cwctl table set a m 2 weight 100 >/dev/null
	has_ordered() { cwctl timeline | grep "instance=$1 " | grep -q 'event=order '; }
	wait_for "the order is in transit" has_ordered "old$1"
	kill -STOP "$(pid_of "old$1")"
	SERVERS=$direct
	instance "new$1" "$FAST"
	is_loaded() { curl -s "http://$(addr_of "r$1")/load" | grep -q 'm/2'; }
	wait_for "the new holder's order" is_loaded "$1"
	received_orders() { curl -s "http://$(addr_of "r$1")/orders_taken"; }
	local new
	new=$(received_orders "$1" | grep -o '"fencing":[0-9]*' | sort -u)
	echo "$1: orders before the old one arrives: of $(wc -l <<<"$new") fencing number"
	set_fault "proxy$1" pass
	has_arrived() { [ "$(received_orders "$1" | grep -o '"fencing":[0-9]*' | sort -u | wc -l)" -eq 2 ]; }
	wait_for "the old order arrives" has_arrived "$1"
	echo "$1: the old order arrived: refused $(received_orders "$1" | grep -o '"refused":true' | wc -l)"
	kill -CONT "$(pid_of "old$1")"
	has_live_peer() { curl -s "http://$(operator_of "old$1")/status" | grep -q '"state":"live"'; }
	wait_for "the old holder has resumed" has_live_peer "$1"
	reads_platform() { curl -s "http://$(operator_of "old$1")/status" | grep -q '"platform":"up"'; }
	wait_for "the old holder reads the log" reads_platform "$1"
	local number
	number=$(received_orders "$1" | grep -o '"fencing":[0-9]*' | sort -t: -k2 -n | head -n 1)
	echo "$1: the old holder resumed and sent no second order of its old lease: $([ "$(received_orders "$1" | grep -o "$number," | wc -l)" -eq 1 ] && echo yes)"
	echo "$1: versions loaded: $(curl -s "http://$(addr_of "r$1")/load" | grep -o '"versions":.*' )"
	stop_now "old$1"; stop_now "new$1"; stop_now "r$1"
}
scenario checks --checks-fencing
scenario ignores

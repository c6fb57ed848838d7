# Partitions of instances from all backend servers, and what callers get meanwhile. Source this file after
# tests/lib_users.sh and tests/lib_fatal.sh: the instances then run as corianderwalk-cut (tests/tools/cut_links.c).
INSTANCE_PROGRAM=tests/corianderwalk-cut
export CUT_KEEP=$P_STORE,$P_PEER
CUT_CONTACT_MS=3000 # from the begin of a partition until its instances must serve as the others do

# set_links MODE NAME...: partitions these instances (hang, reset, refuse), or ends that (none).
set_links() {
	local mode=$1 name
	shift
	for name in "$@"; do
		echo "$mode" >"$DIR/$name.cut"
		kill -USR1 "$(pid_of "$name")"
	done
}

# press_begin SECONDS CALLERS: callers at all instances, beside earlier ones; press_end waits for all of them.
press_begin() {
	local name hosts=""
	for name in $ALL; do eval "hosts=\"$hosts --entry \$HOST_$name\""; done
	PRESSES=$((${PRESSES:-0} + 1))
	"$BUILD/tests/soak-callers" $hosts --port "$P_FRONT" --seed "$PRESSES" --seconds "$1" --callers "$2" \
		--first $((PRESSES * 1000)) >"$DIR/callers.$PRESSES" &
	CALLERS="${CALLERS:-} $!"
}
press_end() { wait $CALLERS; }

# served FROM_MS TO_MS NAME...: requests sent to these instances from FROM_MS until TO_MS (uptime_ms), as "SERVED ALL".
served() {
	local from=$1 to=$2 name hosts=""
	shift 2
	for name in "$@"; do eval "hosts=\"$hosts \$HOST_$name \""; done
	cat "$DIR"/callers.* | awk -v from="$from" -v to="$to" -v hosts="$hosts" '
		$2 != "badkey" && $6 >= from && $6 < to && index(hosts, " " $3 " ") { all++; ok += $5 == "ok" }
		END { print ok + 0, all + 0 }'
}

# judge_served WHO SERVED ALL: whether at most one in fifty of these requests failed.
judge_served() {
	echo "$1: $2 of $3 served" >&2
	[ "$3" -ge 10 ] || { echo "$1: too few requests"; return; }
	[ $(($2 * 50)) -ge $(($3 * 49)) ] && echo "$1: served" || echo "$1: not served"
}

# judge_rejected FROM_MS TO_MS: whether requests sent meanwhile were rejected at once, "not run".
judge_rejected() {
	cat "$DIR"/callers.* | awk -v from="$1" -v to="$2" '
		$2 != "badkey" && $6 >= from && $6 < to { all++; at_once += $5 == "refused" && $7 <= 250 }
		END { print at_once " of " all " rejected at once" >"/dev/stderr"
		      print (all >= 10 && at_once * 50 >= all * 49 ? "all: rejected at once" : "all: not rejected at once") }'
}

# Guarantees that hold at any time, of what the callers and the servers of this run have seen.
check_guarantees() {
	cat "$DIR"/[ea][0-9]*.log | sed -n 's/^run //p' >"$DIR/ran"
	grep ' BAD:' "$DIR"/callers* || echo "answers: valid"
	awk '{print $2}' "$DIR/ran" | grep '^o' | sort | uniq -d | grep . || echo "orders: none ran twice"
	awk '$2 == "order" && $5 == "refused" {print $1}' "$DIR"/callers* | sort >"$DIR/refused"
	awk '{print $2}' "$DIR/ran" | sort -u | comm -12 - "$DIR/refused" | grep . || echo "orders: none refused that ran"
}

# Randomized soak of the platform's face: the real program as separate processes, faults from outside, the
# promises checked from what callers and backend servers saw.
#   bash tests/soak/soak.sh SEED SECONDS [INSTANCES [CALLERS [domains]]]     (BUILD names the build folder)
# With "domains" e2 and a2 are in a failure domain of their own, which is drained now and then.
# Prints the seed, the faults in order, and a verdict. The same seed injects the same faults.
SEED_NUMBER=$1 SECONDS_LONG=$2 INSTANCES_N=${3:-3} CALLERS_N=${4:-12} DOMAINS=${5:-}
. tests/lib.sh
. tests/lib_users.sh
. tests/lib_fatal.sh
KNOWN_MS=3000 # after the third end under one request all instances know
RANDOM=$SEED_NUMBER
now_ms() { echo $(($(date +%s%N) / 1000000)); }
ACTS=""
FAULTS="$DIR/faults"
: >"$FAULTS"
act() { echo "$(awk '{print int($1 * 1000)}' /proc/uptime) $*" >>"$FAULTS"; }
# Behind a proxy, so that a link can be cut without its ends.
proxied() { # NAME TARGET: sets PROXY_NAME and CONTROL_NAME
	start "proxy_$1" "$BUILD/tests/faultproxy" --to "$2"
	wait_for "proxy" grep -q '^listening' "$DIR/proxy_$1.log"
	eval "PROXY_$1=$(sed -n 's/^proxy //p' "$DIR/proxy_$1.log")"
	eval "CONTROL_$1=$(sed -n 's/^listening //p' "$DIR/proxy_$1.log")"
}
link() { # NAME MODE [DELAY]
	eval "local control=\$CONTROL_$1"
	curl -s -o /dev/null -X POST -d "{\"mode\":\"$2\",\"delay_ms\":${3:-0}}" "http://$control/control"
}
store_start
REAL_STORE=$STORE
proxied store "$STORE"
config 1 k1
GENERATION=0
server() { # NAME SERVICE ARGS...: a new incarnation behind its proxy
	local slot=$1 service=$2
	shift 2
	GENERATION=$((GENERATION + 1))
	local name=${slot}g$GENERATION ZONE=z1
	case "$DOMAINS$slot" in domains?2) ZONE=z2 ;; esac
	runner "$name" "$service" v1 "$@"
	eval "local direct=\$ADDR_$name"
	proxied "$name" "$direct"
	eval "ADDR_$name=\$PROXY_$name"
	list "$name" "$service" v1 ready
	eval "CURRENT_$slot=$name; SERVICE_$slot=$service; DIRECT_$name=$direct"
}
FATAL="--fatal deadly --down-ms 700"
server e1 llm --confidence 90 $FATAL
server e2 llm --confidence 40 $FATAL
server a1 app
server a2 app
STORE=$PROXY_store
HOSTS=""
NAMES=""
for i in $(seq "$INSTANCES_N"); do
	entry "n$i"
	NAMES="$NAMES n$i"
	eval "HOSTS=\"$HOSTS --entry \$HOST_n$i\""
done
STORE=$REAL_STORE
for n in $NAMES; do wait_for "$n ready" ready "$n"; done
"$BUILD/tests/soak-callers" $HOSTS --port "$P_FRONT" --seed "$SEED_NUMBER" --seconds "$SECONDS_LONG" \
	--callers "$CALLERS_N" >"$DIR/callers" 2>"$DIR/callers.err" &
CALLERS=$!
# One more caller, whose body ends each engine that begins to run it: at any instance, all the while.
deadly_caller() {
	local hosts=($NAMES) n=0 until=$((SECONDS + SECONDS_LONG))
	while [ $SECONDS -lt $until ]; do
		n=$((n + 1))
		ask "${hosts[$((n % ${#hosts[@]}))]}" POST /chat/9 "d$n" -m 2 -H 'Accept: text/event-stream' -H 'Model: *' \
			-H 'Token-Count: 100,50' -H 'Prefix-Hash: aa:40,bb:60' -d 'a deadly question' >/dev/null
		sleep 0.2
	done
}
deadly_caller &
DEADLY=$!
pick() { local list=($1); PICKED=${list[$((RANDOM % ${#list[@]}))]}; }
revive() { # NAME: waits for its end, starts it again
	wait "$(pid_of "$1")" 2>/dev/null
	eval "STARTS_$1=$(grep -c 'event=started' "$DIR/$1.log")"
	STORE=$PROXY_store entry_again "$1"
}
# The loader of a sanitizer build takes a while before the program's first line runs.
running_now() { [ "$(grep -c 'event=started' "$DIR/$1.log")" -gt "$(eval "echo \${STARTS_$1:-0}")" ]; }
runs_in_z2() { cat "$DIR"/e2g*.log "$DIR"/a2g*.log | grep -c '^run '; }
pause() { sleep "0.$((RANDOM % 8 + 1))"; }
END=$((SECONDS + SECONDS_LONG - 3))
DOMAINS_N=0
[ -z "$DOMAINS" ] || DOMAINS_N=2
all_drained() { for n in $NAMES; do tail -c 200000 "$DIR/$n.log" | grep -o "event=domain_[a-z]* domain=z2" | tail -n 1 | grep -q "_$1" || return 1; done; }
VERSION=1
while [ $SECONDS -lt $END ]; do
	pick "$NAMES"; n=$PICKED
	pick "e1 e2 a1 a2"; slot=$PICKED
	eval "server=\$CURRENT_$slot service=\$SERVICE_$slot"
	case $((RANDOM % (DOMAINS_N + 14))) in
	0) act kill "$n"; kill -KILL "$(pid_of "$n")"; revive "$n" ;;
	1) act term "$n"; kill -TERM "$(pid_of "$n")"; (sleep 0.1) ; pause; revive "$n" ;;
	2) act stop "$n"; kill -STOP "$(pid_of "$n")"; pause; kill -CONT "$(pid_of "$n")" ;;
	3) act hup "$n"; wait_for "$n runs" running_now "$n"; kill -HUP "$(pid_of "$n")" ;;
	4) pick "silent busy many reset slow lost"; act store "$PICKED"; store_mode "$PICKED"; pause; pause; store_mode ok ;;
	5) pick "refuse freeze block_down block_up"; act link store "$PICKED"; link store "$PICKED"; pause; pause; link store pass ;;
	6 | 7) pick "refuse freeze block_down block_up drop_answer cut"; act link "$server" "$PICKED"; link "$server" "$PICKED"; pause; link "$server" pass ;;
	8) act delay "$server"; link "$server" pass 80; pause; link "$server" pass 0 ;;
	9 | 10) pick "notrun error garble short cut hang"; act mode "$server" "$PICKED"
		eval "curl -s -o /dev/null -X POST http://\$DIRECT_$server/admin/mode?m=$PICKED"; pause
		eval "curl -s -o /dev/null -X POST http://\$DIRECT_$server/admin/mode?m=ok" ;;
	11) act replace "$server"; list "$server" "$service" v1 draining
		server "$slot" "$service" $FATAL; put keyed.servers "$server" "" ;;
	12) act crash "$server"; kill -KILL "$(pid_of "$server")"; put keyed.servers "$server" ""; server "$slot" "$service" $FATAL ;;
	14 | 15) act drain z2; put keyed.op evacuate/z2 "{}"; wait_for "all have drained z2" all_drained drained
		before=$(runs_in_z2); pause; pause; after=$(runs_in_z2)
		[ "$before" = "$after" ] || echo "z2 $before $after" >>"$DIR/undrained"
		act restore z2; put keyed.op evacuate/z2 ""; wait_for "all have taken it back" all_drained restored ;;
	13) VERSION=$((VERSION + 1)); act config "$VERSION"; config "$VERSION" k1 ;;
	esac
	[ $((RANDOM % 3)) -eq 0 ] || pause
done
wait $CALLERS
wait $DEADLY
for n in $NAMES; do wait_for "$n ready again" ready "$n"; done
served() { [ "$(ask "$1" GET /read/1 "after$RANDOM" | head -1)" = 200 ]; }
for n in $NAMES; do wait_for "$n serves again" served "$n"; done
streamed() { stream "$1" 5 "again$RANDOM" | grep -q 'id: 5 '; }
for n in $NAMES; do wait_for "$n streams again" streamed "$n"; done
newest() { for n in $NAMES; do knows "$n" "$VERSION" || return 1; done; }
wait_for "all know configuration $VERSION" newest
cat "$DIR"/e*g*.log "$DIR"/a*g*.log | sed -n 's/^run //p' >"$DIR/ran"
bad=0
complain() { echo "BROKEN: $*"; bad=1; }
grep ' BAD:' "$DIR/callers" && complain "an answer that callers may not get"
awk '{print $2}' "$DIR/ran" | grep '^o' | sort | uniq -d | grep . && complain "an order ran twice"
awk '$2 == "order" && $5 == "refused" {print $1}' "$DIR/callers" | sort >"$DIR/refused"
awk '{print $2}' "$DIR/ran" | sort -u | comm -12 - "$DIR/refused" | grep . && complain "called not run, and it had run"
grep ' b[0-9]*-' "$DIR/ran" && complain "a request without a known key ran"
grep SECRET "$DIR/ran" && complain "a key reached a backend server"
# An answer that never came is excused by a signal or a stop of that very instance about that time.
awk '$5 == "silent"' "$DIR/callers" | while read -r id kind host status result at took; do
	for n in $NAMES; do eval "[ \"\$HOST_$n\" = $host ] && name=$n"; done
	awk -v a="$at" -v b="$((at + took))" -v n="$name" '$3 == n && $1 > a - 3000 && $1 < b {found = 1} END {exit !found}' "$FAULTS" ||
		echo "$id $kind $host"
done | grep . && complain "no answer, and nothing happened to the instance"
[ -s "$DIR/undrained" ] && complain "a drained failure domain got requests: $(head -n 1 "$DIR/undrained")"
late=$(late_runs $KNOWN_MS)
[ "$late" -le 3 ] || complain "a request was run $late times later than $KNOWN_MS ms after servers had ended under it three times"
echo "$(ends | wc -l) servers ended under one request, $late runs of it later than $KNOWN_MS ms after the third"
echo "seed $SEED_NUMBER: $(wc -l <"$DIR/callers") requests, $(grep -c ' ok ' "$DIR/callers") ok, $(wc -l <"$FAULTS") faults"
[ $bad -eq 0 ] || { cat "$FAULTS"; KEEP=${KEEP_BAD:-}; echo "verdict: broken"; exit 1; }
echo "verdict: kept"

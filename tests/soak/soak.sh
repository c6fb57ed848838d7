# Randomized soak test of the entry: real processes, injected faults, and checks of the guarantees against what
# callers and backend servers observed.
#   bash tests/soak/soak.sh SEED SECONDS [INSTANCES [CALLERS [WITH]]]   (BUILD: the build folder; WITH: any of
#   domains, reports, eras, cuts and brittle, separated by commas)
# With "domains" the servers e2 and a2 are in the failure domain z2, which is drained and restored at random.
# With "reports" servers also report rate limits, that they leave and that they want rest; what they then get is checked
# every second.
# With "eras" the store goes back to an older copy of itself, also during outages and drains and twice in a row; what the
# operator and the servers wrote is written again up to a second later. Three seconds later a configuration must be in
# force everywhere within two, and no server that was removed gets requests.
# With "cuts" some instances, up to all but one, are partitioned from all servers for seconds, one such cut after the other
# and beside all other faults. From three seconds after its begin their callers must be served nearly as the others.
# With "brittle" the plain servers have places and at times are brittle: they crash after too many rejections. Servers also
# stop for a second.
# Prints the faults in order if a guarantee was violated, the seed, and a verdict. The same seed injects the same
# faults.
SEED_NUMBER=$1 DURATION_S=$2 INSTANCE_COUNT=${3:-3} CALLER_COUNT=${4:-12} DOMAINS="" REPORTS="" ERAS="" CUTS="" BRITTLE=""
case ",${5:-}," in *,domains,*) DOMAINS=domains ;; esac
case ",${5:-}," in *,reports,*) REPORTS=reports ;; esac
case ",${5:-}," in *,eras,*) ERAS=eras ;; esac
case ",${5:-}," in *,cuts,*) CUTS=cuts ;; esac
case ",${5:-}," in *,brittle,*) BRITTLE=brittle ;; esac
. tests/lib.sh
. tests/lib_users.sh
. tests/lib_fatal.sh
. tests/lib_reports.sh
[ -z "$CUTS" ] || . tests/lib_cut.sh
QUARANTINE_MS=3000 # from the third server crash under one request until all instances have quarantined the request
RANDOM=$SEED_NUMBER
ACTS=""
FAULTS="$DIR/faults"
: >"$FAULTS"
record_fault() { echo "$(awk '{print int($1 * 1000)}' /proc/uptime) $*" >>"$FAULTS"; }
# Starts a fault proxy before TARGET, so that the network path can fail while both processes run.
start_proxy() { # NAME TARGET: sets PROXY_NAME and CONTROL_NAME
	start "proxy_$1" "$BUILD/tests/faultproxy" --to "$2"
	wait_for "proxy" grep -q '^listening' "$DIR/proxy_$1.log"
	eval "PROXY_$1=$(sed -n 's/^proxy //p' "$DIR/proxy_$1.log")"
	eval "CONTROL_$1=$(sed -n 's/^listening //p' "$DIR/proxy_$1.log")"
}
set_proxy_mode() { # NAME MODE [DELAY]
	eval "local control=\$CONTROL_$1"
	curl -s -o /dev/null -X POST -d "{\"mode\":\"$2\",\"delay_ms\":${3:-0}}" "http://$control/control"
}
store_start
REAL_STORE=$STORE
start_proxy store "$STORE"
config 1 k1
GENERATION=0
zone_of() { case "$DOMAINS$1" in domains?2) echo z2 ;; *) echo z1 ;; esac; } # SLOT
server() { # NAME SERVICE ARGS...: starts a new incarnation of a backend server behind a fault proxy
	local slot=$1 service=$2
	shift 2
	GENERATION=$((GENERATION + 1))
	local name=${slot}g$GENERATION ZONE
	ZONE=$(zone_of "$slot")
	runner "$name" "$service" v1 "$@"
	eval "local direct=\$ADDR_$name"
	start_proxy "$name" "$direct"
	eval "ADDR_$name=\$PROXY_$name"
	list "$name" "$service" v1 ready
	eval "CURRENT_$slot=$name; SERVICE_$slot=$service; DIRECT_$name=$direct"
}
FATAL="--fatal deadly --down-ms 700"
[ -z "$BRITTLE" ] || FATAL="$FATAL --work-ms 40"
server e1 llm --confidence 90 $FATAL
server e2 llm --confidence 40 $FATAL
server a1 app $FATAL
server a2 app $FATAL
STORE=$PROXY_store
[ -z "$CUTS" ] || export CUT_KEEP=${PROXY_store##*:},$P_PEER
HOSTS=""
NAMES=""
for i in $(seq "$INSTANCE_COUNT"); do
	entry "n$i"
	NAMES="$NAMES n$i"
	eval "HOSTS=\"$HOSTS --entry \$HOST_n$i\""
done
STORE=$REAL_STORE
for n in $NAMES; do wait_for "$n ready" ready "$n"; done
"$BUILD/tests/soak-callers" $HOSTS --port "$P_FRONT" --seed "$SEED_NUMBER" --seconds "$DURATION_S" \
	--callers "$CALLER_COUNT" >"$DIR/callers" 2>"$DIR/callers.err" &
CALLERS=$!
for n in $NAMES; do eval "echo \$HOST_$n $n"; done >"$DIR/hosts"
check_reports() { # prints a line for each violation
	local log
	for log in "$DIR"/[ea][12]g*.log; do
		awk -v server="$(basename "$log" .log)" -v faults="$FAULTS" -v callers="$DIR/callers" -v hosts="$DIR/hosts" \
			-f tests/soak/check_reports.awk "$log"
	done
}
check_reports_while_it_runs() {
	while kill -0 $CALLERS 2>/dev/null; do
		sleep 1
		check_reports >"$DIR/reports.now"
		[ -s "$DIR/reports.now" ] && cat "$DIR/reports.now" >>"$DIR/reports.broken"
	done
}
check_reports_while_it_runs &
CHECKER=$!
# One more caller sends a poison request, which crashes each engine that runs it, to all instances in turn.
poison_caller() {
	local hosts=($NAMES) n=0 until=$((SECONDS + DURATION_S))
	while [ $SECONDS -lt $until ]; do
		n=$((n + 1))
		ask "${hosts[$((n % ${#hosts[@]}))]}" POST /chat/9 "d$n" -m 2 -H 'Accept: text/event-stream' -H 'Model: *' \
			-H 'Token-Count: 100,50' -H 'Prefix-Hash: aa:40,bb:60' -d 'a deadly question' >/dev/null
		sleep 0.2
	done
}
poison_caller &
POISON_CALLER=$!
pick() { local list=($1); PICKED=${list[$((RANDOM % ${#list[@]}))]}; }
restart_instance() { # NAME: waits until the instance has terminated, and starts it again
	wait "$(pid_of "$1")" 2>/dev/null
	eval "STARTS_$1=$(grep -c 'event=started' "$DIR/$1.log")"
	STORE=$PROXY_store restart_entry "$1"
}
# True once a restarted instance runs its own code: a sanitizer build spends some time in the loader before, in which
# SIGHUP would kill the process.
has_started() { [ "$(grep -c 'event=started' "$DIR/$1.log")" -gt "$(eval "echo \${STARTS_$1:-0}")" ]; }
runs_in_z2() { cat "$DIR"/e2g*.log "$DIR"/a2g*.log | grep -c '^run '; }
pause() { sleep "0.$((RANDOM % 8 + 1))"; }
END=$((SECONDS + DURATION_S - 3))
# The kinds of faults, numbered as in the cases below. Those of an option that is not given are left out, and the same seed
# then injects the same faults as ever.
KINDS=(0 1 2 3 4 5 6 7 8 9 10 11 12 13)
[ -z "$REPORTS" ] || KINDS+=(14 15 16 17 18 19)
[ -z "$DOMAINS" ] || KINDS+=(20 21)
[ -z "$ERAS" ] || KINDS+=(22 23 24 25)
[ -z "$CUTS" ] || KINDS+=(26 27 28 29)
[ -z "$BRITTLE" ] || KINDS+=(30 31 32 33)
draw_fault() { FAULT=${KINDS[$((RANDOM % ${#KINDS[@]}))]}; }
WRITERS=""
restore_store() { # HOW: the store goes back to its copy; what was lost is written again after a wait
	local wait_s="0.$((RANDOM % 10))" how=$1
	record_fault restore "$how" "$wait_s"
	case $how in
	kept | broken) store "restore?reads=$how" ;;
	*) store_mode "$how"; pause; store restore; store_mode ok ;;
	esac
	(sleep "$wait_s"; store "rewrite?topic=keyed.op"; store "rewrite?topic=keyed.servers") &
	WRITERS="$WRITERS $!"
}
publish() { # COUNT: that many configurations
	local i
	for i in $(seq "$1"); do VERSION=$((VERSION + 1)); config "$VERSION" k1; done
	record_fault config "$VERSION"
}
lose_records() { # takes the copy, then publishes configurations that it lacks
	store copy
	publish $((RANDOM % 6))
	pause
}
CUT_END=0 CUT_NAMES=""
: >"$DIR/cuts"
begin_cut() { # MODE: of one instance or more, up to all but one
	local count=$((RANDOM % (INSTANCE_COUNT - 1) + 1)) n at
	[ $CUT_END -eq 0 ] || return 0
	CUT_NAMES=$(for n in $NAMES; do echo "$RANDOM $n"; done | sort -n | head -n "$count" | cut -d' ' -f2 | tr '\n' ' ')
	at=$(uptime_ms)
	CUT_END=$((at + 4500 + RANDOM % 2000)) CUT_BEGAN=$at
	record_fault cut "$1" "$CUT_NAMES"
	for n in $CUT_NAMES; do set_link "$1" "$n"; done
}
set_link() { # MODE NAME: an instance that starts reads the mode by itself
	echo "$1" >"$DIR/$2.cut"
	has_started "$2" && kill -USR1 "$(pid_of "$2")" 2>/dev/null
	return 0
}
end_cut() {
	local n hosts=""
	for n in $CUT_NAMES; do
		set_link none "$n"
		eval "hosts=\"$hosts \$HOST_$n\""
	done
	echo "$CUT_BEGAN $(uptime_ms)$hosts" >>"$DIR/cuts"
	record_fault cut_end "$CUT_NAMES"
	CUT_END=0
}
end_cut_in_time() { [ $CUT_END -eq 0 ] || [ "$(uptime_ms)" -lt $CUT_END ] || end_cut; }
make_brittle() { # SERVER
	eval "local direct=\$DIRECT_$1"
	curl -s -o /dev/null -X POST "http://$direct/admin/places?m=6"
	curl -s -o /dev/null -X POST "http://$direct/admin/brittle?m=4"
}
wait_for_writers() { wait $WRITERS; WRITERS=""; }
all_have_newest() { for n in $NAMES; do has_config "$n" "$VERSION" || return 1; done; }
remove_server() { put keyed.servers "$1" ""; echo "$(awk '{print int($1 * 1000)}' /proc/uptime) $1" >>"$DIR/removed"; }
: >"$DIR/removed"
all_instances_are() { for n in $NAMES; do tail -c 200000 "$DIR/$n.log" | grep -o "event=domain_[a-z]* domain=z2" | tail -n 1 | grep -q "_$1" || return 1; done; }
VERSION=1
while [ $SECONDS -lt $END ]; do
	pick "$NAMES"; n=$PICKED
	pick "e1 e2 a1 a2"; slot=$PICKED
	eval "server=\$CURRENT_$slot service=\$SERVICE_$slot"
	end_cut_in_time
	draw_fault
	case $FAULT in
	0) record_fault kill "$n"; kill -KILL "$(pid_of "$n")"; restart_instance "$n" ;;
	1) record_fault term "$n"; kill -TERM "$(pid_of "$n")"; (sleep 0.1) ; pause; restart_instance "$n" ;;
	2) record_fault stop "$n"; kill -STOP "$(pid_of "$n")"; pause; kill -CONT "$(pid_of "$n")" ;;
	3) record_fault hup "$n"; wait_for "$n runs" has_started "$n"; kill -HUP "$(pid_of "$n")" ;;
	4) pick "silent busy many reset slow lost"; record_fault store "$PICKED"; store_mode "$PICKED"; pause; pause; store_mode ok ;;
	5) pick "refuse freeze block_down block_up"; record_fault link store "$PICKED"; set_proxy_mode store "$PICKED"; pause; pause; set_proxy_mode store pass ;;
	6 | 7) pick "refuse freeze block_down block_up drop_answer cut"; record_fault link "$server" "$PICKED"; set_proxy_mode "$server" "$PICKED"; pause; set_proxy_mode "$server" pass ;;
	8) record_fault delay "$server"; set_proxy_mode "$server" pass 80; pause; set_proxy_mode "$server" pass 0 ;;
	9 | 10) pick "notrun error garble short cut hang"; record_fault mode "$server" "$PICKED"
		eval "curl -s -o /dev/null -X POST http://\$DIRECT_$server/admin/mode?m=$PICKED"; pause
		eval "curl -s -o /dev/null -X POST http://\$DIRECT_$server/admin/mode?m=ok" ;;
	11) record_fault replace "$server"; list "$server" "$service" v1 draining
		server "$slot" "$service" $FATAL; remove_server "$server" ;;
	12) record_fault crash "$server"; kill -KILL "$(pid_of "$server")"; put keyed.servers "$server" ""; server "$slot" "$service" $FATAL ;;
	14 | 15) pick "0.5 1.3 2.3 6"; record_fault limit "$server" "$PICKED"; eval "curl -s -o /dev/null -X POST http://\$DIRECT_$server/admin/limit?m=$PICKED" ;;
	16) record_fault unlimit "$server"; eval "curl -s -o /dev/null -X POST http://\$DIRECT_$server/admin/limit" ;;
	17) record_fault leave "$server"; eval "curl -s -o /dev/null -X POST http://\$DIRECT_$server/admin/leaving?m=1"
		server "$slot" "$service" $FATAL; list "$server" "$service" v1 ready ;;
	18 | 19) pick "0.5 1 2"; record_fault rest "$server" "$PICKED"; eval "curl -s -o /dev/null -X POST http://\$DIRECT_$server/admin/rest?m=$PICKED"; pause; pause
		eval "curl -s -o /dev/null -X POST http://\$DIRECT_$server/admin/rest" ;;
	20 | 21) record_fault drain z2; put keyed.op evacuate/z2 "{}"; wait_for "all instances have drained z2" all_instances_are drained
		before=$(runs_in_z2); [ -z "$ERAS" ] || { pick "kept broken silent"; restore_store "$PICKED"; wait_for_writers; }
		pause; pause; after=$(runs_in_z2)
		[ "$before" = "$after" ] || echo "z2 $before $after" >>"$DIR/undrained"
		record_fault restore z2; put keyed.op evacuate/z2 ""; wait_for "all instances have restored z2" all_instances_are restored ;;
	22) record_fault copy; store copy; [ $((RANDOM % 2)) -eq 0 ] || ZONE=$(zone_of "$slot") list "$server" "$service" v1 ready ;;
	23) lose_records; pick "kept broken silent reset busy"; restore_store "$PICKED"; publish $((RANDOM % 3)); wait_for_writers ;;
	24) lose_records; pick "kept broken reset"; restore_store "$PICKED"; pause; pick "kept broken silent"; restore_store "$PICKED"; wait_for_writers ;;
	25) lose_records; pick "kept broken silent"; restore_store "$PICKED"; wait_for_writers; publish $((RANDOM % 4))
		sleep 3; VERSION=$((VERSION + 1)); record_fault calm_config "$VERSION"; config "$VERSION" k1
		[ "$(in_time 2000 all_have_newest)" = "in time" ] || echo "configuration $VERSION" >>"$DIR/late" ;;
	26) begin_cut hang ;;
	27) begin_cut reset ;;
	28 | 29) begin_cut refuse ;;
	30 | 31) record_fault brittle; for slot in a1 a2; do eval "make_brittle \$CURRENT_$slot"; done ;;
	32) record_fault sound; for slot in a1 a2; do eval "curl -s -o /dev/null -X POST http://\$(eval echo \\\$DIRECT_\$CURRENT_$slot)/admin/brittle"; done ;;
	33) record_fault silent "$server"; kill -STOP "$(pid_of "$server")"; sleep 1; kill -CONT "$(pid_of "$server")" ;;
	13) VERSION=$((VERSION + 1)); record_fault config "$VERSION"; config "$VERSION" k1 ;;
	esac
	[ $((RANDOM % 3)) -eq 0 ] || pause
done
[ $CUT_END -eq 0 ] || end_cut
wait $CALLERS
wait $POISON_CALLER
wait $CHECKER
for n in $NAMES; do wait_for "$n ready again" ready "$n"; done
serves_request() { [ "$(ask "$1" GET /read/1 "after$RANDOM" | head -1)" = 200 ]; }
for n in $NAMES; do wait_for "$n serves again" serves_request "$n"; done
serves_stream() { stream "$1" 5 "again$RANDOM" | grep -q 'id: 5 '; }
for n in $NAMES; do wait_for "$n streams again" serves_stream "$n"; done
wait_for "all instances have configuration $VERSION" all_have_newest
cat "$DIR"/e*g*.log "$DIR"/a*g*.log | sed -n 's/^run //p' >"$DIR/ran"
bad=0
report_violation() { echo "BROKEN: $*"; bad=1; }
grep ' BAD:' "$DIR/callers" && report_violation "callers got an invalid answer"
awk '{print $2}' "$DIR/ran" | grep '^o' | sort | uniq -d | grep . && report_violation "an order ran more than once"
awk '$2 == "order" && $5 == "refused" {print $1}' "$DIR/callers" | sort >"$DIR/refused"
awk '{print $2}' "$DIR/ran" | sort -u | comm -12 - "$DIR/refused" | grep . && report_violation "a request was rejected as not run, but it had run"
grep ' b[0-9]*-' "$DIR/ran" && report_violation "a request with an unknown key ran"
grep SECRET "$DIR/ran" && report_violation "an organisation's key reached a backend server"
# A missing answer is allowed only if a fault was injected into that instance from 3 s before the request to its end.
awk '$5 == "silent"' "$DIR/callers" | while read -r id kind host status result at took; do
	for n in $NAMES; do eval "[ \"\$HOST_$n\" = $host ] && name=$n"; done
	awk -v a="$at" -v b="$((at + took))" -v n="$name" '$3 == n && $1 > a - 3000 && $1 < b {found = 1} END {exit !found}' "$FAULTS" ||
		echo "$id $kind $host"
done | grep . && report_violation "a request got no answer, and no fault was injected into the instance"
[ -s "$DIR/undrained" ] && report_violation "a drained failure domain got requests (domain, runs before, runs after): $(head -n 1 "$DIR/undrained")"
[ -s "$DIR/late" ] && report_violation "not in force everywhere within 2 s, without a fault: $(head -n 1 "$DIR/late")"
# An instance that starts while the copy is in force knows no better, until the servers have written again.
while read -r at name; do
	awk -v at="$at" -v faults="$FAULTS" -v name="$name" '
		BEGIN { while ((getline line < faults) > 0) { split(line, f, " "); if (f[2] == "restore") restored[++n] = f[1] } }
		$1 == "got" && $2 > at + 4000 {
			for (i = 1; i <= n; i++) if ($2 > restored[i] && $2 < restored[i] + 5000) next
			print name, $3
		}' "$DIR/$name.log"
done <"$DIR/removed" | grep . && report_violation "a server got requests long after its removal"
check_reports >>"$DIR/reports.broken"
[ -s "$DIR/reports.broken" ] && report_violation "a server got more than it had reported: $(sort -u "$DIR/reports.broken" | head -n 3)"
for n in $NAMES; do eval "echo \$HOST_$n $n"; done >"$DIR/hosts"
awk -v faults="$FAULTS" -v hosts="$DIR/hosts" -v callers="$DIR/callers" -f tests/soak/check_cuts.awk "$DIR/cuts" | grep . &&
	report_violation "callers of partitioned instances were served far worse than others (begin, served, requests, the others)"
fallen=$(cat "$DIR"/a[12]g*.log | grep -c '^fell ')
[ -z "$BRITTLE" ] || [ "$fallen" -le 2 ] || report_violation "brittle servers fell $fallen times"
late=$(count_late_runs $QUARANTINE_MS)
[ "$late" -le 3 ] || report_violation "a poison request ran $late times later than $QUARANTINE_MS ms after the third server crash under it"
echo "$(crash_times | wc -l) server crashes under one poison request, $late runs of it later than $QUARANTINE_MS ms after the third"
[ -z "$CUTS" ] || echo "cuts: $(wc -l <"$DIR/cuts"), requests through peers: $(cat "$DIR"/n*.log | grep -c 'event=carried_end .*outcome=answered')"
[ -z "$BRITTLE" ] || echo "brittle: $(cat "$DIR"/a[12]g*.log | grep -c '^full ') rejections, $fallen falls"
[ -z "$REPORTS" ] || echo "reports: $(cat "$DIR"/[ea][12]g*.log | awk '$1 == "limit" { l++ } $1 == "leaving" { d++ } $1 == "rest" { r++ } END { print l + 0 " answers with a limit, " d + 0 " with leaving, " r + 0 " rejections with rest" }')"
echo "seed $SEED_NUMBER: $(wc -l <"$DIR/callers") requests, $(grep -c ' ok ' "$DIR/callers") ok, $(wc -l <"$FAULTS") faults"
[ $bad -eq 0 ] || { cat "$FAULTS"; KEEP=${KEEP_BAD:-}; echo "verdict: broken"; exit 1; }
echo "verdict: kept"

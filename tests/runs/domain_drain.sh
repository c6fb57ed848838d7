# Guards against new requests in a drained failure domain. An operator drains a failure domain by cwctl: its engines
# get no new requests from any instance until the domain is restored. An instance that starts in between must know of
# the drain as well; here it replays the log, but snapshots of the table carry the drains too.
. tests/lib.sh
start_platform
engine r1 d1 --versions m/1
engine r2 d2 --versions m/1
publish "a,m,1,100,,,,1,,allowed"
KEY=$(cwctl organisation add a)
plan n1:d1 n2:d2 n3:d1
instance n1
instance n2
report_use() { # ENGINE
	local now before
	now=$(runs "$1" | grep -o '"request"' | wc -l)
	eval "before=\${RUNS_$1:-0} RUNS_$1=$now"
	[ "$now" -gt "$before" ] && echo "$1 gets requests" || echo "$1 gets no requests"
}
send_requests() { # INSTANCES
	for n in "$@"; do for i in 1 2 3 4 5 6; do PROMPT="p$RANDOM" chat "$n" "$KEY" m -o /dev/null -w '%{http_code}\n'; done; done | sort | uniq -c | awk '{print $2 ": " $1}'
	report_use r1; report_use r2
}
knows_drain() { # INSTANCE true|false
	curl -s "http://$(operator_of "$1")/status" | grep -q '"failure_domain":"d1"[^}]*"drained":'"$2"
}
send_requests n1 n2
echo "-- d1 is drained"
cwctl domain drain 2>&1; echo "no name: exit $?"
cwctl domain drain d1 | sed 's/[0-9][0-9]*/N/'
for n in n1 n2; do wait_for "$n knows of the drain" knows_drain $n true; done
send_requests n1 n2
cwctl domain list | sed 's/ [0-9][0-9]*$/ N/; s/  */ /g'
echo "-- an instance starts"
instance n3
wait_for "n3 knows of the drain" knows_drain n3 true
send_requests n3
echo "-- d1 is restored"
cwctl domain restore d1 | sed 's/[0-9][0-9]*/N/'
for n in n1 n2 n3; do wait_for "$n knows of the restore" knows_drain $n false; done
send_requests n1 n2 n3

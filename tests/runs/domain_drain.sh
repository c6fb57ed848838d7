# An operator drains a failure domain over the own interface: engines there get nothing new, at any instance, until it
# is taken back; an instance that starts meanwhile knows it, also from a snapshot. Guards against work sent to a domain
# that is to be left alone.
. tests/lib.sh
start_platform
engine r1 d1 --versions m/1
engine r2 d2 --versions m/1
publish "a,m,1,100,,,,1,,allowed"
KEY=$(cwctl organisation add a)
plan n1:d1 n2:d2 n3:d1
instance n1
instance n2
grew() { # ENGINE
	local now before
	now=$(runs "$1" | grep -o '"request"' | wc -l)
	eval "before=\${RUNS_$1:-0} RUNS_$1=$now"
	[ "$now" -gt "$before" ] && echo "$1 is used" || echo "$1 gets nothing"
}
used() { # INSTANCES
	for n in "$@"; do for i in 1 2 3 4 5 6; do PROMPT="p$RANDOM" chat "$n" "$KEY" m -o /dev/null -w '%{http_code}\n'; done; done | sort | uniq -c | awk '{print $2 ": " $1}'
	grew r1; grew r2
}
drained() { curl -s "http://$(operator_of "$1")/status" | grep -q '"failure_domain":"d1"[^}]*"drained":'"$2"; }
used n1 n2
echo "-- d1 is drained"
cwctl domain drain 2>&1; echo "no name: exit $?"
cwctl domain drain d1 | sed 's/[0-9][0-9]*/N/'
for n in n1 n2; do wait_for "$n knows" drained $n true; done
used n1 n2
cwctl domain list | sed 's/ [0-9][0-9]*$/ N/; s/  */ /g'
echo "-- an instance starts"
instance n3
wait_for "n3 knows" drained n3 true
used n3
echo "-- d1 is taken back"
cwctl domain restore d1 | sed 's/[0-9][0-9]*/N/'
for n in n1 n2 n3; do wait_for "$n knows" drained $n false; done
used n1 n2 n3

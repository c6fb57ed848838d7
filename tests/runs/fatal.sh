# Guards against a poison request that is dispatched again and again. One caller sends one body to two
# instances in turn; every engine crashes 40 ms after it began to run the body and is back after 2 s. While
# each attempt and each instance was judged by itself, 36 sends crashed 36 engines, 26 of them later than
# 4 s after the third crash, and one in five of the other callers' requests was served. The crashes of
# several engines, each shortly after the same body began to run, must put the request into quarantine.
. tests/lib.sh
. tests/lib_fatal.sh
KNOWN_MS=4000 # after the third crash all instances know the quarantine
start_platform
for i in 1 2 3 4 5 6; do engine "e$i" d1 --versions m/1 --token-ms 5 --fatal deadly; done
publish "a,m,1,100,,,,1,,allowed" "b,m,1,100,,,,1,,allowed"
KEY=$(cwctl organisation add a)
OTHER=$(cwctl organisation add b)
plan n1:d1 n2:d1
instance n1
instance n2
send_poison() { # INSTANCE STREAM KEY [CURL ARGS...]
	local name=$1 stream=$2 key=$3
	shift 3
	PROMPT="a deadly question" STREAM=$stream TOKENS=60 chat "$name" "$key" m -m 6 "$@"
}
(for i in $(seq 60); do
	PROMPT="harmless $i" chat "n$((i % 2 + 1))" "$OTHER" m | grep -q '"finish_reason"\|"content"' && echo ok || echo failed
	sleep 0.1
done >"$DIR/others") &
OTHERS=$!
echo "-- one body, 24 times in 9 s, at two instances in turn"
for i in $(seq 24); do
	send_poison "n$((i % 2 + 1))" false "$KEY" >/dev/null
	sleep 0.3
done
wait $OTHERS
echo "runs begun later than 4 s after the third crash, $(at_most 3 "$(count_late_runs $KNOWN_MS)")"
echo "server crashes, $(at_most 6 "$(crash_times | wc -l)")"
echo "others' requests with a complete answer, of 60: $(at_least 54 "$(grep -c ok "$DIR/others")")"
echo "-- the same as a stream, which is another body: its servers crash after eight events"
for i in $(seq 12); do
	send_poison "n$((i % 2 + 1))" true "$KEY" >/dev/null
	sleep 0.3
done
echo "server crashes by both, $(at_most 12 "$(crash_times | wc -l)")"
echo "-- the caller's answer: not run, and no hint to retry"
send_poison n1 false "$KEY" -o "$DIR/answer" -D "$DIR/head" -w '%{http_code}\n'
echo "$(json_field code <"$DIR/answer") $(json_field run <"$DIR/answer") retry-after lines: $(grep -ic '^retry-after' "$DIR/head")"
echo "-- an operator sees the request and its organisation"
curl -s "http://$(operator_of n2)/quarantine" | grep -oE '"organisation":"a"' | sort -u
echo "-- all instances are killed and restarted: the request is still quarantined"
for n in n1 n2; do stop_now $n; done
for n in n1 n2; do instance $n; done
has_quarantine() { curl -s "http://$(operator_of "$1")/quarantine" | grep -q '"fingerprint"'; }
for n in n1 n2; do wait_for "$n has the quarantine" has_quarantine $n; done
RESTARTED=$(uptime_ms)
for i in 1 2 3 4; do send_poison "n$((i % 2 + 1))" false "$KEY" >/dev/null; done
echo "runs begun after the restart, $(at_most 0 "$(count_late_runs 0 "$RESTARTED")")"
echo "-- an operator releases the request"
FINGERPRINT=$(cwctl quarantine list --json | json_field fingerprint)
cwctl quarantine release 12ab 2>&1; echo "exit $?"
cwctl quarantine release "$FINGERPRINT"; echo "exit $?"
is_released() { ! curl -s "http://$(operator_of "$1")/quarantine" | grep -q "$FINGERPRINT"; }
for n in n1 n2; do wait_for "$n has released it" is_released $n; done
echo "released at all instances"

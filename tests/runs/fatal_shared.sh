# Guards against a harmless request that is quarantined in place of the poison request. Six callers send one
# poison body at once, six others harmless ones, three of them all the same body. That shared body was
# running at each engine's crash as well, and one copy of it had always just begun, so it was quarantined in
# the poison request's place and its callers were answered 422 for as long as they asked.
. tests/lib.sh
. tests/lib_fatal.sh
KNOWN_MS=4000 # after the third crash all instances know the quarantine
SETTLED_S=6   # from the first poison body until the crashed engines have restarted
start_platform
for i in 1 2 3 4 5 6; do engine "e$i" d1 --versions m/1 --token-ms 5 --fatal deadly; done
publish "a,m,1,100,,,,1,,allowed" "b,m,1,100,,,,1,,allowed"
KEY=$(cwctl organisation add a)
OTHER=$(cwctl organisation add b)
plan n1:d1 n2:d1 n3:d1 n4:d1
for n in n1 n2 n3 n4; do instance $n; done
BEGAN=$SECONDS
poison_caller() { # NUMBER
	for i in $(seq 30); do
		PROMPT="a deadly question" STREAM=false TOKENS=60 chat "n$((($1 + i) % 4 + 1))" "$KEY" m -m 6 >/dev/null
		sleep 0.2
	done
}
harmless_caller() { # NUMBER: callers with odd numbers all send the same body
	local prompt="the question of the day"
	for i in $(seq 90); do
		[ $(($1 % 2)) -eq 1 ] || prompt="question $1 $i"
		code=$(TOKENS=40 PROMPT="$prompt" chat "n$((($1 + i) % 4 + 1))" "$OTHER" m -m 6 -o /dev/null -w '%{http_code}')
		echo "$((SECONDS - BEGAN)) $(($1 % 2)) $code" >>"$DIR/others.$1"
		sleep 0.1
	done
}
CALLERS=""
for c in 1 2 3 4 5 6; do
	poison_caller $c & CALLERS="$CALLERS $!"
	harmless_caller $c & CALLERS="$CALLERS $!"
done
wait $CALLERS
percent_answered() { # SHARED: percent of the requests answered 200 of those sent after SETTLED_S
	cat "$DIR"/others.* | awk -v s="$SETTLED_S" -v shared="$1" '$1 >= s && $2 == shared { n++; ok += $3 == 200 }
		END { print n ? int(100 * ok / n) : 0 }'
}
echo "runs begun later than 4 s after the third crash, $(at_most 3 "$(count_late_runs $KNOWN_MS)")"
echo "percent of the shared body's requests answered once the engines have restarted: $(at_least 99 "$(percent_answered 1)")"
echo "percent of the requests with other harmless bodies: $(at_least 99 "$(percent_answered 0)")"
echo "quarantined: $(cwctl quarantine list --json | wc -l)"

# Six callers sent one deadly body at once, six others harmless ones, half of them the same body. At each
# engine's end that shared body was there as well, and one copy of it had always just come: it was held in
# the deadly one's place, and its callers were answered 422 for as long as they asked.
. tests/lib.sh
. tests/lib_fatal.sh
KNOWN_MS=4000 # after the third end all instances know
SETTLED_S=6   # from the first deadly body until its engines have started again
start_platform
for i in 1 2 3 4 5 6; do engine "e$i" d1 --versions m/1 --token-ms 5 --fatal deadly; done
publish "a,m,1,100,,,,1,,allowed" "b,m,1,100,,,,1,,allowed"
KEY=$(cwctl organisation add a)
OTHER=$(cwctl organisation add b)
plan n1:d1 n2:d1 n3:d1 n4:d1
for n in n1 n2 n3 n4; do instance $n; done
BEGAN=$SECONDS
deadly_caller() { # NUMBER
	for i in $(seq 30); do
		PROMPT="a deadly question" STREAM=false TOKENS=60 chat "n$((($1 + i) % 4 + 1))" "$KEY" m -m 6 >/dev/null
		sleep 0.2
	done
}
harmless_caller() { # NUMBER: of odd ones all ask the same
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
	deadly_caller $c & CALLERS="$CALLERS $!"
	harmless_caller $c & CALLERS="$CALLERS $!"
done
wait $CALLERS
whole() { # SHARED: percent of those that were asked once all had settled
	cat "$DIR"/others.* | awk -v s="$SETTLED_S" -v shared="$1" '$1 >= s && $2 == shared { n++; ok += $3 == 200 }
		END { print n ? int(100 * ok / n) : 0 }'
}
echo "runs begun 4 s and later after the third end, $(at_most 3 "$(late_runs $KNOWN_MS)")"
echo "the shared body, of a hundred asked for once the engines are back: $(at_least 99 "$(whole 1)")"
echo "the others' own bodies: $(at_least 99 "$(whole 0)")"
echo "held: $(cwctl quarantine list --json | wc -l)"

# Symptom: an order ran twice, a bill stood twice, an edit was applied twice.
# Sequence: the platform keeps a record and the connection breaks before its answer comes: for claims,
# for bills, for edits of the table, again and again; then every answer is cut after a few bytes.
# Cause: no answer was taken for "not kept". What was appended is looked for before it is sent again.
. tests/lib.sh
ROUNDS=15
start_platform
engine r1 d1 --versions m/1
service o1 d1 orders
publish "a,m,1,100,,,,1,,allowed" "a,service:orders,,,,,,,,allowed"
KEY=$(cwctl organisation add a)
plan e1:d1 e2:d2
proxy p1 "$PLATFORM"; proxy p2 "$PLATFORM"
PLATFORM_e1=$ADDR_p1
instance e1; instance e2
control "$PLATFORM" '{"members":[]}'
taken() { runs o1 | grep -oE "\"key\":\"$1\"" | wc -l; }
wrong=0
for i in $(seq $ROUNDS); do
	faults p1 drop_answer '"count":2'
	order e1 "$KEY" "k$i" '{}' >"$DIR/answer"
	faults p1 pass
	# Whatever it was told, the caller asks again elsewhere until it has its outcome.
	again() { order e2 "$KEY" "k$i" '{}' >"$DIR/again"; grep -q '"order"' "$DIR/again"; }
	wait_for "an outcome of k$i" again
	[ "$(taken "k$i")" -eq 1 ] || wrong=$((wrong + 1))
done
echo "$ROUNDS orders with the answers of their appends cut: not taken exactly once $wrong"
faults p1 cut '"after":40'
"$BUILD/tests/loadgen" --to "$ADDR_e1" --key "$KEY" --model m --requests 60 --concurrency 6 --name b | cut -d' ' -f 2-4
faults p1 drop_answer
"$BUILD/tests/loadgen" --to "$ADDR_e1" --key "$KEY" --model m --requests 60 --concurrency 6 --name c | cut -d' ' -f 2-4
faults p1 pass
count_bills() { cwctl bills --json | grep -cE '"bill":"(b|c)-'; }
all_bills() { [ "$(count_bills)" -eq 120 ]; }
wait_for "120 bills" all_bills
echo "bills: $(count_bills)"
# cwctl itself behind the proxy: its edit is applied once, and it says so.
for i in 1 2 3; do
	faults p2 drop_answer '"count":1'
	"$BUILD/cwctl" --platform "$ADDR_p2" table set a m 1 weight "$i" >/dev/null; echo "edit $i: exit $?"
done
faults p2 pass
echo "weight: $(cwctl table show --json | field weight), edits of it in the log: $(curl -s "http://$PLATFORM/log/table?from=1&max=100&wait_ms=0" | grep -oE '"column":"weight","value":"[123]"' | wc -l)"

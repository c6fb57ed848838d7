# Guards against an order that runs twice, a duplicate bill or an edit applied twice. The platform stores a
# record and the connection breaks before the answer arrives: repeatedly for claims, bills and edits of the
# table; answers are also truncated after a few bytes. A missing answer was taken for "not stored"; the log
# must be searched for the record before the append is retried.
. tests/lib.sh
ROUNDS=15
start_platform
engine r1 d1 --versions m/1
service o1 d1 orders
publish "a,m,1,100,,,,1,,allowed" "a,service:orders,,,,,,,,allowed"
KEY=$(cwctl organisation add a)
plan e1:d1 e2:d2
start_proxy p1 "$PLATFORM"; start_proxy p2 "$PLATFORM"
PLATFORM_e1=$ADDR_p1
instance e1; instance e2
control "$PLATFORM" '{"members":[]}'
received_orders() { runs o1 | grep -oE "\"key\":\"$1\"" | wc -l; }
wrong=0
for i in $(seq $ROUNDS); do
	set_fault p1 drop_answer '"count":2'
	order e1 "$KEY" "k$i" '{}' >"$DIR/answer"
	set_fault p1 pass
	# Whatever the answer, the caller retries on another instance until it has the order's outcome.
	is_ordered() { order e2 "$KEY" "k$i" '{}' >"$DIR/retry"; grep -q '"order"' "$DIR/retry"; }
	wait_for "an outcome of k$i" is_ordered
	[ "$(received_orders "k$i")" -eq 1 ] || wrong=$((wrong + 1))
done
echo "$ROUNDS orders whose appends lost their answers: not run exactly once $wrong"
set_fault p1 cut '"after":40'
"$BUILD/tests/loadgen" --to "$ADDR_e1" --key "$KEY" --model m --requests 60 --concurrency 6 --name b | cut -d' ' -f 2-4
set_fault p1 drop_answer
"$BUILD/tests/loadgen" --to "$ADDR_e1" --key "$KEY" --model m --requests 60 --concurrency 6 --name c | cut -d' ' -f 2-4
set_fault p1 pass
count_bills() { cwctl bills --json | grep -cE '"bill":"(b|c)-'; }
has_all_bills() { [ "$(count_bills)" -eq 120 ]; }
wait_for "120 bills" has_all_bills
echo "bills: $(count_bills)"
# cwctl behind the proxy: its edit is applied once, and cwctl reports success.
for i in 1 2 3; do
	set_fault p2 drop_answer '"count":1'
	"$BUILD/cwctl" --platform "$ADDR_p2" table set a m 1 weight "$i" >/dev/null; echo "edit $i: exit $?"
done
set_fault p2 pass
echo "weight: $(cwctl table show --json | json_field weight), edits of it in the log: $(curl -s "http://$PLATFORM/log/table?from=1&max=100&wait_ms=0" | grep -oE '"column":"weight","value":"[123]"' | wc -l)"

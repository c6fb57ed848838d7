# A server sends bytes without end that are no answer, beside a sound one. Guards against callers that get nothing, as
# their requests wait for it, and against one caller after the other being sent to it.
. tests/lib.sh
. tests/lib_users.sh
. tests/lib_cut.sh
store_start
config 1 k1
runner a1 app v1
# ask_until_asked INSTANCE SERVER: reads, one after the other, until one was sent to that server; prints their statuses,
# and whether the slowest took less than the route's time.
ask_until_asked() {
	local asked slowest_ms=0 began_ms took_ms number=0 statuses="$DIR/statuses"
	asked=$(grep -c '^got' "$DIR/$2.log")
	: >"$statuses"
	while [ "$(grep -c '^got' "$DIR/$2.log")" = "$asked" ] && [ $number -lt 200 ]; do
		number=$((number + 1))
		began_ms=$(now_ms)
		ask "$1" GET /read/1 "r$1$2$number$RANDOM" | head -n 1 >>"$statuses"
		took_ms=$(($(now_ms) - began_ms))
		[ $took_ms -le $slowest_ms ] || slowest_ms=$took_ms
	done
	echo "$(sort -u "$statuses" | tr '\n' ' ')$([ $number -lt 200 ] || echo ", the server was not asked") $([ $slowest_ms -le 1500 ] && echo "in time" || echo "late: $slowest_ms ms")"
}
start_instances n1 n2
for form in interim head; do
	endless "a_$form" app $form
	echo "$form: $(ask_until_asked n1 "a_$form")"
done
echo "-- through a peer"
set_links hang n1
is_partitioned() { ask n1 GET /read/1 "seen-$RANDOM" >/dev/null; [ "$(metric n1 partitioned)" = 1 ]; }
wait_for "n1 knows that it is partitioned" is_partitioned
# A server that n1 has probed in vain before it is asked is avoided: another one is listed then.
for form in interim head; do
	for try in 1 2 3 4 5; do
		endless "p$try$form" app $form
		seen=$(ask_until_asked n1 "p$try$form")
		case "$seen" in *"not asked"*) ;; *) break ;; esac
	done
	echo "$form: $seen"
done

# The largest model rejects, breaks, or doesn't answer. Symptom this prevents: the small model's answer, which had begun,
# is dropped for it, and the caller gets nothing.
. tests/lib.sh
. tests/lib_users.sh
store_start
config 1 k1
runner e1 llm v1 --confidence 30 --gap 10
entry n1
wait_for "ready" ready n1
# The objective is 1,500 ms; the rest is for the client to start and end.
largest() { curl -s -o /dev/null -X POST "http://$ADDR_e1/admin/largest?m=$1"; }
for how in ok notrun lost hang; do
	largest $how
	began_ms=$(now_ms)
	echo "-- $how: $(stream n1 6 "s_$how")"
	took_ms=$(($(now_ms) - began_ms))
	[ $took_ms -le 2000 ] && echo "in time" || echo "late: $took_ms ms"
	none_runs() { [ "$(running e1)" = 0 ]; }
	wait_for "no run is left" none_runs
done
runs e1 | cut -d ' ' -f 1,2
echo "-- the caller leaves while the largest model doesn't answer"
stream n1 500 gone -m 0.5
in_time 500 none_runs
grep -o 'event=ended request=s_.* model=[a-z]*' "$DIR/n1.log" | sed 's/.*request=\(s_[a-z]*\).* model=/\1 /'
grep -o 'event=kept_delivered request=s_[a-z]* why=[a-z_]*' "$DIR/n1.log" | cut -d ' ' -f 2-
metric n1 'kept_answer_bytes'

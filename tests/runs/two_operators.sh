# Guards against an accepted edit that another operator's edit undoes, and against two operators who both see
# their conflicting edits accepted, as with last-writer-wins. Two operators edit one cell, both based on the
# same revision; then eight at once; then an append loses its answer, and an edit is appended a second time
# after another operator's. Of conflicting edits every instance must apply the first in log order.
. tests/lib.sh
start_platform
engine r1 d1 --versions m/1
publish "a,m,1,100,,,,1,,allowed"
plan e1:d1 e2:d2
instance e1
instance e2
cwctl table set a m 1 weight 10 --if-revision 1; echo "first: exit $?"
cwctl table set a m 1 weight 20 --if-revision 1 2>&1 | sed 's/offset [0-9]*/offset N/'; echo "second: exit ${PIPESTATUS[0]}"
cwctl table set a m 1 weight minus 2>&1; echo "bad value: exit $?"
set_concurrent() { cwctl table set a m 1 concurrent "$1" --if-revision 1 >/dev/null 2>&1 && echo "$1" >>"$DIR/won"; }
run_parallel 8 set_concurrent
echo "of 8 at once, accepted: $(wc -l <"$DIR/won")"
wait_for "in force" has_table_offset 10
echo "the table has the winner's value: $([ "$(cwctl table show --json | json_field concurrent)" = "$(cat "$DIR/won")" ] && echo yes)"
# The log stores an edit but its answer is lost. Then an edit is appended, another operator's follows, and the first
# one is appended again.
control "$PLATFORM" '{"lose_answers":1}'
cwctl table set a m 1 weight 77; echo "answer lost: exit $?"
EDIT='{"edit":"once","by":"x","cells":[{"organisation":"a","model":"m","version":"1","column":"weight","value":"31"}]}'
curl -s -X POST "http://$PLATFORM/log/table" -d "$EDIT" >/dev/null
cwctl table set a m 1 weight 32 >/dev/null
curl -s -X POST "http://$PLATFORM/log/table" -d "$EDIT" >/dev/null
wait_for "in force" has_table_offset 14
echo "weight after the repeat: $(cwctl table show --json | json_field weight)"
echo "edits rejected on each instance: $(cwctl timeline | grep 'instance=e1 .*edit_re' -c) $(cwctl timeline | grep 'instance=e2 .*edit_re' -c)"

# Symptom: an operator's accepted edit was undone by another's, or each believed his had won.
# Sequence: two operators edit one cell, both naming the revision they saw; then many at once; then
# one edit whose append is answered late and sent again after another operator's.
# Cause: a last writer wins. The fold takes the first in log order, the same on every instance.
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
one() { cwctl table set a m 1 concurrent "$1" --if-revision 1 >/dev/null 2>&1 && echo "$1" >>"$DIR/won"; }
run_all 8 one
echo "of 8 at once, accepted: $(wc -l <"$DIR/won")"
wait_for "in force" in_force 10
echo "the table has the winner's value: $([ "$(cwctl table show --json | field concurrent)" = "$(cat "$DIR/won")" ] && echo yes)"
# The edit is kept but its answer lost; before it is repeated another operator's edit comes.
control "$PLATFORM" '{"lose_answers":1}'
cwctl table set a m 1 weight 77; echo "answer lost: exit $?"
EDIT='{"edit":"once","by":"x","cells":[{"organisation":"a","model":"m","version":"1","column":"weight","value":"31"}]}'
curl -s -X POST "http://$PLATFORM/log/table" -d "$EDIT" >/dev/null
cwctl table set a m 1 weight 32 >/dev/null
curl -s -X POST "http://$PLATFORM/log/table" -d "$EDIT" >/dev/null
wait_for "in force" in_force 14
echo "weight after the repeat: $(cwctl table show --json | field weight)"
echo "edits turned away on each: $(cwctl timeline | grep 'instance=e1 .*edit_re' -c) $(cwctl timeline | grep 'instance=e2 .*edit_re' -c)"

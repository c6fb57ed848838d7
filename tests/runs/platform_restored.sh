# The platform of the own interface comes back from an older copy of its log: the newest bills and the newest edit of the
# table are gone, and their offsets are given out again. Symptom this prevents: a request that is billed never, or an edit
# that no instance applies.
. tests/lib.sh
start_platform
engine r1 d1 --versions m/1,m/2
publish "a,m,1,100,,,,1,,allowed
a,m,2,0,,,,1,,allowed"
KEY=$(cwctl organisation add a)
plan e1:d1 e2:d2
instance e1; instance e2
ask_many() { "$BUILD/tests/loadgen" --to "$ADDR_e1" --key "$KEY" --model m --requests 20 --concurrency 4 --name "$1" >/dev/null; }
count_bills() { cwctl bills --json | grep -oE '"bill":"(b|c)-[^"]*"' | sort -u | wc -l; }
has_bills() { [ "$(count_bills)" -ge "$1" ]; }
ask_many b
wait_for "the bills are in the log" has_bills 20
edits_in() { grep -c 'event=in_force' "$DIR/$1.log"; } # that the instance has applied
apply_edit() { # WEIGHT: an edit of the operator; prints which instances apply it
	local e before_e1 before_e2
	before_e1=$(edits_in e1) before_e2=$(edits_in e2)
	cwctl table set a m 2 weight "$1" >/dev/null
	sleep 2
	for e in e1 e2; do eval "[ \"\$(edits_in $e)\" -gt \"\$before_$e\" ]" && echo "$e applies the edit" || echo "$e does not apply the edit"; done
}
apply_edit 30
echo "-- the log loses its newest records"
records() { curl -s "http://$PLATFORM/log/$1?from=1&max=1000&wait_ms=0" | grep -o '"offset":' | wc -l; }
control "$PLATFORM" "{\"lose\":{\"bills\":$(records bills),\"table\":1}}"
apply_edit 60
ask_many c
wait_for "later bills are in the log" has_bills 20
sleep 5
echo "bills of 40 requests: $(count_bills)"

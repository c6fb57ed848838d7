# Guards against a poison request that is sent again since the platform's log came back without its quarantine, and all
# instances were replaced.
. tests/lib.sh
. tests/lib_fatal.sh
start_platform
for i in 1 2 3 4 5 6; do engine "e$i" d1 --versions m/1 --token-ms 5 --fatal deadly; done
publish "a,m,1,100,,,,1,,allowed"
KEY=$(cwctl organisation add a)
plan n1:d1 n2:d1
instance n1
instance n2
send_poison() { # NUMBER
	PROMPT="a deadly question" TOKENS=60 chat "n$(($1 % 2 + 1))" "$KEY" m -m 6 -o /dev/null
}
records() { curl -s "http://$PLATFORM/log/notices?from=1&max=1000&wait_ms=0"; }
has_written() { records | grep -q '"quarantine"'; }
for i in $(seq 12); do send_poison "$i"; sleep 0.3; done
wait_for "the quarantine is in the log" has_written
echo "-- the log loses its notices"
control "$PLATFORM" "{\"lose\":{\"notices\":$(records | grep -o '"offset":' | wc -l)}}"
wait_for "the quarantine is in the log again" has_written
has_counted() { [ "$(counter_value n1 'log_shortened_total{stream="notices"}')" -ge 1 ]; }
wait_for "the loss is counted" has_counted
echo "-- all instances are killed and restarted"
for n in n1 n2; do stop_now $n; done
for n in n1 n2; do instance $n; done
has_quarantine() { curl -s "http://$(operator_of "$1")/quarantine" | grep -q '"fingerprint"'; }
for n in n1 n2; do wait_for "$n has the quarantine" has_quarantine $n; done
RESTARTED=$(uptime_ms)
for i in 1 2 3 4; do send_poison "$i"; done
echo "runs begun after the restart, $(at_most 0 "$(count_late_runs 0 "$RESTARTED")")"

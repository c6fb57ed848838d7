# Guards against costs that grow too fast with the number of instances: calls of the shared store, messages, and the
# time until all instances can serve or have a change. A simulation of 60 and 200 instances: all start, all restart,
# the instances that read the store for the others terminate.
for scenario in start restart readers; do
	if "$BUILD/tests/fleet-model" -n 60 -n 200 -s $scenario >"$BUILD/fleet-$scenario.txt"; then
		echo "$scenario: within its bounds"
	else
		echo "$scenario:"
		cat "$BUILD/fleet-$scenario.txt"
	fi
done
# Half of the messages are lost.
"$BUILD/tests/fleet-model" -n 60 -s readers --lost 500 >/dev/null && echo "readers, messages lost: within its bounds"
"$BUILD/tests/fleet-model" -s restart 2>/dev/null || echo "no size: refused with $?"
"$BUILD/tests/fleet-model" -n 60 -s other 2>/dev/null || echo "an unknown scenario: refused with $?"

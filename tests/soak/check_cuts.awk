# Reads the partitions of a soak: BEGIN_MS END_MS HOST...; prints one in which, from three seconds after its begin, requests
# at these instances were served less than two thirds as often as those at the others, and more than 10 and one in fifty of
# all failed there. Requests that an instance's own fault may have hit, up to three seconds before, are left out.
# faults: file of "MS KIND NAME...", hosts: "HOST NAME", callers: soak-callers' output.
BEGIN {
	while ((getline line < hosts) > 0) { split(line, f, " "); name[f[1]] = f[2] }
	while ((getline line < faults) > 0) {
		split(line, f, " ")
		if (f[2] == "kill" || f[2] == "term" || f[2] == "stop" || f[2] == "hup") { at[++n] = f[1]; who[n] = f[3] }
	}
	while ((getline line < callers) > 0) request[++m] = line
}
function is_disturbed(host, from, to, i) {
	for (i = 1; i <= n; i++)
		if (who[i] == name[host] && at[i] > from - 3000 && at[i] < to) return 1
	return 0
}
{
	delete cut
	for (i = 3; i <= NF; i++) cut[$i] = 1
	served = all = other_served = other_all = 0
	for (i = 1; i <= m; i++) {
		split(request[i], f, " ")
		if (f[2] == "badkey" || f[6] < $1 + 3000 || f[6] + f[7] > $2 || is_disturbed(f[3], f[6], f[6] + f[7])) continue
		if (f[3] in cut) { all++; served += f[5] == "ok" } else { other_all++; other_served += f[5] == "ok" }
	}
	if (!all || !other_all) next
	if (served / all < 2 / 3 * other_served / other_all && all - served > 10 + (all + other_all) / 50)
		print $1, served, all, other_served, other_all
}

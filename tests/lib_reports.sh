# Checks of what backend servers reported about themselves against what they then got, from the lines that
# standin-users-runner prints. Source this file after tests/lib_users.sh.
LIMIT_CONTACT_MS=3000 # from a server's first report until its limit must be kept
runner_admin() { eval "local address=\$ADDR_$1"; curl -s -o /dev/null -X POST "http://$address/admin/$2"; }

# most_beyond_limit LOG: the most requests in any 4 s beyond one and a half times what the reported limit allows;
# 5 are allowed. A request counts at the limit that was reported last before it; none before the first report.
most_beyond_limit() {
	awk -v contact=$LIMIT_CONTACT_MS '
		$1 == "limit" { if (!first) first = $2; limit = $4 }
		$1 == "got" && first && $2 > first + contact {
			time[++n] = $2
			while (time[head + 1] <= $2 - 4000) head++
			if (n - head - 6 * limit > most) most = n - head - 6 * limit
		}
		END { printf "%d\n", most + 0 }' "$1"
}
requests_since_limit() { awk '$1 == "limit" { seen = 1 } $1 == "got" && seen { n++ } END { print n + 0 }' "$1"; }
# most_in_rest LOG [INSTANCE_OF]: the most requests of one instance that a server got from half a second after it had
# asked for rest until the end of that time; 2 are allowed. INSTANCE_OF names a file with an id and its instance a line;
# without it all requests are of one instance.
most_in_rest() {
	awk -v names="${2:-}" '
		BEGIN { while (names && (getline line < names) > 0) { split(line, f, " "); of[f[1]] = f[2] } }
		{ instance = of[$3] }
		$1 == "rest" { n = ++rests[instance]; from[instance, n] = $2 + 500; to[instance, n] = $2 + $4 * 1000 }
		$1 == "got" {
			for (i = rests[instance]; i > 0 && i > rests[instance] - 20; i--)
				if ($2 > from[instance, i] && $2 < to[instance, i] && ++got[instance, i] > most)
					most = got[instance, i]
		}
		END { print most + 0 }' "$1"
}

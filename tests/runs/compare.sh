# The verdicts of tools/compare on synthetic results: better, worse, no significant difference, a broken rule,
# and a single play.
FILE=$(mktemp)
trap 'rm -f "$FILE"' EXIT
line() { printf '%s\t%s\t%s\t%s\t%s\tday=%s\tmodels=-0.05\n' "$@"; }
for i in 1 2 3 4; do
	line old calm "calm d$i" 0.70$i - 0.90
	line more calm "calm d$i" 0.73$i - 0.95
	line less calm "calm d$i" 0.66$i - 0.90
	line same calm "calm d$i" 0.7$((i % 2))$i - 0.90
	line wild calm "calm d$i" 0.90$i "$([ "$i" = 3 ] && echo 'CONFIG 1' || echo -)" 0.90
done >"$FILE"
line old rough "rough d1" 0.500 - 0.5 >>"$FILE"
line more rough "rough d1" 0.600 - 0.6 >>"$FILE"
tools/compare -r "$FILE"
tools/compare -j 2 >/dev/null 2>&1; echo "no ways, no days: exit $?"

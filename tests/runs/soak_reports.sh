# A short soak with a fixed seed in which servers report rate limits, that they leave and that they want rest, beside all
# other faults; what they then get is checked while it runs.
set -o pipefail
bash tests/soak/soak.sh 903 14 3 8 domains,reports >"${TMPDIR:-/tmp}/soak-reports.$$" 2>&1
code=$?
grep -E '^(BROKEN|FAILED|verdict)' "${TMPDIR:-/tmp}/soak-reports.$$"
[ $code -eq 0 ] || cat "${TMPDIR:-/tmp}/soak-reports.$$" >&2
rm -f "${TMPDIR:-/tmp}/soak-reports.$$"
exit $code

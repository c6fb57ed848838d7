/*
 * Requests that have finished at a server, whole or dropped, and may still crash it: they took part
 * in a crash within FINISHED_MS, and a complete answer counts only if there was none.
 */
#include "quarantine_internal.h"

static int may_have_crashed(const struct finished *finished, uint64_t server, int64_t at_ms);
static void charge_finished(struct cw_quarantine *quarantine, struct finished *finished,
			    int64_t at_ms, int is_late, int64_t now_ms);

void cw_quarantine_note_incomplete(struct cw_quarantine *quarantine, uint64_t fingerprint,
				   uint64_t server, int64_t ran_ms, int64_t now_ms)
{
	struct finished finished = {.fingerprint = fingerprint,
				    .server = server,
				    .sent_ms = now_ms - ran_ms,
				    .finished_ms = now_ms};

	quarantine->finished[quarantine->finished_next++ % FINISHED_KEPT] = finished;
}

/*
 * A short answer may be complete before its request crashes the server. So the answer clears the
 * request only after the server has stayed up for FINISHED_MS.
 */
void cw_quarantine_note_answer(struct cw_quarantine *quarantine, uint64_t fingerprint,
			       uint64_t server, int64_t ran_ms, int64_t now_ms)
{
	cw_quarantine_note_incomplete(quarantine, fingerprint, server, ran_ms, now_ms);
	quarantine->finished[(quarantine->finished_next - 1) % FINISHED_KEPT].is_answered = 1;
}

/*
 * A small model's answer may be dropped for a larger model's just after it began, and its server
 * may crash a moment later: the request took part in the crash all the same.
 */
void quarantine_charge_finished(struct cw_quarantine *quarantine, uint64_t server, int64_t at_ms,
				int64_t now_ms)
{
	for (size_t i = 0; i < FINISHED_KEPT; i++) {
		struct finished *finished = &quarantine->finished[i];

		if (may_have_crashed(finished, server, at_ms))
			charge_finished(quarantine, finished, at_ms,
					at_ms - finished->finished_ms > LATE_CRASH_MS, now_ms);
	}
}

/*
 * No connection was left to break, and the time of the crash is not known. A complete answer is
 * rather followed by a stop of another cause.
 */
void cw_quarantine_note_refused(struct cw_quarantine *quarantine, uint64_t server, int64_t at_ms,
				int64_t now_ms)
{
	for (size_t i = 0; i < FINISHED_KEPT; i++) {
		struct finished *finished = &quarantine->finished[i];

		if (!finished->is_answered && may_have_crashed(finished, server, at_ms))
			charge_finished(quarantine, finished, at_ms, 0, now_ms);
	}
	cw_quarantine_note_unreachable(quarantine, server, now_ms);
}

void quarantine_verify_answers(struct cw_quarantine *quarantine, int64_t now_ms)
{
	if (quarantine->finished_next - quarantine->finished_verified > FINISHED_KEPT)
		quarantine->finished_verified = quarantine->finished_next - FINISHED_KEPT;
	while (quarantine->finished_verified < quarantine->finished_next) {
		const struct finished *finished =
			&quarantine->finished[quarantine->finished_verified % FINISHED_KEPT];
		struct answered *answered =
			&quarantine->answered[finished->fingerprint % ANSWERED_SLOTS];
		struct suspect *suspect;

		if (now_ms - finished->finished_ms < FINISHED_MS)
			return;
		quarantine->finished_verified++;
		if (!finished->is_answered || finished->charged_ms)
			continue;
		answered->fingerprint = finished->fingerprint;
		answered->at_ms = finished->finished_ms;
		suspect = suspect_find(quarantine, finished->fingerprint);
		if (suspect)
			suspect_note_answer(quarantine, suspect, finished->finished_ms, now_ms);
	}
}

static int may_have_crashed(const struct finished *finished, uint64_t server, int64_t at_ms)
{
	return finished->server == server && finished->finished_ms &&
	       finished->finished_ms <= at_ms && at_ms - finished->finished_ms <= FINISHED_MS &&
	       (!finished->charged_ms || at_ms <= finished->charged_ms + RESTART_MS);
}

static void charge_finished(struct cw_quarantine *quarantine, struct finished *finished,
			    int64_t at_ms, int is_late, int64_t now_ms)
{
	struct crash crash = {
		.server = finished->server,
		.at_ms = at_ms,
		.ran_ms = at_ms - finished->sent_ms,
		.is_late = is_late,
		.is_finished = 1,
	};

	finished->charged_ms = at_ms;
	suspect_add_crash(quarantine,
			  suspect_find_or_add(quarantine, finished->fingerprint, "", "", now_ms),
			  &crash, now_ms);
}

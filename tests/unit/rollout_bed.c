#include "rollout_bed.h"
#include "cw_hash.h"

#define SLOTS	 64 /* per server */
#define SESSIONS 10000

const struct cw_rollout_options rollout_fixture_options = {
	.session_ms = ROLLOUT_SESSION_MS,
	.exposed_share = 0.15,
	.exposed_slack = 30,
};
const struct cw_rollout_order rollout_fixture_order = {"llm", "v2", ROLLOUT_DURATION_MS};

struct cw_rollouts *rollout_fixture_start(int64_t now_ms)
{
	struct cw_rollouts *rollouts = cw_rollouts_create(&rollout_fixture_options);

	assert_int_equal(cw_rollouts_apply_order(rollouts, &rollout_fixture_order,
						 (struct cw_position){1, 7}, now_ms),
			 1);
	return rollouts;
}

uint64_t rollout_fixture_session(int number)
{
	return cw_hash(&number, sizeof(number), 0);
}

enum cw_rollout_variant rollout_fixture_variant(struct cw_rollouts *rollouts, uint64_t session,
						int64_t now_ms)
{
	struct cw_rollout_request request = {.service = "llm", .session = session};

	return cw_rollouts_choose_variant(rollouts, &request, now_ms);
}

double rollout_fixture_share_of(struct cw_rollouts *rollouts, uint64_t route, int64_t now_ms)
{
	struct cw_rollout_request request = {.service = "llm", .route = route};
	int count = 0;

	for (int i = 0; i < SESSIONS; i++) {
		request.session = rollout_fixture_session(i);
		count += cw_rollouts_choose_variant(rollouts, &request, now_ms) ==
			 CW_ROLLOUT_VARIANT_NEW;
	}
	return (double)count / SESSIONS;
}

double rollout_fixture_share(struct cw_rollouts *rollouts, int64_t now_ms)
{
	return rollout_fixture_share_of(rollouts, 0, now_ms);
}

void rollout_fixture_receive(struct cw_rollouts *rollouts, uint64_t route, uint32_t kinds,
			     int count)
{
	struct cw_rollout_request request = {.service = "llm", .route = route};

	for (int i = 0; i < count; i++)
		cw_rollouts_record_arrival(rollouts, &request, kinds, SLOTS);
}

void rollout_fixture_answer_kind(struct cw_rollouts *rollouts, struct cw_rollout_answer kind,
				 int good, int bad, int64_t now_ms)
{
	kind.service = "llm";
	for (int i = 0; i < good + bad; i++) {
		kind.is_failure = i < bad;
		cw_rollouts_record_answer(rollouts, &kind, now_ms);
	}
}

void rollout_fixture_answer(struct cw_rollouts *rollouts, const char *software, int good, int bad,
			    int64_t now_ms)
{
	struct cw_rollout_answer kind = {.software = software, .route = 1};

	rollout_fixture_answer_kind(rollouts, kind, good, bad, now_ms);
}

void rollout_fixture_pass_trial(struct cw_rollouts *rollouts, int64_t now_ms)
{
	struct cw_rollout_answer full = {.software = "v2", .is_loaded = 1, .route = 1};
	struct cw_rollout_verdict verdict;

	rollout_fixture_answer_kind(rollouts, full, 20, 0, now_ms);
	cw_rollouts_evaluate(rollouts, now_ms, &verdict, 1);
}

size_t rollout_fixture_evaluate(struct cw_rollouts *rollouts, int64_t now_ms,
				enum cw_rollout_state *state)
{
	struct cw_rollout_verdict verdict = {0};
	size_t count = cw_rollouts_evaluate(rollouts, now_ms, &verdict, 1);

	*state = verdict.status.state;
	return count;
}

/*
 * Fixture of the gate's tests: a gate with two plain servers ("orders") and two engines ("llm"),
 * routes /once/, /read/, /read/deep/, /chat/ (two models) and /report/, and one organisation's key.
 */
#ifndef GATE_BED_H
#define GATE_BED_H

#include "cw_gate.h"
#include "unit.h"

#define FIXTURE_NOW_MS 100000

struct fixture {
	struct cw_gate *gate;
	struct cw_config *config;
	struct cw_request_info info;
	struct cw_step step;
	struct cw_call *call;
};

void fixture_open(struct fixture *fixture);
void fixture_close(struct fixture *fixture);
void fixture_add_server(struct fixture *fixture, const char *name, const char *service,
			const char *software);
struct cw_config *fixture_make_config(uint64_t version);
void fixture_open_call(struct fixture *fixture,
		       const char *path); /* opens a request; closes the previous one */
void fixture_answer(struct fixture *fixture, unsigned int status, int is_signed, int is_not_run);
void fixture_answer_stream(struct fixture *fixture, int confidence, unsigned int running,
			   unsigned int slots,
			   int64_t after_ms); /* a stream's head, from an engine with so many
						 requests; after_ms: since FIXTURE_NOW_MS */
void fixture_assert_rejected(const struct fixture *fixture, unsigned int status,
			     enum cw_run_state run);

#endif

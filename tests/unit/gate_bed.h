/*
 * Fixture of the gate's tests: a gate with two plain servers ("orders") and two engines ("llm"),
 * routes /once/, /read/, /read/deep/, /chat/ (two models) and /report/, and one organisation's key.
 */
#ifndef GATE_BED_H
#define GATE_BED_H

#include "cw_gate.h"
#include "unit.h"

#define BED_NOW 100000

struct bed {
	struct cw_gate *gate;
	struct cw_config *config;
	struct cw_facts facts;
	struct cw_step step;
	struct cw_call *call;
};

void bed_open(struct bed *bed);
void bed_close(struct bed *bed);
void bed_add_server(struct bed *bed, const char *name, const char *service, const char *software);
struct cw_config *bed_make_config(uint64_t version);
void bed_ask(struct bed *bed, const char *path); /* opens a request; closes the previous one */
void bed_answer(struct bed *bed, unsigned int status, int is_sealed, int is_not_run);
void bed_assert_refused(const struct bed *bed, unsigned int status, enum cw_run run);

#endif

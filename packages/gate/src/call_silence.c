#include "gate_internal.h"

/*
 * An engine sends no events while it processes prompts, so the prompts that are known there
 * lengthen the pause of its streams, and those learned of since the send the wait for a head.
 */
int64_t cw_call_silence_ms(const struct cw_call *call, int64_t since_ms, int64_t now_ms)
{
	const struct cw_server *server = call->server;
	double peers_work_ms = cw_pool_recent_peers_work_ms(server, now_ms);
	double pace = cw_pool_pace(server, now_ms);
	double predicted_ms;

	if (call->is_head_seen)
		predicted_ms = pace * (gate_get_model_timing(call->gate, call)->event_gap_ms +
				       server->own_work_ms + peers_work_ms);
	else
		predicted_ms = call->predicted_ms +
			       pace * MAX(peers_work_ms - call->peers_work_ms, 0) -
			       (double)(since_ms - call->sent_ms);
	return (int64_t)MAX(predicted_ms, 0);
}

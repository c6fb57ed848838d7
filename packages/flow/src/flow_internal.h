/* What both sides of the flow package share. */
#ifndef FLOW_INTERNAL_H
#define FLOW_INTERNAL_H

#include "cw_flow.h"

#define FLOW_READ_BYTES	     (64 * 1024) /* one read buffer a loop: reads are handled at once */
#define FLOW_USER_TIMEOUT_MS 3000 /* unacknowledged bytes end a connection: three losses of 1 s */
#define FLOW_PROBE_IDLE_S    1	  /* keep-alive probes tell a cut from a server that is busy */
#define FLOW_PROBE_GAP_S     1
#define FLOW_PROBES	     2

void flow_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);
void flow_tune_socket(uv_tcp_t *tcp); /* no delay, bounds on silence */

#endif

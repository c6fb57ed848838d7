/* Shared by the server side and the client side of the flow package. */
#ifndef FLOW_INTERNAL_H
#define FLOW_INTERNAL_H

#include "cw_flow.h"

#define FLOW_READ_BUFFER_BYTES	  (64 * 1024) /* one buffer per loop: reads are handled at once */
#define FLOW_USER_TIMEOUT_MS	  3000 /* TCP_USER_TIMEOUT: three packet losses of 1 s each */
#define FLOW_KEEPALIVE_IDLE_S	  1 /* keepalive probes tell a network partition from a busy server */
#define FLOW_KEEPALIVE_INTERVAL_S 1
#define FLOW_KEEPALIVE_PROBES	  2

void flow_provide_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);
void flow_tune_socket(uv_tcp_t *tcp); /* sets TCP_NODELAY, keepalive and TCP_USER_TIMEOUT */

#endif

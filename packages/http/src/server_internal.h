/* Parts of the HTTP server; internal to the package. */
#ifndef SERVER_INTERNAL_H
#define SERVER_INTERNAL_H

#include "cw_http_server.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <microhttpd.h>

/* server.c */
enum MHD_Result server_reject(struct MHD_Connection *connection, unsigned int status,
			      const char *body); /* by its head; body: JSON, not copied */

/* framing.c: requests that another reader may understand differently */
int framing_is_clear(struct MHD_Connection *connection);
enum MHD_Result framing_reject(struct MHD_Connection *connection); /* 400 */

/* oversize.c: requests whose body is larger than the limit */
int oversize_is_announced(struct MHD_Connection *connection,
			  size_t max_body);			    /* by its Content-Length */
enum MHD_Result oversize_reject(struct MHD_Connection *connection); /* 413, before the body */
void oversize_send_raw(struct MHD_Connection *connection);	    /* 413, within the body */
void oversize_drain(struct MHD_Connection *connection,
		    const int *is_stopping); /* after the answer, before the connection is closed */

#endif

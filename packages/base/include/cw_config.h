/* Compile-time limits of corianderwalk, each with its unit. */
#ifndef CW_CONFIG_H
#define CW_CONFIG_H

#define CW_NAME_MAX	   64	   /* bytes of an instance, organisation, model or version name */
#define CW_ID_MAX	   80	   /* bytes of a request id or an idempotency key */
#define CW_ADDRESS_MAX	   64	   /* bytes of "IP:PORT" */
#define CW_MESSAGE_MAX	   256	   /* bytes of an error's message */
#define CW_TOKEN_MAX	   512	   /* bytes of a session token */
#define CW_MAX_INSTANCES   4096	   /* instances one node knows, 0.4 kB each */
#define CW_MAX_SERVERS	   65536   /* backend servers one node knows, 0.9 kB each */
#define CW_TRACKED_SERVERS 32	   /* of each service that it asks for their load and sends to */
#define CW_MAX_VERSIONS	   64	   /* versions one request may choose among */
#define CW_MAX_REQUESTS	   4096	   /* requests in progress on one node */
#define CW_MAX_ATTEMPTS	   6	   /* dispatches of one request, cascade included */
#define CW_MAX_SESSIONS	   65536   /* bindings held by one node */
#define CW_MAX_CLAIMS	   1048576 /* idempotency keys remembered by one node */
#define CW_CLAIM_BODY_MAX  2048	   /* bytes of an answer kept for repeats of its request */
#define CW_CLAIM_BATCH	   64	   /* claims in one record of the log */
#define CW_BILL_BATCH	   128	   /* bills in one record of the log */
#define CW_TABLE_WINDOW	   4096	   /* raw records of the table kept for peers */
#define CW_PEER_RECORDS	   32	   /* records in one message between peers */
#define CW_RING_CORE	   8192	   /* events waiting for the core thread */
#define CW_RING_STREAM	   64	   /* chunks waiting for one caller */
#define CW_RING_WORKER	   1024	   /* jobs waiting for one duty thread */
#define CW_EVENT_LINES	   16384   /* events of the time line kept in memory */
#define CW_RECORD_MAX	   (1024 * 1024) /* bytes of one record of the log */

#endif

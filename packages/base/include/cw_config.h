/* Compile-time limits of corianderwalk. */
#ifndef CW_CONFIG_H
#define CW_CONFIG_H

#define CW_NAME_MAX	      64    /* bytes of an instance, organisation, model or version name */
#define CW_ID_MAX	      80    /* bytes of a request id or an idempotency key */
#define CW_ADDRESS_MAX	      64    /* bytes of "IP:PORT" */
#define CW_MESSAGE_MAX	      256   /* bytes of an error's message */
#define CW_TOKEN_MAX	      512   /* bytes of a session token */
#define CW_MAX_INSTANCES      4096  /* instances known to one instance, 0.4 kB each */
#define CW_MAX_SERVERS	      65536 /* backend servers known to one instance, 0.9 kB each */
#define CW_TRACKED_SERVERS    32    /* servers of a service: polled for load, sent to */
#define CW_MAX_VERSIONS	      64    /* candidate versions of one request */
#define CW_MAX_REQUESTS	      4096  /* requests in progress on one instance */
#define CW_MAX_ATTEMPTS	      6	    /* dispatches of one request, cascade included */
#define CW_MAX_SESSIONS	      65536 /* session bindings stored by one instance */
#define CW_MAX_CLAIMS	      1048576 /* idempotency keys stored by one instance */
#define CW_CLAIM_BODY_MAX     2048    /* bytes of an answer stored for retries of its request */
#define CW_CLAIM_BATCH	      64      /* claims in one record of the log */
#define CW_BILL_BATCH	      128     /* bills in one record of the log */
#define CW_KEPT_BILLS_MAX     16384   /* bills kept after they were settled, 0.9 kB each */
#define CW_TABLE_RECORDS_KEPT 4096    /* latest records of the table, kept to send to peers */
#define CW_PEER_RECORDS	      32      /* records in one message between instances */
#define CW_RING_CORE	      8192    /* events queued for the core thread */
#define CW_RING_STREAM	      64      /* chunks queued for one caller */
#define CW_RING_WORKER	      1024    /* jobs queued for one worker thread */
#define CW_TIMELINE_LINES_MAX 16384   /* events of the timeline kept in memory */
#define CW_RECORD_MAX	      (1024 * 1024) /* bytes of one record of the log */

#endif

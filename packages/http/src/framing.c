/*
 * Requests that another reader may understand differently: a name that is no token, or a length
 * that is stated twice. The library rejects other malformed requests itself.
 */
#include "server_internal.h"
#include "cw_token.h"

#include <strings.h>

#define BODY                                                                                       \
	"{\"error\":{\"code\":\"bad_request\",\"message\":\"the header fields are malformed\","    \
	"\"run\":\"not_run\",\"retry_after_ms\":0}}"

struct framing {
	unsigned int lengths; /* fields that state the length of the body */
	int has_bad_name;
};

static enum MHD_Result add_field(void *context, enum MHD_ValueKind kind, const char *name,
				 const char *value)
{
	struct framing *framing = context;

	framing->has_bad_name |= !cw_is_token(name);
	framing->lengths += !strcasecmp(name, MHD_HTTP_HEADER_CONTENT_LENGTH) ||
			    !strcasecmp(name, MHD_HTTP_HEADER_TRANSFER_ENCODING);
	return MHD_YES;
}

int framing_is_clear(struct MHD_Connection *connection)
{
	struct framing framing = {0};

	MHD_get_connection_values(connection, MHD_HEADER_KIND, add_field, &framing);
	return !framing.has_bad_name && framing.lengths <= 1;
}

enum MHD_Result framing_reject(struct MHD_Connection *connection)
{
	return server_reject(connection, MHD_HTTP_BAD_REQUEST, BODY);
}

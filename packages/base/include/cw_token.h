/* Tokens, as in names of header fields (RFC 9110, 5.6.2). */
#ifndef CW_TOKEN_H
#define CW_TOKEN_H

int cw_is_token(const char *text); /* 0: empty, or has another character */

#endif

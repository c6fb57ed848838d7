/* Where a key stands: the line of every path of a JSON text with comments. */
#ifndef CW_LINES_H
#define CW_LINES_H

struct lines;

struct lines *lines_create(const char *text);
void lines_destroy(struct lines *lines);
int lines_of(const struct lines *lines, const char *path); /* "peers[0].address"; 1 when unknown */
const char *
lines_repeated(const struct lines *lines); /* a key that stands twice in one object, NULL: none */

#endif

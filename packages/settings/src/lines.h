/*
 * Line numbers of all keys and array items of a JSON text with comments, by their path, such as
 * "peers[0].address".
 */
#ifndef CW_LINES_H
#define CW_LINES_H

struct lines;

struct lines *lines_create(const char *text);
void lines_destroy(struct lines *lines);
int lines_find_line(const struct lines *lines, const char *path); /* 1: the path is unknown */
const char *lines_duplicate_key(const struct lines *lines);	  /* path; NULL: no duplicate */

#endif

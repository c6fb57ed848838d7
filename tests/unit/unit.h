/* Shared by the unit tests: cmocka, and the text of table edits. */
#ifndef UNIT_H
#define UNIT_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#define EDIT(id, cells) "{\"edit\":\"" id "\",\"by\":\"t\",\"cells\":[" cells "]}"
#define CELL(organisation, version, column, value)                                                 \
	"{\"organisation\":\"" organisation "\",\"model\":\"m\",\"version\":\"" version            \
	"\",\"column\":\"" column "\",\"value\":\"" value "\"}"
#define CELL_IF(organisation, version, column, value, revision)                                    \
	"{\"organisation\":\"" organisation "\",\"model\":\"m\",\"version\":\"" version            \
	"\",\"column\":\"" column "\",\"value\":\"" value "\",\"if_revision\":" revision "}"

#endif

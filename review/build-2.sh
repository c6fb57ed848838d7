#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review into target/review-2, with the packages that
# deploy/system.toml lists.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=gnu11 -O2 -Wall -Wextra -Wno-unused-parameter -D_GNU_SOURCE -DCW_VERSION=\"review\" -pthread"
cc $flags -o "$out/store" tests/standins/users_store.c packages/flow/src/*.c packages/base/src/*.c \
	-Ipackages/flow/include -Ipackages/base/include \
	$(pkg-config --cflags --libs glib-2.0 libuv gnutls zlib libxxhash) -lhttp_parser -largtable2 -lm
cc $flags -o "$out/free-ports" tests/tools/free_ports.c
for source in review/standins-2/*.c; do
	cc $flags -o "$out/$(basename "$source" .c)" "$source"
done

#!/bin/sh
# Unpacks the program once into a folder named by its digest, then replaces
# itself with the program, so that a running role is exactly one process.
set -eu
digest=@DIGEST@
base=${SHALLOTWHARF_UNPACK_FOLDER:-${XDG_CACHE_HOME:-$HOME/.cache}/shallotwharf}
folder=$base/$digest
if [ ! -x "$folder/shallotwharf" ]; then
    mkdir -p "$base"
    part=$(mktemp -d "$base/unpack.XXXXXX")
    tail -c +@OFFSET@ "$0" | tar -xz -C "$part"
    # Two first starts may race: the rename of one fails and its copy goes.
    mv -T "$part" "$folder" 2>/dev/null || rm -rf "$part"
fi
exec "$folder/shallotwharf" "$@"

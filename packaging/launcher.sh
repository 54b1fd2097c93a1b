#!/bin/sh
# Unpacks the program on the first start into a folder named after its digest,
# then replaces itself with the program by `exec`, so that a running role is
# exactly one process.
set -eu
digest=@DIGEST@
base=${SHALLOTWHARF_UNPACK_FOLDER:-${XDG_CACHE_HOME:-$HOME/.cache}/shallotwharf}
folder=$base/$digest
if [ ! -x "$folder/shallotwharf" ]; then
    mkdir -p "$base"
    part=$(mktemp -d "$base/unpack.XXXXXX")
    tail -c +@OFFSET@ "$0" | tar -xz -C "$part"
    # If two processes unpack at the same time, the second rename fails and its
    # copy is removed.
    mv -T "$part" "$folder" 2>/dev/null || rm -rf "$part"
fi
exec "$folder/shallotwharf" "$@"

#!/usr/bin/env bash
# Builds the single-file program: launcher.sh, followed by a tar archive of a
# PyInstaller one-folder build.
# Usage: build.sh PYTHON TARGET
set -euo pipefail
python=$1
target=$2
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

"$python" -m PyInstaller --onedir --name shallotwharf --log-level ERROR \
    --distpath "$work/dist" --workpath "$work/build" --specpath "$work" \
    --collect-submodules shallotwharf --paths "$here/.." \
    "$here/../shallotwharf/__main__.py"
tar -C "$work/dist/shallotwharf" --sort=name --owner=0 --group=0 \
    --mtime=@0 -czf "$work/program.tar.gz" .

digest=$(sha256sum "$work/program.tar.gz" | cut -c1-16)
sed "s/@DIGEST@/$digest/" "$here/launcher.sh" > "$work/launcher"
# The offset has a fixed width, so that inserting it does not change the length
# of the launcher, from which it is computed.
length=$(sed "s/@OFFSET@/0000000/" "$work/launcher" | wc -c)
sed "s/@OFFSET@/$(printf '%07d' $((length + 1)))/" "$work/launcher" > "$work/file"
cat "$work/program.tar.gz" >> "$work/file"
chmod +x "$work/file"
mkdir -p "$(dirname "$target")"
mv "$work/file" "$target"

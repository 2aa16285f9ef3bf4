#!/bin/sh
# What the deploy file starts, against what the standing test lets a server be: one process in place of the shell, linked
# dynamically against the C library, that starts no other, takes its time and its sockets from that library alone, and
# moves no bytes past it. Usage: deploy.sh PROGRAM DEPLOY_FILE
grep '^run = ' "$2"
readelf -d "$1" | grep -o 'libc\.so\.6'
nm -D --undefined-only "$1" | awk '{ print $2 }' | cut -d@ -f1 >deploy.symbols
there() { LC_ALL=C sort -u deploy.symbols | grep -xE "$1" | paste -sd ' ' | grep . || echo none; }
echo "starts others: $(there 'fork|vfork|clone|clone3|posix_spawnp?|exec[a-z]*|system|popen')"
echo "past the library, or bytes past the process: $(there 'syscall|splice|vmsplice|tee|sendfile(64)?|copy_file_range|io_uring.*')"
echo "time and waits: $(there 'clock_gettime|epoll_wait')"
rm -f deploy.symbols

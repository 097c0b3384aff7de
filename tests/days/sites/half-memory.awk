# Half the memory for every process.
/class = "(front|side)"/ && !/^small/ { match($0, /memory_mb = [0-9]+/); m = substr($0, RSTART + 12, RLENGTH - 12); sub(/memory_mb = [0-9]+/, "memory_mb = " int(m / 2)) }
{ print }

# Executors are told what to do in the answers to their beats.
{ sub(/by_beat = false/, "by_beat = true"); print }

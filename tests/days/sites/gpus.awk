# Executors have GPUs.
{ sub(/gpu = 0/, "gpu = 4"); print }

# Everything an executor runs is held for four seconds at most; changes apply and executors drain within one second.
/^hold_max_ms/ { $0 = "hold_max_ms = 4000.0" }
/^config_ms/ { $0 = "config_ms = 1000" }
/^drain_ms/ { $0 = "drain_ms = 1000" }
{ print }

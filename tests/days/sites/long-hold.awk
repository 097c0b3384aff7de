# Everything an executor runs is held for up to fifteen seconds; gangs wait one second.
/^hold_max_ms/ { $0 = "hold_max_ms = 15000.0" }
/^gang_ms/ { $0 = "gang_ms = 1000" }
{ print }

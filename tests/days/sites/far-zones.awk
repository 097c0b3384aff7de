# 20 ms one way between zones.
/^cross_zone_ms/ { $0 = "cross_zone_ms = 20.0" }
{ print }

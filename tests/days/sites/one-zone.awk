# Everything stands in one zone.
/^zones = \[/ { zones = 1; print; next }
zones && /^\]/ { zones = 0 }
zones { match($0, /"[^"]*"/); if (!first) { first = substr($0, RSTART, RLENGTH); print } ; next }
/^\[\[day\]\]/ { exit }
first && /zone = "/ { gsub(/zone = "[^"]*"/, "zone = " first) }
{ print }

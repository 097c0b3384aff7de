# Two zones: what stood in the third stands in the second.
/^zones = \[/ { zones = 1; print; next }
zones && /^\]/ { zones = 0 }
zones { match($0, /"[^"]*"/); ++n; if (n == 2) second = substr($0, RSTART, RLENGTH); if (n > 2) { gone[substr($0, RSTART, RLENGTH)] = 1; next } }
/^\[\[day\]\]/ { exit }
/zone = "/ { match($0, /zone = "[^"]*"/); z = substr($0, RSTART + 7, RLENGTH - 7); if (z in gone) sub(/zone = "[^"]*"/, "zone = " second) }
{ print }

# Five zones: two more, each with a machine with a disk, one without and two executors; two losses to be borne.
/^zones = \[/ { zones = 1 }
zones && /^\]/ { zones = 0; print more("fourth"); print more("fifth") }
zones && /region = / { region = $0; sub(/.*region = /, "", region); sub(/ *}.*/, "", region) }
function more(name) { return "  { name = \"" name "\", region = " region " }," }
/^machines = \[/ { machines = 1 }
machines && /counted = true/ { core = $0 }
machines && /class = "front"/ && !/counted/ { front = $0 }
machines && /class = "side"/ { side = $0 }
machines && /^\]/ { machines = 0; place("fourth"); place("fifth") }
function place(name) { put(core, name); put(front, name); sub(/count = [0-9]+/, "count = 2", side); put(side, name) }
function put(line, name) { sub(/zone = "[^"]*"/, "zone = \"" name "\"", line); print line }
/^\[tolerate\]/ { tolerate = 1 }
tolerate && /^machines = / { $0 = "machines = 2"; tolerate = 0 }
/^\[\[day\]\]/ { exit }
{ print }

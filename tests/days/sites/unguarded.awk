# Executors start whatever they are told: nothing but our account keeps their room.
{ sub(/guards = true/, "guards = false"); print }

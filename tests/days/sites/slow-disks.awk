# A sync takes 15 ms.
!/^small/ { sub(/sync_ms = [0-9.]+/, "sync_ms = 15.0") }
{ print }

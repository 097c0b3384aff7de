# A core of five machines with a disk, the loss of two of them to be borne.
/^\[tolerate\]/ { tolerate = 1 }
tolerate && /^machines = / { $0 = "machines = 2"; tolerate = 0 }
/counted = true/ && !/^small/ && ++cores <= 2 { sub(/count = 1,/, "count = 2,") }
{ print }

# A core of seven machines with a disk, the loss of three of them to be borne.
/^\[tolerate\]/ { tolerate = 1 }
tolerate && /^machines = / { $0 = "machines = 3"; tolerate = 0 }
/counted = true/ && !/^small/ { ++cores; sub(/count = 1,/, cores == 1 ? "count = 3," : "count = 2,") }
{ print }

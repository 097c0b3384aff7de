// The studies that CI explores. tools/model explores the same ones with larger bounds.
#include "explorer.h"

namespace model
{

/* Node 1 acknowledged three entries of term 2 that the others replaced in term 3; node 0 leads in term 4. */
static const char STALE_ACKNOWLEDGEMENT[] =
    "T0 * P0 * G0 G1 P0 P0 P0 D D D K K K Z0 T2 * P2 * G0 T2 * Z0 T0 D D D D D D D D D D G3 G4";
/* Node 0 leads in term 4 with an entry of term 2, which is in flight to node 1; node 2 has an entry of term 3. */
static const char STALE_ENTRY[] = "T0 * P0 * G0 P0 Z0 T2 D D D D K G0 G2 T0 * Z0 Z0 T2 T0 D D D D G1 Z0 T2 D D G1 D D";

/* Node 0 has restarted with a list of its first ballot; the others accepted another one later; only node 2 is running.
 */
static const char STALE_LIST[] = "Q4 W K K C0.0 Q4 W C1.0 D D S0 F2 Y17 F2";

/* The kinds of choices:
 * D deliver the oldest message; K hold it back (a loss or a delay); L deliver a held message; U deliver and keep a
 * copy; T run a timer; Z let an election time-out pass; X let one clock jump; P propose; R read; G move a node to the
 * other side of a network partition; C crash; A crash at the next sync; S start; E start with an empty disk; N take a
 * snapshot; O hand over; M change members (m: none is removed); H defer the sync of a leader until the next H. For
 * controllers also: W run the next node's timer when no message is in flight; Q and Y run a short or long number of
 * rounds of timers; F freeze or unfreeze; I start with initialStart set; B ask to stop. */
const std::vector<Study> &studies()
{
    static const std::vector<Study> all = {
        {"elections", 3, 3, 3, "T5 Z3 X3 K2 L2 U1", "", {}},
        {"ends", 3, 3, 3, "T4 Z2 P2 C2 A2 G2", "T0 * P0 *", {}},
        {"copies", 3, 3, 4, "T4 Z2 P3 K2 L2 U1 G3", "T0 * P0 *", {}},
        {"snapshots", 3, 3, 3, "T4 Z2 P2 N2 L2 U1 C1 G2", "T0 * P0 U * P0 * T0 *", {}},
        {"reads", 3, 3, 3, "T4 Z2 P1 R2 G2 X1 K1 L1", "T0 * P0 *", {}},
        {"leases", 3, 3, 3, "T4 Z4 P1 G2 C1 O1 K1 L1", "T0 * P0 * T0 *", {980, 1020, 1020}},
        {"absent", 3, 3, 3, "T4 Z3 P1 G2 C1 K1 L1", "T0 * P0 * G1 Z0 T0 * G1", {980, 1020, 1020}},
        {"members", 5, 3, 2, "T3 Z2 P1 M3 G3", "T0 * M0.0.3 * M0.0.4 * T0 *", {}},
        {"exchanges", 4, 3, 3, "T2 Z2 P1 M2 m1 G2", "T0 * M0.0.3 * T0 *", {}},
        {"disks", 3, 3, 3, "T4 Z2 P1 C1 E1 M3 m1 G1", "T0 * P0 * T0 *", {}},
        {"five", 5, 5, 3, "T4 Z2 P2 G3 C1 A1", "T0 * P0 *", {}},
        /* these start close to faults that need many odd choices */
        {"splits", 5, 3, 4, "T2 Z1 M2 m1", "T0 * M0.0.3 * M0.0.4 * T0 * G1 G2", {}},
        {"changes", 5, 4, 4, "T3 Z1 M1", "T0 * M0.0.4 * T0 * G0 G4 M0.1.4 * Z0 T1 D D D D D D D D G3", {}},
        {"parted", 3, 3, 3, "T3 Z2 P2 K2 L2 U1 G1", "T0 * P0 * G0 P0 Z0 T1 * G0", {}},
        {"stale", 3, 3, 3, "T3 Z1 P1 L2 G1 K1", "T0 * P0 * P0 K K G0 Z0 T1 * G0", {}},
        {"confirmed", 3, 3, 3, "T2 R2 P1 L2 G1", "T0 * P0 * T0 D D K K G0 Z0 T1 * P1 * G0", {}},
        {"unconfirmed", 3, 3, 4, "T2 R2 K2 L1 P1", "T0 * P0 * G0 Z0 T1 D D D D", {}},
        {"takeover", 4, 3, 3, "T3 Z2 P1 G1", "T0 * M0.0.3 * T0 * G0 M0.2.35 Z0 T1 * G0 * T1 * G0 G3 P1 *", {}},
        {"behind", 3, 3, 3, "T3 Z1 P2 N1 K1 L2 U2 G1", "T0 * P0 * G2 P0 * P0 * Z0 T0 * N0 G2", {}},
        /* for guards that need a deferred sync, appends with a single entry, or an overwritten entry */
        {"turns", 3, 3, 3, "T2 P1 H2 K1 A1 C1", "T0 * P0 * H0", {}},
        {"terms", 5, 5, 3, "T2 Z1 L2 K1 G2 P1", STALE_ACKNOWLEDGEMENT, {}},
        {"former", 3, 3, 3, "T2 Z1 G2 K1 C1", STALE_ENTRY, {}, 70000},
        {"beyond", 3, 3, 3, "T2 Z1 G2 K1 L1 C1", "T0 * P0 * G0 P0 Z0 T2 * G0", {}, 70000},
        /* each sync closes the segment */
        {"segments", 3, 3, 3, "T2 Z1 P2 N2 A2 C2 G1", "T0 * P0 *", {}, 8, {}, 1},
        /* Bootstrap: three seeds and one more candidate, in a zone of its own. */
        {"bootstrap", 4, 0, 2, "W4 K2 L1 A1 C2 X1 Q1", "Q4", {}, 8, {3, "bbba", 0, BALLOT_FRAMES}},
        {"starts", 4, 0, 2, "W3 A1 C2 I2 E1 Y1", "Q4", {}, 8, {3, "bbba", 0, BALLOT_FRAMES}},
        /* the first proposer has crashed, and its requests to accept are still in flight */
        {"proposers", 4, 0, 2, "W3 K1 L2 A1 C1 I1", "Q4 W K K C0.0 Q4", {}, 8, {3, "bbba", 0, BALLOT_FRAMES}},
        {"forgetful", 4, 0, 2, "W4 C2 K1 L1 A1 X1 Y1", "Q4 W D K C0.0 S0", {}, 8, {3, "bbba", 1, BALLOT_FRAMES}},
        {"returns", 4, 0, 2, "W3 K1 L1 C1 X1", STALE_LIST, {}, 8, {3, "bbba", 0, BALLOT_FRAMES}},
        {"diskless", 4, 0, 2, "W4 K1 L1 C2 I1 X1 Y1", "Q4", {}, 8, {3, "bbba", 1, BALLOT_FRAMES}},
        {"twoseeds", 4, 0, 2, "W4 K2 L1 A1 C2 I1 X1 Q1", "Q4", {}, 8, {2, "bbba", 0, BALLOT_FRAMES}},
        {"collects", 4, 0, 1, "W24 K2 L1 U1 C1 A1 X1 G1 F1", "", {}, 8, {3, "bbba", 0, ALL_FRAMES}},
        /* Membership: three voters, and a learner in some. */
        {"leavers", 3, 0, 2, "W4 P1 K1 L1 B2 C1 F1 Q1", "Q6", {}, 8, {3, "", 0, MEMBERSHIP_FRAMES}},
        {"written", 3, 0, 2, "W4 P1 K2 L1 B2 C1", "Q6 P1", {}, 8, {3, "", 0, MEMBERSHIP_FRAMES}},
        {"missing", 3, 0, 2, "W4 P1 K1 L1 B2 F1 C1", "Q6 F0 Q3", {}, 8, {3, "", 0, MEMBERSHIP_FRAMES}},
        {"replaced", 4, 0, 2, "W4 P1 K1 C2 E1 F2 Y2", "Q6", {}, 8, {3, "", 0, MEMBERSHIP_FRAMES}},
        {"joins", 4, 0, 2, "W6 P1 K1 L1 C1 G1", "C3.0 Q6 G0 Y17 S3 Q1", {}, 8, {3, "", 0, MEMBERSHIP_FRAMES}},
        {"wiped", 3, 0, 2, "W6 K1 L1 C1 G1", "Q20 C0.0 P1 * E0", {}, 8, {3, "", 0, MEMBERSHIP_FRAMES}},
        {"woken", 4, 0, 2, "W4 T1 K1 L1 F1 X1 G1", "Q20 W W D F1 Y17 F1", {}, 8, {3, "", 0, MEMBERSHIP_FRAMES}},
    };
    return all;
}

} // namespace model

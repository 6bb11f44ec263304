/*
 * Tables followed by nodes while the store is restored from an older copy.
 *
 * The store numbers its changes. A restore starts a new incarnation: rows and the number of the last change go back to the copy, and
 * numbers are given out again. The operator and the server write again what was lost. Two nodes follow the configuration and the entry of
 * one server, from the store and from each other, and may restart. Time is abstract: the server, if it is alive, has written its entry
 * again before the time is over after which a missing entry counts as removed.
 *
 * Properties: a node never returns to an earlier configuration or from 'draining' to 'ready'; it does not take a server for gone that is
 * ready; once the operator's configuration is in the store again and nobody has anything left to read, all nodes have it.
 *
 * TABLE: 1 for the configuration, 2 for the server's entry; in either case other rows are written as well.
 * Each rule can be removed by a macro; the check must then find a violation:
 *   COMPARE_BY_NUMBER     positions are compared without their incarnation
 *   ADOPT_OLDER           a restored configuration replaces a later one of the operator
 *   RESTORED_ENTRY_WINS   a restored entry replaces one that the server has written later
 *   REVIVE_REMOVED        a restored entry brings a server back whose removal the node has read
 *   MISSING_IS_REMOVED    an entry that is missing after a restore counts as removed at once
 *
 * Names follow src/app/fleet_tables.cpp.
 */

#ifndef TABLE
#define TABLE 1
#endif
#define FOLLOWS_PLAN (TABLE == 1)
#define FOLLOWS_ENTRY (TABLE == 2)

#define NODES 2
#define MAX_INCARNATION 3
#define MAX_CHANGES (TABLE == 1 -> 7 : 5)
#define MAX_PLAN 3
#define MAX_RESTARTS 1

/* States of the server and of its entry. */
#define UNREGISTERED 0
#define READY 1
#define DRAINING 2
#define GONE 3

/* ---- the store ---- */
byte incarnation = 1;
byte changes = 1;              /* number of the last change */
byte storedPlan = 1;
byte storedPlanAt = 1;
byte storedState = UNREGISTERED;
byte storedRenewals = 0;
byte storedEntryAt = 0;

/* ---- the copy ---- */
byte copiedChanges = 1;
byte copiedPlan = 1;
byte copiedPlanAt = 1;
byte copiedState = UNREGISTERED;
byte copiedRenewals = 0;
byte copiedEntryAt = 0;

/* ---- the operator and the server ---- */
byte operatorPlan = 1;
byte serverState = UNREGISTERED;
byte renewals = 0;
bool serverMustWrite = false;  /* the store has lost an entry of the server */

/* ---- the nodes ---- */
byte planIncarnation[NODES];   /* position of the configuration: incarnation and number */
byte planAt[NODES];
byte plan[NODES];              /* configuration in force */
byte entryIncarnation[NODES];
byte entryAt[NODES];
byte state[NODES];             /* what the node takes the server for */
byte seenRenewals[NODES];
byte restarts = 0;

#ifdef COMPARE_BY_NUMBER
#define NEWER(i, at, j, bt) (at > bt)
#else
#define NEWER(i, at, j, bt) (i > j || (i == j && at > bt))
#endif

#define PLAN_TO_READ(n) NEWER(incarnation, storedPlanAt, planIncarnation[n], planAt[n])
#define ENTRY_TO_READ(n) NEWER(incarnation, storedEntryAt, entryIncarnation[n], entryAt[n])

/* A node has read a configuration at a position. */
inline applyPlan(n, version, i, at) {
#ifdef ADOPT_OLDER
    assert(version >= plan[n]);
    plan[n] = version;
#else
    if
    :: version >= plan[n] -> plan[n] = version
    :: else -> skip
    fi;
#endif
    planIncarnation[n] = i;
    planAt[n] = at
}

/* A node has read the server's entry. */
inline applyEntry(n, entry, count, i, at) {
    if
    :: entry == UNREGISTERED && i > 1 ->        /* missing after a restore */
#ifdef MISSING_IS_REMOVED
        state[n] = (state[n] == UNREGISTERED -> UNREGISTERED : GONE);
        assert(!(state[n] == GONE && serverState == READY))
#else
        skip                                    /* stays as it is until the server has had the time to write again */
#endif
    :: entry == UNREGISTERED && i == 1 -> skip
    :: entry == GONE -> state[n] = GONE
#ifdef RESTORED_ENTRY_WINS
    :: entry == READY || entry == DRAINING ->
#else
    :: (entry == READY || entry == DRAINING) && count <= seenRenewals[n] -> skip
#ifndef REVIVE_REMOVED
    :: (entry == READY || entry == DRAINING) && count > seenRenewals[n] && state[n] == GONE && i > entryIncarnation[n] ->
        seenRenewals[n] = count                 /* may be older than the removal: only a later entry brings the server back */
    :: (entry == READY || entry == DRAINING) && count > seenRenewals[n] && !(state[n] == GONE && i > entryIncarnation[n]) ->
#else
    :: (entry == READY || entry == DRAINING) && count > seenRenewals[n] ->
#endif
#endif
        assert(!(entry == READY && (state[n] == DRAINING || state[n] == GONE)));
        state[n] = entry;
        seenRenewals[n] = count
    fi;
    entryIncarnation[n] = i;
    entryAt[n] = at
}

inline writeEntry(entry) {
    changes++;
    renewals++;
    serverState = entry;
    storedState = entry;
    storedRenewals = renewals;
    storedEntryAt = changes;
    serverMustWrite = false
}

inline read(n) {
    if
    :: atomic { FOLLOWS_PLAN && PLAN_TO_READ(n) -> applyPlan(n, storedPlan, incarnation, storedPlanAt) }
    :: atomic { FOLLOWS_ENTRY && ENTRY_TO_READ(n) -> applyEntry(n, storedState, storedRenewals, incarnation, storedEntryAt) }
    fi
}

/* Node a reads from node b, also a later configuration of the operator at an older position. */
inline readFromPeer(a, b) {
    atomic {
        FOLLOWS_PLAN && NEWER(planIncarnation[b], planAt[b], planIncarnation[a], planAt[a]) -> applyPlan(a, plan[b], planIncarnation[b], planAt[b])
    }
}

inline readLaterPlan(a, b) {
    atomic { plan[b] > plan[a] -> plan[a] = plan[b] }
}

inline restart(n) {
    atomic {
        restarts < MAX_RESTARTS -> restarts++;
        plan[n] = 0; planIncarnation[n] = 0; planAt[n] = 0;
        state[n] = UNREGISTERED; seenRenewals[n] = 0; entryIncarnation[n] = 0; entryAt[n] = 0
    }
}

active proctype Environment() {
    do
    /* The operator. */
    :: atomic {
           FOLLOWS_PLAN && operatorPlan < MAX_PLAN && storedPlan == operatorPlan && changes < MAX_CHANGES ->
               changes++; operatorPlan++; storedPlan = operatorPlan; storedPlanAt = changes
       }
    :: atomic { storedPlan < operatorPlan && changes < MAX_CHANGES -> changes++; storedPlan = operatorPlan; storedPlanAt = changes }
    /* Another row is written. */
    :: atomic { changes < MAX_CHANGES -> changes++ }
    /* The server. */
    :: atomic { FOLLOWS_ENTRY && serverState == UNREGISTERED && changes < MAX_CHANGES -> writeEntry(READY) }
    :: atomic { serverState == READY && changes < MAX_CHANGES -> writeEntry(DRAINING) }
    :: atomic { serverMustWrite && (serverState == READY || serverState == DRAINING) && changes < MAX_CHANGES -> writeEntry(serverState) }
    :: atomic {
           serverState == DRAINING && changes < MAX_CHANGES ->
               changes++; serverState = GONE; storedState = GONE; storedEntryAt = changes
       }
    /* The store: copies and restores. */
    :: atomic {
           copiedChanges = changes; copiedPlan = storedPlan; copiedPlanAt = storedPlanAt;
           copiedState = storedState; copiedRenewals = storedRenewals; copiedEntryAt = storedEntryAt
       }
    :: atomic {
           incarnation < MAX_INCARNATION ->
               incarnation++; changes = copiedChanges; storedPlan = copiedPlan; storedPlanAt = copiedPlanAt;
               serverMustWrite = (serverState == READY || serverState == DRAINING) && copiedRenewals != renewals;
               storedState = copiedState; storedRenewals = copiedRenewals; storedEntryAt = copiedEntryAt
       }
    :: read(0)
    :: read(1)
    :: readFromPeer(0, 1)
    :: readFromPeer(1, 0)
    :: readLaterPlan(0, 1)
    :: readLaterPlan(1, 0)
    :: restart(0)
    /* Nobody has anything left to read. */
    :: atomic {
           FOLLOWS_PLAN && storedPlan == operatorPlan && !PLAN_TO_READ(0) && !PLAN_TO_READ(1) -> assert(plan[0] == operatorPlan && plan[1] == operatorPlan)
       }
    od
}

init {
    atomic {
        byte n = 0;
        do
        :: n < NODES -> plan[n] = 1; planIncarnation[n] = 1; planAt[n] = 1; n++
        :: else -> break
        od
    }
}

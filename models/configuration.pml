/*
 * Adoption of configurations.
 *
 * The electorate consists of three nodes. Node 0 accepts version 2 based on version 1: it offers the body, waits until a
 * majority holds it, and writes the row once. The write may take effect late or never, and its answer may be lost. Nodes may
 * lose the connection to the store and to each other, and may restart; a restarted process is not an elector any more.
 *
 * A node admits work under version 1 only while its configuration is fresh: it has read the row recently, or it receives
 * heartbeats from a majority of the electorate and neither the node itself nor a node from which it receives heartbeats has
 * an offer or a later row. Properties: once the row has been at version 2 for longer than a read may be old (modelled by
 * 'settled'), no node admits under version 1; and no node returns to an earlier version.
 *
 * Each rule can be removed by a macro; the check must then find a violation:
 *   NO_MAJORITY_TO_ACCEPT  the row is written without a majority that holds the offer
 *   NO_MAJORITY_TO_ADMIT   a node that cannot reach the store admits without heartbeats from a majority
 *   IGNORE_OFFER           a node admits although it has received an undecided offer
 *   RESTART_KEEPS_VOTE     a restarted process still counts as an elector
 *   NOT_MONOTONIC          a node applies any row that a peer reports
 *
 * Names follow src/coordination/adoption.cpp: applyCommitted, applyOffer, evaluateFreshness, offerHasMajority.
 */

#define NODES 3
#define MAJORITY 2
#define MAX_CUTS 4
#define MAX_RESTARTS 2

byte row = 1;                  /* version in the table */
bool settled = false;          /* whether the row has been at version 2 for longer than a read may be old */
bool writeInFlight = false;

byte known[NODES];             /* committed version that the node has */
bool offered[NODES];           /* whether the node holds the offer of version 2 */
bool elector[NODES];           /* whether the node's process is still the one in the row's electorate */
bool store[NODES];             /* whether the node reaches the store */
bool link[9];                  /* link[a * 3 + b]: whether a receives heartbeats from b */
byte restarts = 0;
byte cuts = 0;

#define RECEIVES(a, b) (a == b || link[a * 3 + b])

/* A node applies a committed row. It never returns to an earlier version. */
inline applyCommitted(n, version) {
#ifdef NOT_MONOTONIC
    assert(version >= known[n]);
    known[n] = version;
#else
    if
    :: version > known[n] -> known[n] = version; offered[n] = false
    :: else -> skip
    fi;
#endif
}

proctype Acceptor() {
    byte holding;
    byte n;
    /* storeOffer: the offer reaches the nodes that are connected to node 0 in both directions, one after another. */
    n = 0;
    do
    :: n < NODES ->
        if
        :: n == 0 || (link[n] && link[n * 3]) -> atomic {
               if
               :: known[n] == 1 -> offered[n] = true
               :: else -> skip
               fi
           }
           if
           :: elector[n] && offered[n] -> holding++     /* the answer arrives */
           :: skip                                      /* the answer is lost */
           fi
        :: skip
        fi;
        n++
    :: else -> break
    od;
#ifdef NO_MAJORITY_TO_ACCEPT
    writeInFlight = true
#else
    if
    :: holding >= MAJORITY -> writeInFlight = true
    :: else -> skip                                     /* the offer is withdrawn: the row is never written */
    fi
#endif
}

/* A node reads the row. */
inline poll(n) {
    atomic {
        store[n] && known[n] != row -> applyCommitted(n, row)
    }
}

/* Node a receives a heartbeat of b with its committed row and its offer. */
inline heartbeat(a, b) {
    if
    :: atomic { RECEIVES(a, b) && known[b] != 0 && known[b] != known[a] -> applyCommitted(a, known[b]) }
    :: atomic { RECEIVES(a, b) && offered[b] && !offered[a] && known[a] == 1 -> offered[a] = true }
    fi
}

#ifdef RESTART_KEEPS_VOTE
#define VOTE(n) 1
#else
#define VOTE(n) elector[n]
#endif
#define VOTES(n) ((RECEIVES(n, 0) && VOTE(0)) + (RECEIVES(n, 1) && VOTE(1)) + (RECEIVES(n, 2) && VOTE(2)))
#define HAS_OFFER(n) ((RECEIVES(n, 0) && offered[0]) || (RECEIVES(n, 1) && offered[1]) || (RECEIVES(n, 2) && offered[2]))
#define HAS_LATER_ROW(n) ((RECEIVES(n, 0) && known[0] > 1) || (RECEIVES(n, 1) && known[1] > 1) || (RECEIVES(n, 2) && known[2] > 1))

#ifdef NO_MAJORITY_TO_ADMIT
#define FRESH(n) (!HAS_OFFER(n) && !HAS_LATER_ROW(n))
#else
#ifdef IGNORE_OFFER
#define FRESH(n) (VOTES(n) >= MAJORITY && !HAS_LATER_ROW(n))
#else
#define FRESH(n) (VOTES(n) >= MAJORITY && !HAS_OFFER(n) && !HAS_LATER_ROW(n))
#endif
#endif

/* A node that cannot reach the store admits a request under version 1, long after version 2 was accepted. */
#define ADMITS_OLD(n) (known[n] == 1 && !store[n] && settled && FRESH(n))

/* A process ends and a new one replaces it: the new one gets its state from its peers and is not an elector. */
inline restart(a, b, c) {
    atomic {
        restarts < MAX_RESTARTS ->
            restarts++;
            known[a] = 0;
            offered[a] = false;
            elector[a] = false;
            if
            :: RECEIVES(a, b) && known[b] > known[a] -> known[a] = known[b]
            :: else -> skip
            fi;
            if
            :: RECEIVES(a, c) && known[c] > known[a] -> known[a] = known[c]
            :: else -> skip
            fi
    }
}

inline cutLink(a, b) {
    atomic { cuts < MAX_CUTS && link[a * 3 + b] -> cuts++; link[a * 3 + b] = false }
}

inline cutStore(n) {
    atomic { cuts < MAX_CUTS && store[n] -> cuts++; store[n] = false }
}

/* Everything except the acceptor. Each step is one point in time, so one process can execute the steps in any order. */
proctype Environment() {
    do
    /* The table: the write takes effect at any time, or never. */
    :: atomic { writeInFlight && row == 1 -> row = 2 }
    /* Time passes: each node that reaches the store has read the row. */
    :: atomic {
           row == 2 && !settled && (!store[0] || known[0] == 2) && (!store[1] || known[1] == 2) && (!store[2] || known[2] == 2)
               -> settled = true
       }
    :: poll(0)
    :: poll(1)
    :: poll(2)
    :: heartbeat(0, 1)
    :: heartbeat(0, 2)
    :: heartbeat(1, 0)
    :: heartbeat(1, 2)
    :: heartbeat(2, 0)
    :: heartbeat(2, 1)
    :: cutLink(0, 1)
    :: cutLink(0, 2)
    :: cutLink(1, 0)
    :: cutLink(1, 2)
    :: cutLink(2, 0)
    :: cutLink(2, 1)
    :: cutStore(0)
    :: cutStore(1)
    :: cutStore(2)
    :: restart(0, 1, 2)
    :: restart(1, 0, 2)
    :: restart(2, 0, 1)
    :: ADMITS_OLD(0) || ADMITS_OLD(1) || ADMITS_OLD(2) -> assert(false)
    od
}

init {
    atomic {
        byte n = 0;
        do
        :: n < NODES -> known[n] = 1; elector[n] = true; store[n] = true; n++
        :: else -> break
        od;
        n = 0;
        do
        :: n < 9 -> link[n] = true; n++
        :: else -> break
        od;
        n = 0;
        run Acceptor();
        run Environment()
    }
}

/*
 * Adoption of configurations.
 *
 * Three nodes are the electorate. Node 0 accepts version 2 on version 1: it offers the body, waits for a majority that holds
 * it, and writes the row once; the write may take effect late, or never, and its answer may be lost. Nodes may be cut off
 * from the store and from each other, and may restart, which makes them other electors.
 *
 * A node admits work under version 1 only while it is current: it has read the row lately, or it hears a majority of the
 * electorate and nobody it hears, itself included, knows of an offer or of a later row. The property: once the row is at
 * version 2 for longer than the bound (modelled by 'settled'), no node admits under version 1. And no node goes back.
 *
 * Rules that can be removed by a macro; the check must then find a violation:
 *   NO_MAJORITY_TO_ACCEPT  the row is written without a majority that holds the offer
 *   NO_MAJORITY_TO_ADMIT   a node cut off from the store admits without hearing a majority
 *   IGNORE_OFFER           a node admits although it knows of an undecided offer
 *   RESTART_KEEPS_VOTE     a restarted process counts as the elector it was before
 *   NOT_MONOTONIC          a node takes any row that a peer names
 *
 * Names follow src/coordination/adoption.cpp: learnCommitted, learnOffer, currency, offerHasMajority.
 */

#define NODES 3
#define MAJORITY 2
#define MAX_CUTS 4
#define MAX_RESTARTS 2

byte row = 1;                  /* version in the table */
bool settled = false;          /* the row has been at version 2 for longer than a read may be old */
bool writeInFlight = false;

byte known[NODES];             /* committed version known */
bool offered[NODES];           /* holds the offer of version 2 */
bool elector[NODES];           /* still the process that the row's electorate names */
bool store[NODES];             /* reaches the store */
bool link[9];                  /* link[a * 3 + b]: a hears b lately */
byte restarts = 0;
byte cuts = 0;

#define HEARS(a, b) (a == b || link[a * 3 + b])

/* learnCommitted: never back. */
inline learnCommitted(n, version) {
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
    /* hold: the offer reaches those that node 0 can talk to, one after another. */
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
           :: elector[n] && offered[n] -> holding++     /* its answer arrives */
           :: skip                                      /* or is lost */
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
    :: else -> skip                                     /* withdrawn: it is never written */
    fi
#endif
}

/* A node's read of the row. */
inline poll(n) {
    atomic {
        store[n] && known[n] != row -> learnCommitted(n, row)
    }
}

/* A beat of b reaches a: its committed row, and its offer. */
inline beat(a, b) {
    if
    :: atomic { HEARS(a, b) && known[b] != 0 && known[b] != known[a] -> learnCommitted(a, known[b]) }
    :: atomic { HEARS(a, b) && offered[b] && !offered[a] && known[a] == 1 -> offered[a] = true }
    fi
}

#ifdef RESTART_KEEPS_VOTE
#define VOTE(n) 1
#else
#define VOTE(n) elector[n]
#endif
#define VOTES(n) ((HEARS(n, 0) && VOTE(0)) + (HEARS(n, 1) && VOTE(1)) + (HEARS(n, 2) && VOTE(2)))
#define KNOWS_OFFER(n) ((HEARS(n, 0) && offered[0]) || (HEARS(n, 1) && offered[1]) || (HEARS(n, 2) && offered[2]))
#define KNOWS_LATER(n) ((HEARS(n, 0) && known[0] > 1) || (HEARS(n, 1) && known[1] > 1) || (HEARS(n, 2) && known[2] > 1))

#ifdef NO_MAJORITY_TO_ADMIT
#define CURRENT(n) (!KNOWS_OFFER(n) && !KNOWS_LATER(n))
#else
#ifdef IGNORE_OFFER
#define CURRENT(n) (VOTES(n) >= MAJORITY && !KNOWS_LATER(n))
#else
#define CURRENT(n) (VOTES(n) >= MAJORITY && !KNOWS_OFFER(n) && !KNOWS_LATER(n))
#endif
#endif

/* A node that cannot reach the store admits a request under version 1, long after version 2 was accepted. */
#define ADMITS_OLD(n) (known[n] == 1 && !store[n] && settled && CURRENT(n))

/* A process ends and another takes its place: it knows what it hears from its peers, and is no elector. */
inline restart(a, b, c) {
    atomic {
        restarts < MAX_RESTARTS ->
            restarts++;
            known[a] = 0;
            offered[a] = false;
            elector[a] = false;
            if
            :: HEARS(a, b) && known[b] > known[a] -> known[a] = known[b]
            :: else -> skip
            fi;
            if
            :: HEARS(a, c) && known[c] > known[a] -> known[a] = known[c]
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

/* Everything but the acceptor; each step is one point in time, so that one process can take them in any order. */
proctype World() {
    do
    /* The table: the write takes effect at any time, or never. */
    :: atomic { writeInFlight && row == 1 -> row = 2 }
    /* Time passes: whoever reaches the store has read the row. */
    :: atomic {
           row == 2 && !settled && (!store[0] || known[0] == 2) && (!store[1] || known[1] == 2) && (!store[2] || known[2] == 2)
               -> settled = true
       }
    :: poll(0)
    :: poll(1)
    :: poll(2)
    :: beat(0, 1)
    :: beat(0, 2)
    :: beat(1, 0)
    :: beat(1, 2)
    :: beat(2, 0)
    :: beat(2, 1)
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
        run World()
    }
}

/*
 * Leases and orders to one engine.
 *
 * Two nodes share one lease and one engine. A node may be paused between any two steps, so a check may be long past when
 * what it allowed happens. Answers of the table may be lost; the process then reads back. The engine may crash and restart.
 * Time is abstract: the lease of a holder that renews no more lapses for its holder before another node may take it.
 *
 * CHECKS: 1 for an engine that refuses old fencing tokens, 0 for one that does not.
 * Each rule of the protocol can be removed by a macro; the check must then find a violation:
 *   NO_LAPSE_BEFORE_TAKE  a taker does not wait until the holder's authority has lapsed
 *   NO_ADOPT              a successor issues its own order over an open intent
 *   NO_FENCE              an adopted order is sent under the fencing token it had
 *   NO_PENDING            senders that may still send are forgotten at once
 *   RECONNECT             a sender connects again for the same intent
 *   NO_GUARD              an intent is written without the lease's guard
 *   NO_CLOSE_CHECK        an order is closed before the engine is seen in its state
 *
 * Names follow src/coordination/lease.cpp and order.cpp: Take, Issue, Adopt, Close, withoutSender, isHarmless.
 */

#ifndef CHECKS
#define CHECKS 1
#endif

#define NODES 2
#define MAX_ORDERS 2
#define MAX_FENCE 4
#define MAX_TOKEN 2
#define NOBODY 7

/* ---- the table: lease row and order row ---- */
byte leaseHolder = NOBODY;
byte leaseToken = 0;

byte orderNumber = 0;
bool orderOpen = false;
byte rowFence = 0;
byte rowVersion = 0;
bool pending[NODES];           /* a sender that may still send ... */
byte pendingEngine[NODES];     /* ... on a connection to this engine process */

/* ---- what nodes believe ---- */
bool acting[NODES];            /* own authority, by own clock */
byte heldToken[NODES];

/* ---- the engine ---- */
byte engine = 0;               /* incarnation */
byte engineFence = 0;
byte engineToken = 0;          /* lease token of the last order taken */
byte engineOrder = 0;          /* order whose effect it shows */
byte highestTaken = 0;         /* highest order number that ever took effect */
byte crashes = 0;

/* An order that reaches the engine process it was sent to. */
inline arrive(number, fence, connection, token) {
    atomic {
        if
        :: connection != engine -> skip               /* the old connection is dead */
        :: connection == engine && CHECKS && fence < engineFence -> skip   /* refused */
        :: else ->
            assert(number >= highestTaken);           /* no order takes effect after a later one */
            assert(!CHECKS || token >= engineToken);  /* nor after one of a later holder, where the engine checks */
            engineToken = token;
            if
            :: fence > engineFence -> engineFence = fence
            :: else -> skip
            fi;
            engineOrder = number;
            highestTaken = number
        fi
    }
}

proctype Node(byte me) {
    byte version, number, fence, connection;
    bool open, blocked, sent;

    do
    /* Take: a free lease, or one whose holder has lapsed on its own clock before a whole lease was over here. */
    :: leaseToken < MAX_TOKEN && !acting[me] ->
        atomic {
#ifdef NO_LAPSE_BEFORE_TAKE
            if
            :: true ->
#else
            if
            :: leaseHolder == NOBODY || leaseHolder == me || !acting[leaseHolder] ->
#endif
                leaseHolder = me;
                leaseToken++;
                acting[me] = true;
                heldToken[me] = leaseToken;
                assert(!acting[1 - me])               /* one authority at a time */
            :: else -> skip
            fi
        }

    /* One round of orders: connect, look at row and engine, decide, write the intent, send. */
    :: acting[me] && orderNumber < MAX_ORDERS && rowFence < MAX_FENCE ->
        atomic {                                       /* look; the read is one point in time */
            connection = engine;
            version = rowVersion;
            number = orderNumber;
            open = orderOpen;
            blocked = (!CHECKS) && ((pending[0] && pendingEngine[0] == engine) || (pending[1] && pendingEngine[1] == engine))
        }
        if
        :: open && engineOrder == number ->            /* Close */
            atomic {
                if
                :: rowVersion == version && leaseToken == heldToken[me] ->
                    orderOpen = false;
                    rowVersion++
                :: else -> skip
                fi
            }
#ifdef NO_CLOSE_CHECK
        :: open ->
            atomic {
                if
                :: rowVersion == version && leaseToken == heldToken[me] ->
                    orderOpen = false;
                    rowVersion++;
                    pending[0] = false;
                    pending[1] = false
                :: else -> skip
                fi
            }
#endif
        :: !open && blocked -> skip                    /* Blocked: an earlier sender may still send */
        :: (open && engineOrder != number) || (!open && !blocked) ->
            sent = false;
            atomic {                                   /* Adopt or Issue: the intent, under both conditions */
                if
#ifdef NO_GUARD
                :: rowVersion == version && !(pending[me] && pendingEngine[me] == engine) ->
#else
                :: rowVersion == version && leaseToken == heldToken[me] && !(pending[me] && pendingEngine[me] == engine) ->
#endif
                    assert(leaseToken == heldToken[me]);   /* else it is an order of a process that has lost its authority */
                    if
#ifdef NO_ADOPT
                    :: true -> number = number + 1; orderNumber = number; orderOpen = true
#else
                    :: open -> skip
                    :: !open -> number = number + 1; orderNumber = number; orderOpen = true
#endif
                    fi;
#ifdef NO_FENCE
                    if
                    :: open -> skip
                    :: else -> rowFence++
                    fi;
#else
                    rowFence++;
#endif
                    fence = rowFence;
                    rowVersion++;
#ifndef NO_PENDING
                    pending[me] = true;
                    pendingEngine[me] = connection;
#endif
                    sent = true
                :: else -> skip
                fi
            }
            if
            :: sent ->
                /* Here the sender may be paused for any time: the other node may take over, the engine may restart. */
#ifdef RECONNECT
                connection = engine;
#endif
                if
                :: arrive(number, fence, connection, heldToken[me]);
                   if
                   :: atomic { pending[me] = false; rowVersion++ }   /* withoutSender: the answer came */
                   :: skip                                           /* the answer was lost */
                   fi
                :: skip                                              /* the order never arrives; nobody knows */
                fi
            :: else -> skip
            fi
        fi
    od
}

/* A lease lapses on its holder's own clock, while the holder may be paused in the middle of anything. */
active proctype Lapse() {
    do
    :: acting[0] -> acting[0] = false
    :: acting[1] -> acting[1] = false
    od
}

/* The engine crashes and comes back as another process that remembers no fencing token and may have lost the change. */
active proctype Crashes() {
    do
    :: crashes < 1 ->
        atomic {
            crashes++;
            engine++;
            engineFence = 0;
            engineToken = 0;
            engineOrder = 0
        }
    :: else -> break
    od
}

init {
    atomic {
        run Node(0);
        run Node(1)
    }
}

/*
 * Leases and orders to one engine.
 *
 * Two nodes share one lease and one engine. A node may be paused between any two steps, so an action may take place long
 * after the check that allowed it. Answers of the table may be lost; the process then reads the row back. The engine may
 * crash and restart. Time is abstract: the lease of a holder that no longer renews it expires for the holder before another
 * node may take it.
 *
 * CHECKS: 1 for an engine that rejects old fencing tokens, 0 for one that does not.
 * Each rule of the protocol can be removed by a macro; the check must then find a violation:
 *   NO_LAPSE_BEFORE_TAKE  a node takes the lease before the holder's authority has expired
 *   NO_ADOPT              the next holder issues its own order although one is open
 *   NO_FENCE              an adopted order is sent with its old fencing token
 *   NO_PENDING            senders that may still send are not recorded
 *   RECONNECT             a sender opens a new connection after it has written the order
 *   NO_GUARD              an order is written without the lease row as a guard
 *   NO_CLOSE_CHECK        an order is closed before the engine is observed in the requested state
 *
 * Names follow src/coordination/lease.cpp and order.cpp: Take, Issue, Adopt, Close, removeSender, canNoLongerSend.
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
bool pending[NODES];           /* whether the node is a pending sender, which may still send its order */
byte pendingEngine[NODES];     /* engine process to which the pending sender is connected */

/* ---- local state of the nodes ---- */
bool acting[NODES];            /* whether the node has authority according to its own clock */
byte heldToken[NODES];

/* ---- the engine ---- */
byte engine = 0;               /* incarnation */
byte engineFence = 0;
byte engineToken = 0;          /* lease token of the last accepted order */
byte engineOrder = 0;          /* order whose effect the engine shows */
byte highestApplied = 0;         /* highest order number that took effect */
byte crashes = 0;

/* Delivers an order to the engine process to which it was sent. */
inline deliver(number, fence, connection, token) {
    atomic {
        if
        :: connection != engine -> skip               /* the connection to the old process is closed */
        :: connection == engine && CHECKS && fence < engineFence -> skip   /* rejected */
        :: else ->
            assert(number >= highestApplied);           /* no order takes effect after a later order */
            assert(!CHECKS || token >= engineToken);  /* with fencing, also none after an order of a later lease holder */
            engineToken = token;
            if
            :: fence > engineFence -> engineFence = fence
            :: else -> skip
            fi;
            engineOrder = number;
            highestApplied = number
        fi
    }
}

proctype Node(byte me) {
    byte version, number, fence, connection;
    bool open, blocked, sent;

    do
    /* Take: the lease is free, or the holder's authority has expired on its own clock, which is before the full duration
       has passed on the clock of the node that takes it. */
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
                assert(!acting[1 - me])               /* at most one node has authority */
            :: else -> skip
            fi
        }

    /* One iteration of orders: connect, read the row and the engine, decide, write the order, send it. */
    :: acting[me] && orderNumber < MAX_ORDERS && rowFence < MAX_FENCE ->
        atomic {                                       /* readSnapshot: one point in time */
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
            atomic {                                   /* Adopt or Issue: write the order under both conditions */
                if
#ifdef NO_GUARD
                :: rowVersion == version && !(pending[me] && pendingEngine[me] == engine) ->
#else
                :: rowVersion == version && leaseToken == heldToken[me] && !(pending[me] && pendingEngine[me] == engine) ->
#endif
                    assert(leaseToken == heldToken[me]);   /* no order of a process that has lost the lease */
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
                /* The sender may be paused here for any time: the other node may take the lease, the engine may restart. */
#ifdef RECONNECT
                connection = engine;
#endif
                if
                :: deliver(number, fence, connection, heldToken[me]);
                   if
                   :: atomic { pending[me] = false; rowVersion++ }   /* removeSender: the answer was received */
                   :: skip                                           /* the answer was lost */
                   fi
                :: skip                                              /* the order is lost, and no node detects it */
                fi
            :: else -> skip
            fi
        fi
    od
}

/* A lease expires on its holder's own clock, at any step in which the holder may be paused. */
active proctype Lapse() {
    do
    :: acting[0] -> acting[0] = false
    :: acting[1] -> acting[1] = false
    od
}

/* The engine crashes and restarts as a new process, which has no record of fencing tokens and may have lost the change. */
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

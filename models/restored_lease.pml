/*
 * One lease and its fencing tokens while the store is restored from an older copy.
 *
 * A restore starts a new incarnation, in which the lease's row is as old as the copy: the holder's row may be missing, name an earlier
 * holder or have a lower token. Two nodes share the lease and send orders to one engine, which remembers the highest token. A node learns
 * of an incarnation only when it reads the store. Time is abstract: who waits for the duration of the lease acts only after every authority
 * has expired that was obtained before.
 *
 * Properties: never do two nodes have authority, and no order has a lower token than an earlier one, or the token of another holder.
 *
 * Each rule can be removed by a macro; the check must then find a violation:
 *   TAKE_FREE_AT_ONCE     a lease without a holder is taken without waiting in a restored store, too
 *   TRUST_OWN_ROW         a node that finds its own earlier row in a restored store renews it without waiting
 *   TOKEN_BY_ROW          the next token follows from the row alone
 *
 * Names follow src/coordination/lease.cpp.
 */

#define NODES 2
#define NOBODY 7
#define MAX_INCARNATION 3
#define MAX_TAKES 4
#define TOKENS_PER_INCARNATION 8

byte incarnation = 1;
byte holder = NOBODY;
byte token = 0;

byte copiedHolder = NOBODY;
byte copiedToken = 0;

bool acting[NODES];            /* whether the node has authority according to its own clock */
byte heldToken[NODES];
byte seenIncarnation[NODES];
byte takes = 0;

byte engineToken = 0;
byte engineHolder = NOBODY;

#ifdef TOKEN_BY_ROW
#define NEXT_TOKEN (token + 1)
#else
#define FIRST_TOKEN (incarnation * TOKENS_PER_INCARNATION)
#define NEXT_TOKEN ((token >= FIRST_TOKEN -> token : FIRST_TOKEN) + 1)
#endif

#define WAITED(other) (!acting[other])

/* Without a restore, a free lease has been released or never taken. */
#ifdef TAKE_FREE_AT_ONCE
#define MAY_TAKE(other) (holder == NOBODY || WAITED(other))
#else
#define MAY_TAKE(other) ((holder == NOBODY && incarnation == 1) || WAITED(other))
#endif

inline take(me, other) {
    atomic {
        seenIncarnation[me] == incarnation && !acting[me] && takes < MAX_TAKES && MAY_TAKE(other) ->
            takes++;
            token = NEXT_TOKEN;
            holder = me;
            heldToken[me] = token;
            acting[me] = true;
            assert(!acting[other])
    }
}

/* Renews the node's own row. In a restored store the row may be of a time before another node held the lease. */
inline renew(me, other) {
    atomic {
        seenIncarnation[me] == incarnation && holder == me && (acting[me]
#ifdef TRUST_OWN_ROW
            || true
#endif
            ) ->
            heldToken[me] = token;
            acting[me] = true;
            assert(!acting[other])
    }
}

/* Reads the store in a new incarnation, and gives authority up that was obtained in an earlier one. */
inline observe(me) {
    atomic { seenIncarnation[me] != incarnation -> seenIncarnation[me] = incarnation; acting[me] = false }
}

inline expire(me) {
    atomic { acting[me] -> acting[me] = false }
}

inline release(me) {
    atomic { acting[me] && seenIncarnation[me] == incarnation && holder == me -> acting[me] = false; holder = NOBODY }
}

inline order(me) {
    atomic {
        acting[me] ->
            assert(heldToken[me] >= engineToken);
            assert(heldToken[me] != engineToken || engineHolder == me);
            engineToken = heldToken[me];
            engineHolder = me
    }
}

active proctype Environment() {
    do
    :: take(0, 1)
    :: take(1, 0)
    :: renew(0, 1)
    :: renew(1, 0)
    :: observe(0)
    :: observe(1)
    :: expire(0)
    :: expire(1)
    :: release(0)
    :: release(1)
    :: order(0)
    :: order(1)
    :: atomic { copiedHolder = holder; copiedToken = token }
    :: atomic { incarnation < MAX_INCARNATION -> incarnation++; holder = copiedHolder; token = copiedToken }
    od
}

init {
    atomic { seenIncarnation[0] = 1; seenIncarnation[1] = 1 }
}

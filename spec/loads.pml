/* The loads that a hub sends to a node: only what changed since the position that the node reported.
 *
 * A hub has the loads of two heads. Each change gets the next position of the hub's incarnation. A message carries the
 * loads that changed after the position that the hub last heard of the node, or all of them. Messages and the node's
 * reports may be lost, late or repeated. Hub and node may each start again once, at any step.
 *
 * Property
 *   !wrong   at the position that it has of an incarnation, the node knows exactly the loads that the hub had there
 *
 * Each switch (-D) removes one safeguard:
 *   NO_RESUME          the node applies changes after a position that it has not reached
 *   NO_INCARNATION     the node does not compare incarnations: positions of two are of one series
 *   NO_LATE            the node applies a message that is older than its position
 *   NO_RESET           the node keeps what it knew when it gets all loads
 *
 * WITNESS: changes were applied after the hub had started again.
 */

#define MAX_POSITION 3
#define NONE 2 /* no incarnation */
#define AT(i, p) ((i) * (MAX_POSITION + 1) + (p))

/* The hub, and the position that it last heard of the node. */
byte hub_life, position;
bit load[2];
byte changed_at[2];
byte heard_life = NONE, heard_at;
/* Ghost: the loads at each position of each incarnation. */
bit history0[8], history1[8];

/* The node. */
byte node_life = NONE, node_at;
bit known[2];
bool node_restarted;

/* Two messages and one report on their way; a new one may replace one, which loses it. */
typedef message {
  bool sent;
  byte life, after, position;
  bool has[2];
  bit load[2]
};
message m[2];
byte r_life = NONE, r_at;

bool wrong;
#ifdef WITNESS
bool saw_change;
#endif

#ifdef NO_INCARNATION
#define SAME_LIFE(k) (node_life != NONE)
#else
#define SAME_LIFE(k) (node_life == m[k].life)
#endif
#ifdef NO_RESUME
#define CONTINUES(k) true
#else
#define CONTINUES(k) (m[k].after == 0 || (SAME_LIFE(k) && m[k].after <= node_at))
#endif
#ifdef NO_LATE
#define LATE(k) false
#else
#define LATE(k) (SAME_LIFE(k) && m[k].position < node_at)
#endif

inline SEND(k) {
  m[k].after = (heard_life == hub_life && heard_at <= position -> heard_at : 0);
  m[k].life = hub_life; m[k].position = position; m[k].sent = true;
  m[k].has[0] = changed_at[0] > m[k].after; m[k].has[1] = changed_at[1] > m[k].after;
  m[k].load[0] = load[0]; m[k].load[1] = load[1]
}

active proctype hub() {
end:
  do
  :: atomic { position < MAX_POSITION ->
       position++;
       if
       :: load[0] = 1 - load[0]; changed_at[0] = position
       :: load[1] = 1 - load[1]; changed_at[1] = position
       fi;
       history0[AT(hub_life, position)] = load[0];
       history1[AT(hub_life, position)] = load[1]
     }
  :: atomic { hub_life == 0 -> /* starts again, with loads of its own */
       hub_life = 1; position = 0; heard_life = NONE; heard_at = 0;
       load[0] = 0; load[1] = 0; changed_at[0] = 0; changed_at[1] = 0
     }
  :: atomic { position > 0 -> SEND(0) }
  :: atomic { position > 0 -> SEND(1) }
  :: atomic { r_life != NONE -> heard_life = r_life; heard_at = r_at } /* a report arrives */
  od
}

/* A message arrives, perhaps again. */
inline RECEIVE(k) {
#ifndef NO_RESET
  if
  :: m[k].after == 0 -> known[0] = 0; known[1] = 0
  :: else
  fi;
#endif
  if
  :: m[k].has[0] -> known[0] = m[k].load[0]
  :: else
  fi;
  if
  :: m[k].has[1] -> known[1] = m[k].load[1]
  :: else
  fi;
#ifdef WITNESS
  saw_change = saw_change || (m[k].after > 0 && m[k].life == 1);
#endif
  node_life = m[k].life; node_at = m[k].position;
  wrong = known[0] != history0[AT(node_life, node_at)] || known[1] != history1[AT(node_life, node_at)]
}

active proctype node() {
end:
  do
  :: atomic { r_life != node_life || r_at != node_at -> r_life = node_life; r_at = node_at }
  :: atomic { !node_restarted ->
       node_restarted = true; node_life = NONE; node_at = 0; known[0] = 0; known[1] = 0
     }
  :: atomic { m[0].sent && CONTINUES(0) && !LATE(0) -> RECEIVE(0) }
  :: atomic { m[1].sent && CONTINUES(1) && !LATE(1) -> RECEIVE(1) }
  od
}

active proctype checker() {
end:
#ifdef WITNESS
  atomic { saw_change -> assert(false) }
#else
  atomic { wrong -> assert(!wrong) }
#endif
}

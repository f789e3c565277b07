/* The permission to route to a replica: observations, their age, and process incarnations.
 *
 * One replica with two members. A node probes member 0 itself and receives observations of member 1 from a trusted
 * peer. Probes, replies and the peer's messages may take any time; node and peer may be paused at any step. Members may
 * restart (they lose their role and get a new incarnation); orders of two other nodes that were decided before a
 * restart may reach the new process. Engines obey any order.
 *
 * An order names the generation and the incarnations of all members, and a member reports the group that it was
 * ordered into. Time is counted in ticks; a clock measures durations on one node only.
 *
 * Property
 *   !missing   a request is sent only to a group whose every member was in it within the permission time
 *
 * ONLY_PROBED, ONLY_FORWARDED: the other member is observed without delay. Without either, the run takes minutes.
 *
 * Each switch (-D) removes one safeguard:
 *   NO_LAPSE              observations do not expire
 *   NO_RECHECK            freshness is checked when the replica is chosen, not directly before the send
 *   AGE_FROM_REPLY        an observation's age counts from the arrival of the reply, not from the send of the probe
 *   FORWARDED_AS_FRESH    an observation forwarded by a peer counts as made on its arrival
 *   NO_ECHO               the age given by the peer is used without adding the time that the message may have been in
 *                         transit (bounded by the age of the node's own heartbeat, which the peer echoes)
 *   IGNORE_INCARNATION    members that report the same generation count as one group
 */

#define PERMISSION 1
#define EXPIRED (PERMISSION + 1)

/* 0: no role; else the two members' incarnations. One generation is enough for the property. */
#define TAG(i0, i1) (1 + 2 * (i0) + (i1))
#define INCARNATION(t, x) ((((t) - 1) >> (1 - (x))) & 1)

byte role[2];
bit incarnation[2];
#define NOW TAG(incarnation[0], incarnation[1])

/* An order of a paused node, based on the incarnations it knew before. */
byte pending_order;

/* The node: its probe of member 0, its heartbeat to the peer, and its latest observations. */
bool probing;
bool probe_answered;
byte probe_tag, probe_age;
bool heartbeat_sent;
bool peer_answered;
byte message_tag, heartbeat_age, message_age;
byte seen_tag[2], seen_age[2];
/* The peer's own observation of member 1. */
byte peer_tag, peer_age = EXPIRED;
/* Ghosts, passed on with the observations: ticks since the member really was in the group; EXPIRED: it was not. */
byte probe_true = EXPIRED, message_true = EXPIRED, peer_true = EXPIRED, seen_true[2] = EXPIRED;

bool missing;

#ifdef WITNESS
bool saw_send, saw_stale_choice, saw_mixed;
#define SAW(x, condition) x = x || (condition)
#else
#define SAW(x, condition) skip
#endif

#define IN_GROUP(x, t) (role[x] == (t) && INCARNATION(t, x) == incarnation[x])
#ifdef IGNORE_INCARNATION
#define REPORT(x) role[x]
#define SAME(t, u) ((t) && (u))
#else
#define REPORT(x) (role[x] && INCARNATION(role[x], x) == incarnation[x] -> role[x] : 0)
#define SAME(t, u) ((t) && (t) == (u))
#endif
#ifdef NO_LAPSE
#define FRESH(x) true
#else
#define FRESH(x) (seen_age[x] <= PERMISSION)
#endif
/* An expired observation is removed; it already has no effect. */
#ifdef NO_LAPSE
#define FORGET(x) skip
#else
#define FORGET(x) seen_tag[x] = 0; seen_true[x] = EXPIRED
#endif
#define PERMITTED (SAME(seen_tag[0], seen_tag[1]) && FRESH(0) && FRESH(1))
#define SUM(a, b) ((a) + (b) > EXPIRED -> EXPIRED : (a) + (b))
#define HELD_RECENTLY(x, t) (IN_GROUP(x, t) || (seen_tag[x] == (t) && seen_true[x] <= PERMISSION))
#define TRUE_AGE(x) (role[x] && IN_GROUP(x, role[x]) -> 0 : EXPIRED)

active proctype members() {
end:
  do
  :: atomic { incarnation[0] == 0 -> role[0] = 0; incarnation[0] = 1 }
  :: atomic { incarnation[1] == 0 -> role[1] = 0; incarnation[1] = 1 }
  od
}

/* One node sends orders for the current incarnations; an order that another decided earlier may arrive at any time. */
active proctype ordering_nodes() {
end:
  do
  :: atomic { role[0] != NOW -> role[0] = NOW }
  :: atomic { role[1] != NOW -> role[1] = NOW }
  :: atomic { pending_order != NOW -> pending_order = NOW }
  :: atomic { pending_order && role[0] != pending_order -> role[0] = pending_order }
  :: atomic { pending_order && role[1] != pending_order -> role[1] = pending_order }
  od
}

active proctype node() {
  byte chosen;
end:
  do
#ifdef ONLY_FORWARDED
  :: atomic { seen_tag[0] = REPORT(0); seen_age[0] = 0; seen_true[0] = TRUE_AGE(0) }
#else
  :: atomic { !probing -> probing = true; probe_age = 0 }
#endif
  :: atomic { probe_answered -> /* the reply arrives */
       seen_tag[0] = probe_tag;
#ifdef AGE_FROM_REPLY
       seen_age[0] = 0;
#else
       seen_age[0] = probe_age;
#endif
       seen_true[0] = probe_true;
       probing = false; probe_answered = false; probe_tag = 0; probe_age = 0; probe_true = EXPIRED }
#ifdef ONLY_PROBED
  :: atomic { seen_tag[1] = REPORT(1); seen_age[1] = 0; seen_true[1] = TRUE_AGE(1) }
#else
  :: atomic { !heartbeat_sent -> heartbeat_sent = true; heartbeat_age = 0 }
#endif
  :: atomic { peer_answered -> /* the peer's message arrives */
       seen_tag[1] = message_tag;
#if defined(FORWARDED_AS_FRESH)
       seen_age[1] = 0;
#elif defined(NO_ECHO)
       seen_age[1] = message_age;
#else
       seen_age[1] = SUM(message_age, heartbeat_age);
#endif
       seen_true[1] = message_true;
       heartbeat_sent = false; peer_answered = false; message_tag = 0; heartbeat_age = 0; message_age = 0; message_true = EXPIRED }
  :: atomic { PERMITTED -> chosen = seen_tag[0] }
     /* Hazard: the node is paused here, before the send. */
     atomic {
       SAW(saw_stale_choice, !PERMITTED);
       if
#ifdef NO_RECHECK
       :: true ->
#else
       :: PERMITTED && seen_tag[0] == chosen ->
#endif
          SAW(saw_send, true);
          missing = !HELD_RECENTLY(0, chosen) || !HELD_RECENTLY(1, chosen);
          assert(!missing)
       :: !(PERMITTED && seen_tag[0] == chosen)
       fi;
       chosen = 0
     }
  od
}

active proctype network() {
end:
  do
  :: atomic { probing && !probe_answered -> probe_answered = true; probe_tag = REPORT(0); probe_true = TRUE_AGE(0);
       SAW(saw_mixed, role[0] && INCARNATION(role[0], 0) != incarnation[0]) }
#ifndef ONLY_PROBED
  :: atomic { peer_tag = REPORT(1); peer_age = 0; peer_true = TRUE_AGE(1) }
#endif
  :: atomic { heartbeat_sent && !peer_answered && peer_age <= PERMISSION -> peer_answered = true; message_tag = peer_tag; message_age = peer_age; message_true = peer_true }
  od
}

inline increment_age(age) {
  age = (age < EXPIRED -> age + 1 : EXPIRED)
}

active proctype time() {
end:
  do
  :: d_step {
       true;
       if :: probing -> increment_age(probe_age); increment_age(probe_true) :: else fi;
       if :: heartbeat_sent -> increment_age(heartbeat_age); increment_age(message_true) :: else fi;
       increment_age(seen_age[0]);
       increment_age(seen_age[1]);
       increment_age(seen_true[0]);
       increment_age(seen_true[1]);
       if :: seen_age[0] == EXPIRED -> FORGET(0) :: else fi;
       if :: seen_age[1] == EXPIRED -> FORGET(1) :: else fi;
       increment_age(peer_age);
       increment_age(peer_true);
       if :: peer_age == EXPIRED -> peer_tag = 0; peer_true = EXPIRED :: else fi
     }
  od
}

#ifdef WITNESS
active proctype witness() {
  WITNESS;
  assert(false)
}
#endif

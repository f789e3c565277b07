/* The permission to route to a replica: observations, their age, and process incarnations.
 *
 * One replica with two members. A node probes member 0 itself and hears of member 1 from a trusted peer. Probes,
 * replies and the peer's messages take as long as they like; node and peer are paused at any step. Members restart
 * (role gone, new incarnation); orders of two other nodes, half sent before a restart, reach the new process.
 * Engines obey any order.
 *
 * An order names the generation and the incarnations of all members, and a member reports what it was
 * ordered: the group it believes in. Time is in ticks; a clock measures durations on one node only.
 *
 * Property
 *   !missing   a request is sent only to a group whose every member was in it within the permission time
 *
 * ONLY_PROBED, ONLY_FORWARDED: the other member is observed at once; both together are the long run.
 *
 * Safeguards (each can be removed by -D):
 *   NO_LAPSE              an observation does not age
 *   NO_RECHECK            freshness is checked when the replica is chosen, not directly before the send
 *   AGE_FROM_REPLY        an observation's age counts from the arrival of the reply, not from the send of the probe
 *   FORWARDED_AS_FRESH    what a peer forwards counts as observed on arrival
 *   NO_ECHO               the age that the peer gives is taken without the time the message may have been on its
 *                         way (bounded by the age of the own heartbeat that the peer echoes)
 *   IGNORE_INCARNATION    members that report the same generation are taken for one group
 */

#define PERMISSION 1
#define OLD (PERMISSION + 1)

/* 0: no role; else the two members' incarnations (one generation is enough to show what matters). */
#define TAG(i0, i1) (1 + 2 * (i0) + (i1))
#define INCARNATION(t, x) ((((t) - 1) >> (1 - (x))) & 1)

byte role[2];
bit incarnation[2];
#define NOW TAG(incarnation[0], incarnation[1])

/* An order of a paused node, made from what it knew before. */
byte ordered;

/* The node: a probe of member 0, a heartbeat to the peer, and what it knows. */
bool probing;
bool answered;
byte probe_tag, probe_age;
bool beating;
bool echoed;
byte beat_tag, beat_age, beat_peer_age;
byte seen_tag[2], seen_age[2];
/* The peer's own observation of member 1. */
byte peer_tag, peer_age = OLD;
/* Ghosts: ticks since the member was truly seen in the group, along the same ways; OLD: it was not. */
byte probe_true = OLD, beat_true = OLD, peer_true = OLD, seen_true[2] = OLD;

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
/* A lapsed observation is forgotten; it counted for nothing already. */
#ifdef NO_LAPSE
#define FORGET(x) skip
#else
#define FORGET(x) seen_tag[x] = 0; seen_true[x] = OLD
#endif
#define PERMITTED (SAME(seen_tag[0], seen_tag[1]) && FRESH(0) && FRESH(1))
#define SUM(a, b) ((a) + (b) > OLD -> OLD : (a) + (b))
#define HELD(x, t) (IN_GROUP(x, t) || (seen_tag[x] == (t) && seen_true[x] <= PERMISSION))
#define TRULY(x) (role[x] && IN_GROUP(x, role[x]) -> 0 : OLD)

active proctype members() {
end:
  do
  :: atomic { incarnation[0] == 0 -> role[0] = 0; incarnation[0] = 1 }
  :: atomic { incarnation[1] == 0 -> role[1] = 0; incarnation[1] = 1 }
  od
}

/* One node orders by the present incarnations; the order of another was made earlier and arrives any time. */
active proctype orderers() {
end:
  do
  :: atomic { role[0] != NOW -> role[0] = NOW }
  :: atomic { role[1] != NOW -> role[1] = NOW }
  :: atomic { ordered != NOW -> ordered = NOW }
  :: atomic { ordered && role[0] != ordered -> role[0] = ordered }
  :: atomic { ordered && role[1] != ordered -> role[1] = ordered }
  od
}

active proctype node() {
  byte chosen;
end:
  do
#ifdef ONLY_FORWARDED
  :: atomic { seen_tag[0] = REPORT(0); seen_age[0] = 0; seen_true[0] = TRULY(0) }
#else
  :: atomic { !probing -> probing = true; probe_age = 0 }
#endif
  :: atomic { answered -> /* the reply arrives */
       seen_tag[0] = probe_tag;
#ifdef AGE_FROM_REPLY
       seen_age[0] = 0;
#else
       seen_age[0] = probe_age;
#endif
       seen_true[0] = probe_true;
       probing = false; answered = false; probe_tag = 0; probe_age = 0; probe_true = OLD }
#ifdef ONLY_PROBED
  :: atomic { seen_tag[1] = REPORT(1); seen_age[1] = 0; seen_true[1] = TRULY(1) }
#else
  :: atomic { !beating -> beating = true; beat_age = 0 }
#endif
  :: atomic { echoed -> /* the peer's message arrives */
       seen_tag[1] = beat_tag;
#if defined(FORWARDED_AS_FRESH)
       seen_age[1] = 0;
#elif defined(NO_ECHO)
       seen_age[1] = beat_peer_age;
#else
       seen_age[1] = SUM(beat_peer_age, beat_age);
#endif
       seen_true[1] = beat_true;
       beating = false; echoed = false; beat_tag = 0; beat_age = 0; beat_peer_age = 0; beat_true = OLD }
  :: atomic { PERMITTED -> chosen = seen_tag[0] }
     /* Hazard: paused here with the request half sent. */
     atomic {
       SAW(saw_stale_choice, !PERMITTED);
       if
#ifdef NO_RECHECK
       :: true ->
#else
       :: PERMITTED && seen_tag[0] == chosen ->
#endif
          SAW(saw_send, true);
          missing = !HELD(0, chosen) || !HELD(1, chosen);
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
  :: atomic { probing && !answered -> answered = true; probe_tag = REPORT(0); probe_true = TRULY(0);
       SAW(saw_mixed, role[0] && INCARNATION(role[0], 0) != incarnation[0]) }
#ifndef ONLY_PROBED
  :: atomic { peer_tag = REPORT(1); peer_age = 0; peer_true = TRULY(1) }
#endif
  :: atomic { beating && !echoed && peer_age <= PERMISSION -> echoed = true; beat_tag = peer_tag; beat_peer_age = peer_age; beat_true = peer_true }
  od
}

inline older(age) {
  age = (age < OLD -> age + 1 : OLD)
}

active proctype time() {
end:
  do
  :: d_step {
       true;
       if :: probing -> older(probe_age); older(probe_true) :: else fi;
       if :: beating -> older(beat_age); older(beat_true) :: else fi;
       older(seen_age[0]);
       older(seen_age[1]);
       older(seen_true[0]);
       older(seen_true[1]);
       if :: seen_age[0] == OLD -> FORGET(0) :: else fi;
       if :: seen_age[1] == OLD -> FORGET(1) :: else fi;
       older(peer_age);
       older(peer_true);
       if :: peer_age == OLD -> peer_tag = 0; peer_true = OLD :: else fi
     }
  od
}

#ifdef WITNESS
active proctype witness() {
  WITNESS;
  assert(false)
}
#endif

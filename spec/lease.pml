/* How long a node may use the keys of its configuration version: proofs, from the store and from its hub, that the
 * version is still the newest.
 *
 * The store accepts a second version that withdraws a key. A hub follows the store. A node queries the store itself, or
 * gets updates from its hub. An update starts at the position and echoes the timestamp that the node last reported to
 * the hub. Every message may be in transit for any time, one of each kind at a time. The node may restart once and then
 * has no state, while its hub still has what the earlier incarnation reported.
 *
 * Properties
 *   !late    the node does not use the key BOUND ticks or more after it was withdrawn
 *   !blind   the node holds the version of its position, because it requests nothing older than that again
 *
 * Each switch (-D) removes one safeguard:
 *   FROM_ARRIVAL   the age of a proof from the store counts from the arrival of the answer, not from the query
 *   NO_ECHO        the age of a hub update counts from its arrival, not from the node's timestamp that it echoes
 *   NO_AGE         a hub update counts as if the hub had just queried the store
 *   NO_POSITION    a node whose position is behind the start of an update accepts it
 */

#define BOUND 2
#define START 4 /* the first tick; keeps times from going below zero */
#ifndef END
#define END 8
#endif
#define NONE 9 /* no version is known */

byte now = START;
byte newest;           /* version in the store: 0, then 1 */
byte withdrawn_at;        /* tick at which version 1 was accepted */

byte hub_version, hub_proof_time = START; /* the hub has read the store at the start */
byte reported_position, reported_stamp;   /* the node's position and clock, as last received by the hub */
bool hub_informed;

byte own_version = NONE, own_position, proof_time;
bool has_proof, restarted, late, blind;

#ifdef WITNESS
bool saw_hub_proof, saw_refusal;
#endif

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define usable (has_proof && own_version == 0 && now - proof_time < BOUND)

inline renew(time) {
  proof_time = (has_proof -> MAX(proof_time, time) : time);
  has_proof = true
}

inline check() {
  late = late || (usable && newest == 1 && now - withdrawn_at >= BOUND);
  blind = blind || (own_position > 0 && own_version != own_position)
}

active proctype clock() {
  do
  :: d_step { now < END -> now++; check() }
  od
}

active proctype operator() {
  d_step { newest == 0 -> newest = 1; withdrawn_at = now }
}

/* Variables that are no longer needed are set to zero, which makes otherwise equal states identical. */

/* Queries the store, which answers with its version at some later time; the answer arrives later still. */
active proctype hub() {
  byte sent_at, answer;
  do
  :: atomic { now < END -> sent_at = now };
     answer = newest;
     d_step {
       hub_version = MAX(hub_version, answer);
       hub_proof_time = MAX(hub_proof_time, sent_at);
       sent_at = 0; answer = 0
     }
  od
}

active proctype node() {
  byte sent_at, answer;
  do
  :: atomic { now < END -> sent_at = now };
     answer = newest;
     d_step {
       if
       :: answer >= own_position ->
          own_version = (own_version == NONE -> answer : MAX(own_version, answer));
          own_position = MAX(own_position, answer);
#ifdef FROM_ARRIVAL
          renew(now);
#else
          renew(sent_at);
#endif
          check()
       :: else -> skip
       fi;
       sent_at = 0; answer = 0
     }
  :: d_step {
       !restarted -> restarted = true;
       own_version = NONE; own_position = 0; proof_time = 0; has_proof = false
     }
  od
}

/* The node's heartbeats to the hub. */
active proctype node_heartbeats() {
  byte stamp, position;
  do
  :: d_step { now < END -> stamp = now; position = own_position };
     d_step { reported_position = position; reported_stamp = stamp; hub_informed = true; stamp = 0; position = 0 }
  od
}

/* The hub's heartbeats to the node. */
active proctype hub_heartbeats() {
  byte after, position, echo, age;
  bool row;
  do
  :: d_step {
       hub_informed && now < END ->
       after = reported_position; echo = reported_stamp; position = hub_version;
       row = hub_version > reported_position;
       age = now - hub_proof_time
     };
     d_step {
       if
#ifdef NO_POSITION
       :: true ->
#else
       :: after <= own_position ->
#endif
          if
          :: row && position >= own_position -> own_version = position
          :: else -> skip
          fi;
          own_position = MAX(own_position, position);
          if
          :: own_version != NONE && position >= own_position ->
#ifdef NO_ECHO
             renew(now - age)
#else
#ifdef NO_AGE
             renew(echo)
#else
             renew(echo - age)
#endif
#endif
#ifdef WITNESS
             ; saw_hub_proof = saw_hub_proof || usable
#endif
          :: else -> skip
          fi;
          check()
#ifndef NO_POSITION
       :: else -> skip
#endif
       fi;
       after = 0; position = 0; echo = 0; age = 0; row = false
     }
  od
}

active proctype monitor() {
#ifdef WITNESS
  d_step { saw_hub_proof && newest == 1 && own_version == 0 && !usable -> assert(false) }
#else
  d_step {
    late || blind ->
    assert(!late);
    assert(!blind)
  }
#endif
}

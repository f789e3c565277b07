/* How long a node uses keys of the version that it holds: proofs from the store and from its hub.
 *
 * The store accepts a second version that takes a key away. A hub follows the store; a node asks the store itself, or is
 * told by its hub, which answers on the position and the stamp that the node last told it. Every message may be on its
 * way for any time, and one of each kind at a time. The node may start again once and then knows nothing, while its
 * hub still has what its earlier life told.
 *
 * Property
 *   !late    the node does not use the key BOUND ticks or more after it was taken away
 *   !blind   the node holds the version that its position claims: it asks for nothing before that again
 *
 * Safeguards (each can be removed by -D):
 *   FROM_ARRIVAL   a proof from the store counts from its answer, not from the question
 *   NO_ECHO        what the hub says counts from its arrival, not from the node's stamp that it echoes
 *   NO_AGE         the hub's word counts as if the hub had just asked the store
 *   NO_POSITION    news are taken by a node that is behind the position that they go on from
 */

#define BOUND 2
#define START 4 /* the first tick, so that no time is below zero */
#ifndef END
#define END 8
#endif
#define NONE 9 /* no version is known */

byte now = START;
byte newest;           /* version in the store: 0, then 1 */
byte withdrawn;        /* tick at which version 1 was accepted */

byte hub_version, hub_proof = START; /* the hub has read the store at the start */
byte hub_asked, hub_stamp;           /* what the node told: its position, its clock */
bool hub_told;

byte own_version = NONE, own_position, own_proof;
bool proved, restarted, late, blind;

#ifdef WITNESS
bool saw_hub_proof, saw_refusal;
#endif

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define usable (proved && own_version == 0 && now - own_proof < BOUND)

inline prove(time) {
  own_proof = (proved -> MAX(own_proof, time) : time);
  proved = true
}

inline check() {
  late = late || (usable && newest == 1 && now - withdrawn >= BOUND);
  blind = blind || (own_position > 0 && own_version != own_position)
}

active proctype clock() {
  do
  :: d_step { now < END -> now++; check() }
  od
}

active proctype operator() {
  d_step { newest == 0 -> newest = 1; withdrawn = now }
}

/* What a step no longer needs is set to zero, so that states that differ in nothing else are one. */

/* Asks, is answered from what the store holds at some later moment, and hears it later still. */
active proctype hub() {
  byte asked, answer;
  do
  :: atomic { now < END -> asked = now };
     answer = newest;
     d_step {
       hub_version = MAX(hub_version, answer);
       hub_proof = MAX(hub_proof, asked);
       asked = 0; answer = 0
     }
  od
}

active proctype node() {
  byte asked, answer;
  do
  :: atomic { now < END -> asked = now };
     answer = newest;
     d_step {
       if
       :: answer >= own_position ->
          own_version = (own_version == NONE -> answer : MAX(own_version, answer));
          own_position = MAX(own_position, answer);
#ifdef FROM_ARRIVAL
          prove(now);
#else
          prove(asked);
#endif
          check()
       :: else -> skip
       fi;
       asked = 0; answer = 0
     }
  :: d_step {
       !restarted -> restarted = true;
       own_version = NONE; own_position = 0; own_proof = 0; proved = false
     }
  od
}

/* The node's beats. */
active proctype telling() {
  byte stamp, position;
  do
  :: d_step { now < END -> stamp = now; position = own_position };
     d_step { hub_asked = position; hub_stamp = stamp; hub_told = true; stamp = 0; position = 0 }
  od
}

/* The hub's beats. */
active proctype news() {
  byte after, position, echo, age;
  bool row;
  do
  :: d_step {
       hub_told && now < END ->
       after = hub_asked; echo = hub_stamp; position = hub_version;
       row = hub_version > hub_asked;
       age = now - hub_proof
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
             prove(now - age)
#else
#ifdef NO_AGE
             prove(echo)
#else
             prove(echo - age)
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

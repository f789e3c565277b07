/* Grants of sends, from the hub that issues them to a node.
 *
 * A heartbeat of the hub carries the total of its grants to one incarnation of the node. Heartbeats may be lost,
 * duplicated or delayed, also beyond the end of the sender's or the receiver's incarnation. The hub is replaced by
 * another incarnation that counts from zero, and so is the node.
 *
 * Property
 *   taken <= issued: a node never takes more grants than all incarnations of the hub have issued
 *
 * Each switch (-D) removes one safeguard:
 *   NO_RECEIVER_LIFE   a node accepts totals that were sent to its earlier incarnation
 *   ONE_SENDER_LIFE    only the total of the hub incarnation received last is kept: incarnations are not ordered, so a
 *                      late heartbeat of the earlier one is counted again, and then the next one of the later one
 *   INCREMENTS         heartbeats carry the grants issued since the last one, not the total
 *   GOES_BACK          a late, lower total is stored as the newest
 */

#define MESSAGES 3 /* in transit simultaneously */
#define MAX_GRANTS 3 /* per incarnation of the hub */

byte hub_incarnation = 1;
byte node_incarnation = 1;
byte reported_incarnation; /* of the node, as received by the hub; 0: none yet */
byte total;                /* issued to that incarnation */
byte unsent;               /* issued since the last heartbeat; only for INCREMENTS */
byte issued;

byte last_sender;       /* hub incarnation received last */
byte received_total[3]; /* total taken, by hub incarnation */
byte taken;

chan channel = [MESSAGES] of { byte, byte, byte }; /* hub incarnation, node incarnation, total */

proctype hub() {
end:
  do
  :: atomic { reported_incarnation != node_incarnation -> reported_incarnation = node_incarnation; total = 0; unsent = 0 }
  :: atomic { reported_incarnation != 0 && total < MAX_GRANTS && issued < 2 * MAX_GRANTS ->
       total++; unsent++; issued++ }
  :: atomic { reported_incarnation != 0 && nfull(channel) ->
#ifdef INCREMENTS
       channel ! hub_incarnation, reported_incarnation, unsent; unsent = 0
#else
       channel ! hub_incarnation, reported_incarnation, total
#endif
     }
  :: atomic { hub_incarnation == 1 -> hub_incarnation = 2; reported_incarnation = 0; total = 0; unsent = 0 }
  od
}

inline take(sender, receiver, count) {
  if
#ifndef NO_RECEIVER_LIFE
  :: receiver != node_incarnation -> skip
#endif
  :: else ->
#ifdef ONE_SENDER_LIFE
     if
     :: sender != last_sender -> received_total[sender] = 0
     :: else -> skip
     fi;
#endif
     last_sender = sender;
#ifdef INCREMENTS
     taken = taken + count
#else
     if
     :: count > received_total[sender] -> taken = taken + count - received_total[sender]; received_total[sender] = count
#ifdef GOES_BACK
     :: count < received_total[sender] -> received_total[sender] = count
#endif
     :: else -> skip
     fi
#endif
  fi;
#ifdef WITNESS
  if /* a late heartbeat of the earlier hub incarnation, after one of the later incarnation */
  :: sender < hub_incarnation && taken > 0 && received_total[2] > 0 -> assert(false)
  :: else -> skip
  fi;
#endif
  assert(taken <= issued)
}

proctype node() {
  byte sender, receiver, count;
end:
  do
  :: atomic { channel ?? sender, receiver, count -> take(sender, receiver, count) }   /* in any order: others are lost or late */
  :: atomic { channel ? <sender, receiver, count> -> take(sender, receiver, count) }  /* delivered, and duplicated */
  :: atomic { channel ? sender, receiver, count }                             /* lost */
  :: atomic { nempty(channel) && nfull(channel) -> channel ? sender, receiver, count; channel ! sender, receiver, count } /* reordered */
  :: atomic { node_incarnation == 1 -> node_incarnation = 2; received_total[1] = 0; received_total[2] = 0; last_sender = 0 }
  od
}

init {
  atomic { run hub(); run node() }
}

/* A configuration sent in parts, by hubs that may lag, to a node that may restart.
 *
 * The patch against the row that the node reported, or the complete row, is sent in two parts. Heartbeats with a part
 * may be lost, delayed, duplicated or reordered. Two hubs send simultaneously, and each may have an older row than the
 * other.
 *
 * Properties
 *   !mixed      the node applies only both parts, in order, of one patch against its row or of one complete row
 *   !reverted   between restarts, a node applies only rows newer than the one it holds
 *
 * Each switch (-D) removes one safeguard:
 *   NO_ROW      a second part is joined to the first one even if it belongs to another row
 *   NO_BASE     parts do not name the row that their patch is based on
 *   NO_OFFSET   parts are joined in the order in which they arrive
 *   NO_ORDER    a row is accepted regardless of the row that the node holds
 */

#define HUBS 2
#define MESSAGES 2
#define ROWS 3 /* 1 is in force everywhere at the start */

byte row[HUBS] = 1;     /* newest row of each hub */
byte reported = 1;      /* the row that the node reported to hold, as received by the hubs */

byte held = 1;          /* row of the node; 0: it has just started */
byte part_row, part_base, parts_received;   /* the node's incomplete transfer */
bool mixed, reverted, restarted;
byte first_row, first_base;        /* ghost: actual row and base of the first part */

chan channel = [MESSAGES] of { byte, byte, byte }; /* row, base, offset */

proctype hub(byte me) {
end:
  do
  :: atomic { row[me] < ROWS -> row[me]++ }
  :: atomic { row[me] > reported && nfull(channel) -> channel ! row[me], reported, 0 }
  :: atomic { row[me] > reported && nfull(channel) -> channel ! row[me], reported, 1 }
  /* The hub no longer has the reported row, so it sends the complete row (base 0). */
  :: atomic { row[me] > reported && nfull(channel) -> channel ! row[me], 0, 0 }
  :: atomic { row[me] > reported && nfull(channel) -> channel ! row[me], 0, 1 }
  od
}

inline take(r, base, offset) {
  if
#ifndef NO_ORDER
  :: r <= held -> skip
#endif
#ifndef NO_BASE
  :: base != held && base != 0 -> skip
#endif
#ifdef NO_OFFSET
  :: parts_received == 0 -> part_row = r; part_base = base; parts_received = 1; first_row = r; first_base = base;
       mixed = mixed || offset != 0
#else
  :: offset == 0 -> part_row = r; part_base = base; parts_received = 1; first_row = r; first_base = base
#endif
  :: else ->
     if
     :: parts_received == 1 &&
#ifndef NO_OFFSET
        offset == 1 &&
#endif
#ifndef NO_ROW
        r == part_row &&
#endif
#ifndef NO_BASE
        base == part_base &&
#endif
        true ->
          mixed = mixed || r != first_row || base != first_base || (base != held && base != 0) || offset != 1;
          reverted = reverted || r <= held;
          held = r;
          parts_received = 0
     :: else -> skip
     fi
  fi;
#ifdef WITNESS
  if
  :: restarted && held == ROWS -> assert(false)
  :: else -> skip
  fi;
#endif
  assert(!mixed);
  assert(!reverted)
}

proctype node() {
  byte r, base, offset;
end:
  do
  :: atomic { channel ? r, base, offset -> take(r, base, offset) }
  :: atomic { channel ? <r, base, offset> -> take(r, base, offset) }
  :: atomic { channel ? r, base, offset }
  :: atomic { nempty(channel) && nfull(channel) -> channel ? r, base, offset; channel ! r, base, offset }
  :: atomic { reported != held -> reported = held }
  :: atomic { !restarted -> restarted = true; held = 0; parts_received = 0 }
  od
}

init {
  atomic { run hub(0); run hub(1); run node() }
}

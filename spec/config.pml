/* Model of how VMs adopt the configuration (internal/confsync).
 *
 * The store's revision increases. Two VMs list and watch the store and send each other
 * snapshots, full or as deltas, which may arrive late. Either VM may restart; it must
 * then not serve an older revision than the other is known to serve.
 *
 *   model         code
 *   list, delta   confsync.Store.Offer with Base zero or not
 *   floor         confsync.Store.RaiseFloor
 *   serves        confsync.Store.ReachedFloor, daemon.notReadyReason
 *
 * The content has one bit for each revision written: a VM must hold exactly the bits up
 * to its revision.
 *
 * Switches, each of which removes one safeguard and must make the assertion fail:
 *   NO_MONOTONE  a VM adopts an older snapshot
 *   NO_BASE      a VM applies a delta to any revision
 *   NO_FLOOR     a restarted VM serves below the floor
 */

#define MAXREV 3

byte rev = 1;                 /* the store's revision */
byte have[2];                 /* revision in force */
byte content[2];              /* bits of the revisions contained */
byte floor[2];
bool decreased = false;       /* a revision decreased while its VM was running */
bool serves[2];
byte minimum[2];              /* the revision that the other VM served when this one restarted */

/* the message in transit: base, revision, content, recipient */
bool inTransit = false;
byte mBase, mRev, mContent, mTo;

#define UPTO(r) ((1 << (r)) - 1)

#ifdef NO_MONOTONE
#define NEWER(i, r) true
#else
#define NEWER(i, r) (r > have[i])
#endif
#ifdef NO_BASE
#define BASE_MATCHES(i, base) (base != 0)
#else
#define BASE_MATCHES(i, base) (base != 0 && base == have[i])
#endif

inline offer(i, base, r, c) {
  if
  :: NEWER(i, r) && BASE_MATCHES(i, base) -> content[i] = content[i] | c; have[i] = r
  :: NEWER(i, r) && base == 0 -> decreased = decreased || r < have[i]; content[i] = c; have[i] = r
  :: else -> skip
  fi
}

inline ready(i) {
  if
#ifdef NO_FLOOR
  :: have[i] > 0 -> serves[i] = true
#else
  :: have[i] > 0 && have[i] >= floor[i] -> serves[i] = true
#endif
  :: else
  fi
}

proctype vm(byte i) {
  byte other = 1 - i;
end:
  do
  :: atomic { rev < MAXREV -> rev++ }                             /* an operator's change */
  :: atomic { offer(i, 0, rev, UPTO(rev)); ready(i) }             /* list */
  :: atomic { have[i] > 0 && have[i] < rev ->                     /* watch */
       offer(i, have[i], rev, UPTO(rev) & ~UPTO(have[i])); ready(i) }
  :: atomic { !inTransit && have[i] > 0 ->                        /* send a snapshot to the other VM */
       inTransit = true; mTo = other; mRev = have[i];
       if
       :: mBase = 0; mContent = content[i]
       :: have[other] > 0 && have[other] < have[i] ->
          mBase = have[other]; mContent = content[i] & ~UPTO(have[other])
       fi }
  :: atomic { inTransit && mTo == i -> inTransit = false; offer(i, mBase, mRev, mContent); ready(i) }
  :: atomic { floor[i] < have[other] && serves[other] -> floor[i] = have[other] }   /* a heartbeat */
  :: atomic { have[i] > 0 ->                                      /* restart: learns the floor from all peers first */
       have[i] = 0; content[i] = 0; serves[i] = false;
       floor[i] = (serves[other] -> have[other] : 0);
       minimum[i] = floor[i];
       ready(i) }
  od
}

init { atomic { run vm(0); run vm(1) } }

/* Invariants: the revision in force never decreases while its VM is running, a VM holds
   exactly the content of its revision, and a restarted VM never serves an older revision
   than the other VM served at the restart. */
active proctype monitor() {
end:
  atomic { decreased || (have[0] > 0 && content[0] != UPTO(have[0])) || (have[1] > 0 && content[1] != UPTO(have[1])) ||
    (serves[0] && have[0] < minimum[0]) || (serves[1] && have[1] < minimum[1]) -> assert(false) }
}

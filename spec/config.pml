/* Adoption of configuration, as internal/confsync does it.
 *
 * The store's revision grows; two VMs list, watch, and take copies from each
 * other, whole or as deltas; copies may arrive late; either VM may restart and
 * must then not serve an older revision than the other is known to serve.
 *
 *   here          in the code
 *   list, delta   confsync.Store.Offer with Base zero or not
 *   floor         confsync.Store.RaiseFloor
 *   serves        daemon.lacking, readiness
 *
 * Content is a bit for each revision written: what a VM holds must be exactly the
 * bits up to its revision.
 *
 * Switches, each of which must make a check fail:
 *   NO_MONOTONE  an older copy is adopted
 *   NO_BASE      a delta is applied on whatever is there
 *   NO_FLOOR     a restarted VM serves without regard to the floor
 */

#define MAXREV 3

byte rev = 1;                 /* of the store */
byte have[2];                 /* revision in force */
byte content[2];              /* bits of the writes contained */
byte floor[2];
bool fell = false;            /* a revision fell while its VM lived */
bool serves[2];
byte must[2];                 /* what the other served when a VM restarted */

/* one message under way */
bool sent = false;
byte mBase, mRev, mContent, mTo;

#define UPTO(r) ((1 << (r)) - 1)

#ifdef NO_MONOTONE
#define NEWER(i, r) true
#else
#define NEWER(i, r) (r > have[i])
#endif
#ifdef NO_BASE
#define FITS(i, base) (base != 0)
#else
#define FITS(i, base) (base != 0 && base == have[i])
#endif

inline offer(i, base, r, c) {
  if
  :: NEWER(i, r) && FITS(i, base) -> content[i] = content[i] | c; have[i] = r
  :: NEWER(i, r) && base == 0 -> fell = fell || r < have[i]; content[i] = c; have[i] = r
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
  :: atomic { !sent && have[i] > 0 ->                             /* a copy to the other */
       sent = true; mTo = other; mRev = have[i];
       if
       :: mBase = 0; mContent = content[i]
       :: have[other] > 0 && have[other] < have[i] ->
          mBase = have[other]; mContent = content[i] & ~UPTO(have[other])
       fi }
  :: atomic { sent && mTo == i -> sent = false; offer(i, mBase, mRev, mContent); ready(i) }
  :: atomic { floor[i] < have[other] && serves[other] -> floor[i] = have[other] }   /* a heartbeat */
  :: atomic { have[i] > 0 ->                                      /* restart: hears all peers first */
       have[i] = 0; content[i] = 0; serves[i] = false;
       floor[i] = (serves[other] -> have[other] : 0);
       must[i] = floor[i];
       ready(i) }
  od
}

init { atomic { run vm(0); run vm(1) } }

/* what is in force is exactly the content of its revision; and a restarted VM
   never serves less than the other VM served when it started */
active proctype monitor() {
end:
  atomic { fell || (have[0] > 0 && content[0] != UPTO(have[0])) || (have[1] > 0 && content[1] != UPTO(have[1])) ||
    (serves[0] && have[0] < must[0]) || (serves[1] && have[1] < must[1]) -> assert(false) }
}

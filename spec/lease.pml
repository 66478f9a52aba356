/* The orders lease, as internal/lease and internal/orders do it, in ticks.
 *
 * Two VMs try for the lease; each renews, is paused, and sends orders that take
 * time. Time is one global tick, which both clocks count equally fast, also while
 * a VM is suspended; each VM knows only spans on its own.
 *
 *   here                      in the code
 *   tryLease                  lease.Lease.Try
 *   until                     lease.Lease.until, lease.Token.Until
 *   seenVersion, seenAt       lease.Lease.watch
 *   order                     orders.Reconciler.send
 *
 * Checked: orders under different fencing numbers never overlap at a target that
 * ignores fencing numbers, as long as no pause strikes between the look at the
 * token and the send; and at a target that checks them an order of an old number
 * is never followed after one of a newer, with pauses everywhere.
 *
 * Switches, each of which must make a check fail:
 *   NO_WAITOUT   a successor does not wait for orders in flight
 *   FROM_END     a lease counts from the answer, not from before the write
 *   STANDS_STILL a VM's clock may not count time in which the VM is suspended
 *   NO_FENCE     the target that checks fencing numbers does not (with PAUSES)
 */

#define DURATION 3
#define MARGIN   1
#define ORDER    4
#ifdef NO_WAITOUT
#define WAITOUT  0
#else
#define WAITOUT  ORDER
#endif
#define HORIZON  11
#define WRITES   4  /* of the record, in one history */

byte now = 0;

/* the stored record */
byte holder = 0;
byte fence = 0;
byte version = 0;

/* what targets saw */
byte busyFence = 0;   /* of the order under way at the ignoring target */
byte busyUntil = 0;
byte maxFence = 0;    /* highest number that the checking target followed */
bool stale = false;   /* it followed an old number after a newer one */
bool overlap = false;

#ifdef STANDS_STILL
byte stood[3];        /* how long the VM's clock has stood still */
#define OWN (now - stood[me])
#define STAND if :: stood[1]++ :: skip fi; if :: stood[2]++ :: skip fi
#else
#define OWN now
#define STAND skip
#endif

/* Time passes only when nobody is within a step: the steps' own time is drawn as
   explicit ticks in them. */
active proctype time() {
end:
  do
  :: atomic { now < HORIZON -> now++; STAND; if :: now >= busyUntil -> busyFence = 0; busyUntil = 0 :: else fi }
  od
}

proctype vm(byte me) {
  byte until = 0, myFence = 0, seenVersion = 255, seenAt = 0, lastTry = 255, began, v, f;
  do
  :: now >= HORIZON -> break

  :: /* tryLease: read */
     atomic { now != lastTry && version < WRITES -> lastTry = now; began = OWN; v = version; f = fence };
     if
     :: holder == me && v > 0 -> skip
     :: holder != me && v > 0 ->
        until = 0;
        if
        :: seenVersion != v -> seenVersion = v; seenAt = began; goto next
        :: seenVersion == v && began - seenAt > DURATION + WAITOUT -> f = f + 1
        :: else -> goto next
        fi
     :: v == 0 -> f = 1
     fi;
     /* the conditional write, some time later; its answer may be lost, and is then
        read back, so it counts only when it is known to have taken effect */
     atomic {
       if
       :: version == v ->
          holder = me; fence = f; version = version + 1; myFence = f
       :: else -> until = 0; goto next
       fi
     };
#ifdef FROM_END
     until = OWN + DURATION - MARGIN;
#else
     until = began + DURATION - MARGIN;
#endif
next: atomic { began = 0; v = 0; f = 0; if :: OWN >= until -> until = 0 :: else fi }

  :: /* an order, begun while the token holds */
#ifdef PAUSES
     (OWN < until);
     /* paused between look and send */
#else
     atomic { OWN < until ->
       if :: busyFence != 0 && busyFence != myFence && now < busyUntil -> overlap = true :: else fi;
       busyFence = myFence; busyUntil = now + ORDER };
#endif
     atomic {
#ifndef NO_FENCE
       if
       :: myFence >= maxFence -> maxFence = myFence
       :: else -> skip              /* refused */
       fi
#else
       if
       :: myFence >= maxFence -> maxFence = myFence
       :: else -> stale = true      /* followed all the same */
       fi
#endif
     }
  od
}

init { atomic { run vm(1); run vm(2) } }

active proctype monitor() {
end:
  atomic { (overlap || stale) -> assert(false) }
}

/* Model of the lease under which a VM sends orders (internal/lease, internal/orders).
 *
 * Two VMs compete for the lease; each renews it, may be paused, and sends orders that
 * take time. Time is a global count of ticks. The VMs' clocks advance with it at the same
 * rate, also while a VM is suspended; each VM only measures durations on its own clock.
 * Notices (lease.Notice) are not modeled.
 *
 *   model                     code
 *   tryLease                  lease.Lease.Try
 *   until                     lease.Lease.until, lease.Token.Until
 *   seenVersion, seenAt       lease.Lease.watch
 *   order                     orders.Reconciler.send
 *
 * Invariants:
 *   - At a target that ignores fencing tokens, orders with different tokens never
 *     overlap, provided that the VM is not paused between its check of the lease and the
 *     send.
 *   - A target that checks fencing tokens never carries out an order with an old token
 *     after one with a newer token, even if a VM is paused anywhere (PAUSES).
 *
 * PAUSES checks the second invariant instead of the first.
 *
 * Switches, each of which removes one safeguard and must make the assertion fail:
 *   NO_WAITOUT    a successor does not wait for orders in flight
 *   FROM_END      a lease counts from the response, not from before the write
 *   STANDS_STILL  a VM's clock may stop while the VM is suspended
 *   NO_FENCE      the target does not check fencing tokens (with PAUSES)
 */

#define DURATION   3
#define MARGIN     1
#define ORDER_TIME 4   /* how long an order runs */
#ifdef NO_WAITOUT
#define WAITOUT    0
#else
#define WAITOUT    ORDER_TIME
#endif
#define HORIZON    11
#define MAXWRITES  4   /* of the record in one run of the model, at most */

byte now = 0;

/* the stored record */
byte holder = 0;
byte fence = 0;
byte version = 0;

/* what the targets received */
byte runningFence = 0; /* token of the order running at the target that ignores tokens; 0: none */
byte runningUntil = 0;
byte maxFence = 0;     /* highest token that the checking target accepted */
bool stale = false;    /* it carried out an order with an old token after a newer one */
bool overlap = false;

#ifdef STANDS_STILL
byte suspended[3];     /* ticks that the VM's clock did not count */
#define LOCAL_NOW (now - suspended[me])
#define MAY_SUSPEND if :: suspended[1]++ :: skip fi; if :: suspended[2]++ :: skip fi
#else
#define LOCAL_NOW now
#define MAY_SUSPEND skip
#endif

/* Time passes only between atomic steps. A step that takes time is split, so that ticks can
   occur in between. */
active proctype time() {
end:
  do
  :: atomic { now < HORIZON -> now++; MAY_SUSPEND; if :: now >= runningUntil -> runningFence = 0; runningUntil = 0 :: else fi }
  od
}

proctype vm(byte me) {
  byte until = 0, myFence = 0, seenVersion = 255, seenAt = 0, lastTry = 255, began, v, f;
  do
  :: now >= HORIZON -> break

  :: /* tryLease: read */
     atomic { now != lastTry && version < MAXWRITES -> lastTry = now; began = LOCAL_NOW; v = version; f = fence };
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
     /* The conditional write, some time later. If its response is lost, the VM reads the
        record back, so a write counts only once it is known to have taken effect. */
     atomic {
       if
       :: version == v ->
          holder = me; fence = f; version = version + 1; myFence = f
       :: else -> until = 0; goto next
       fi
     };
#ifdef FROM_END
     until = LOCAL_NOW + DURATION - MARGIN;
#else
     until = began + DURATION - MARGIN;
#endif
next: atomic { began = 0; v = 0; f = 0; if :: LOCAL_NOW >= until -> until = 0 :: else fi }

  :: /* an order, started while the VM holds the lease */
#ifdef PAUSES
     (LOCAL_NOW < until);
     /* the VM may be paused between the check and the send */
#else
     atomic { LOCAL_NOW < until ->
       if :: runningFence != 0 && runningFence != myFence && now < runningUntil -> overlap = true :: else fi;
       runningFence = myFence; runningUntil = now + ORDER_TIME };
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
       :: else -> stale = true      /* carried out all the same */
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

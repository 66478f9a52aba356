/* The claim of one idempotency key, as internal/claims does it.
 *
 * Two VMs each handle one try of the same call, and one of them may die anywhere.
 * The object API may lose an answer after the write took effect, or deliver a
 * write late, after its caller gave up. The service counts how often it ran.
 *
 *   here                      in the code
 *   create, update            objectapi.Store through objectapi.resolve
 *   tryCall                   claims.Ledger.Claim, services.Runner.once
 *   dispatch                  services.Runner.sendHeld
 *   settle                    claims.Ledger.Settle
 *   abandon                   claims.Settler.abandon
 *
 * Switches, each of which takes one safeguard out and must make a check fail:
 *   NO_READBACK   a lost answer counts as success
 *   TAKEOVER      a claimed attempt of another VM is taken over
 *   RELEASE_UNKNOWN  an attempt of unknown end is released
 *   NO_ABANDON    an abandoned claim is not released
 */

#define NONE     0
#define CLAIMED  1
#define RELEASED 2
#define RAN      3
#define UNKNOWN  4

/* the stored claim: state, whose attempt, version */
byte state = NONE;
byte attempt = 0;
byte version = 0;

/* a write that is still under way: valid, base version, attempt, state */
bool lateValid = false;
byte lateBase, lateAttempt, lateState;

/* how much goes wrong in one history */
#define MAXFAULTS 5
byte faults = 0;

byte runs = 0;         /* of the service */
bool toldNotRun[3];    /* try i was refused with "not-run" */
bool ranBy[3];         /* try i was dispatched and ran */
bool died = false;
byte done = 0;

/* write applies a conditional write of state s for attempt a on version v. */
inline apply(v, a, s, ok) {
  if
  :: version == v -> attempt = a; state = s; version = version + 1; ok = true
  :: else -> ok = false
  fi
}

/* The late write lands at any time. */
active proctype network() {
  bool ok;
end:
  do
  :: atomic { lateValid -> apply(lateBase, lateAttempt, lateState, ok); lateValid = false }
  od
}

#define OK    0
#define LOST  1 /* another holds the object */
#define AMBIG 2 /* unresolved */
#define DOWN  3 /* certainly not applied */

/* One write with every fate. */
inline rawWrite(v, a, s, result) {
  atomic {
    if
    :: true -> apply(v, a, s, ok); if :: ok -> result = OK :: else -> result = LOST fi
    :: faults < MAXFAULTS -> faults++; result = DOWN
    :: faults < MAXFAULTS -> faults++; apply(v, a, s, ok); result = AMBIG    /* answer lost, whatever it was */
    :: faults < MAXFAULTS -> faults++; result = AMBIG                        /* lost on the way */
    :: faults < MAXFAULTS && !lateValid -> faults++; lateValid = true; lateBase = v; lateAttempt = a; lateState = s; result = AMBIG
    fi
  }
}

/* A write, and what is read back when its answer is lost: objectapi.resolve. It
   may be used only where the value written is not there already. */
inline write(v, a, s, result) {
  rawWrite(v, a, s, result);
#ifdef NO_READBACK
  if :: result == AMBIG -> result = OK :: else fi
#else
  if
  :: result == AMBIG ->
     atomic {
       if
       :: attempt == a && state == s -> result = OK
       :: version != v && !(attempt == a && state == s) -> result = LOST
       :: version == v -> skip           /* not there; the tries run out */
       :: faults < MAXFAULTS -> faults++ /* the read fails too */
       fi
     }
  :: else
  fi
#endif
}

proctype tryCall(byte me) {
  byte seenState, seenAttempt, v, result, end;
  bool ok;

  /* Claim: create, or look at what is there */
  atomic { seenState = state; seenAttempt = attempt; v = version }
  if
  :: seenState == RAN -> goto out               /* given the recorded answer */
  :: seenState == UNKNOWN -> goto out           /* told "unknown" */
#ifndef TAKEOVER
  :: seenState == CLAIMED -> goto out           /* told "in progress" or "unknown" */
#else
  :: seenState == CLAIMED
#endif
  :: seenState == NONE || seenState == RELEASED
  fi;
  write(v, me, CLAIMED, result);
  if
  :: result == LOST -> toldNotRun[me] = false; goto out
  :: result == DOWN -> toldNotRun[me] = true; goto out
  :: result == AMBIG -> toldNotRun[me] = true; goto abandon
  :: result == OK
  fi;
  atomic { v = version }   /* our write's version, as the write's answer told it */

  /* the VM may die here, with the claim written and nothing sent */
  if :: !died -> died = true; goto out :: skip fi;

  /* dispatch, once */
  if
  :: end = RELEASED                              /* refused: it did not run */
  :: runs++; ranBy[me] = true; end = RAN
  :: runs++; ranBy[me] = true; end = UNKNOWN     /* ran, answer lost */
  :: end = UNKNOWN                               /* did not run, nobody knows */
  fi;
  if :: end == RELEASED -> toldNotRun[me] = true :: else fi;
#ifdef RELEASE_UNKNOWN
  if :: end == UNKNOWN -> end = RELEASED :: else fi;
#endif

  /* settle; again and again until the store takes it, or the VM dies */
  do
  :: write(v, me, end, result);
     if
     :: result == OK || result == LOST -> break
     :: !died -> died = true; break
     :: else
     fi
  od;
  goto out;

abandon:
#ifndef NO_ABANDON
  /* release the attempt that was never dispatched, in a way that also beats the
     late write: whatever is there gets a new version */
  do
  :: atomic { seenState = state; seenAttempt = attempt; v = version };
     if
     :: seenState == CLAIMED && seenAttempt != me -> break
     :: seenState == RAN || seenState == UNKNOWN -> break
     :: seenState == RELEASED && seenAttempt == me -> break
     :: seenState == NONE || (seenState == CLAIMED && seenAttempt == me) ->
        rawWrite(v, me, RELEASED, result);
        if :: result == OK -> break :: !died -> died = true; break :: else fi
     :: seenState == RELEASED && seenAttempt != me ->
        rawWrite(v, seenAttempt, RELEASED, result);
        if :: result == OK -> break :: !died -> died = true; break :: else fi
     fi
  od;
#endif
out:
  done++
}

init {
  atomic { run tryCall(1); run tryCall(2) };
  (done == 2 && !lateValid);
  /* a third try, with the store healthy and nobody dying, when nothing ever ran
     and no VM died with the key: it must get through */
#ifndef SAFETY_ONLY
  assert(died || runs > 0 || state != CLAIMED)
#endif
}

/* at most once, and a refusal that says "not run" is true: at all times */
active proctype monitor() {
end:
  atomic { (runs > 1 || (toldNotRun[1] && ranBy[1]) || (toldNotRun[2] && ranBy[2])) -> assert(false) }
}

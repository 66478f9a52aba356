/* Model of the claim of one idempotency key (internal/claims).
 *
 * Two VMs each handle one attempt of the same call, and one of them may crash at any
 * point. The object API may lose a response after the write took effect, or apply a
 * write late, after its caller gave up. The service counts how often it ran the call.
 *
 *   model                     code
 *   create, update            objectapi.Store through objectapi.resolve
 *   tryCall                   claims.Ledger.Claim, services.Runner.runOnce
 *   dispatch                  services.Runner.sendHeld
 *   settle                    claims.Ledger.Settle
 *   abandon                   claims.Settler.abandon
 *
 * Switches, each of which removes one safeguard and must make an assertion fail:
 *   NO_READBACK      a write whose response is lost counts as successful
 *   TAKEOVER         a VM takes over a claim that another attempt holds
 *   RELEASE_UNKNOWN  an attempt with an unknown outcome is released
 *   NO_ABANDON       an abandoned claim is not released
 */

#define NONE     0
#define CLAIMED  1
#define RELEASED 2
#define RAN      3
#define UNKNOWN  4

/* the stored claim: state, attempt that wrote it, version */
byte state = NONE;
byte attempt = 0;
byte version = 0;

/* a write that is still in transit: whether there is one, base version, attempt, state */
bool lateValid = false;
byte lateBase, lateAttempt, lateState;

/* bound on the faults of the store in one run of the model */
#define MAXFAULTS 5
byte faults = 0;

byte runs = 0;         /* how often the service ran the call */
bool toldNotRun[3];    /* the caller of attempt i got the outcome "not-run" */
bool ranBy[3];         /* attempt i was dispatched and ran */
bool crashed = false;
byte done = 0;

/* Applies a conditional write of state s for attempt a, based on version v. */
inline apply(v, a, s, ok) {
  if
  :: version == v -> attempt = a; state = s; version = version + 1; ok = true
  :: else -> ok = false
  fi
}

/* The late write may reach the store at any time. */
active proctype network() {
  bool ok;
end:
  do
  :: atomic { lateValid -> apply(lateBase, lateAttempt, lateState, ok); lateValid = false }
  od
}

#define OK          0
#define CONFLICT    1 /* another write came first */
#define AMBIGUOUS   2 /* may or may not be applied */
#define NOT_APPLIED 3 /* certainly not applied */

/* One conditional write, with every possible result. */
inline rawWrite(v, a, s, result) {
  atomic {
    if
    :: true -> apply(v, a, s, ok); if :: ok -> result = OK :: else -> result = CONFLICT fi
    :: faults < MAXFAULTS -> faults++; result = NOT_APPLIED
    :: faults < MAXFAULTS -> faults++; apply(v, a, s, ok); result = AMBIGUOUS /* response lost, whether the write succeeded or not */
    :: faults < MAXFAULTS -> faults++; result = AMBIGUOUS /* request lost */
    :: faults < MAXFAULTS && !lateValid -> faults++; lateValid = true; lateBase = v; lateAttempt = a; lateState = s; result = AMBIGUOUS
    fi
  }
}

/* A conditional write that reads the object back if the response is lost
   (objectapi.resolve). Only for a value that is not stored yet: otherwise the read back
   could not tell whether this write took effect. */
inline write(v, a, s, result) {
  rawWrite(v, a, s, result);
#ifdef NO_READBACK
  if :: result == AMBIGUOUS -> result = OK :: else fi
#else
  if
  :: result == AMBIGUOUS ->
     atomic {
       if
       :: attempt == a && state == s -> result = OK
       :: version != v && !(attempt == a && state == s) -> result = CONFLICT
       :: version == v -> skip           /* not stored; all retries fail */
       :: faults < MAXFAULTS -> faults++ /* reading back fails as well */
       fi
     }
  :: else
  fi
#endif
}

proctype tryCall(byte me) {
  byte seenState, seenAttempt, v, result, outcome;
  bool ok;

  /* Claim: create the record, or act on the stored one */
  atomic { seenState = state; seenAttempt = attempt; v = version }
  if
  :: seenState == RAN -> goto out               /* the caller gets the recorded response */
  :: seenState == UNKNOWN -> goto out           /* the caller gets "unknown" */
#ifndef TAKEOVER
  :: seenState == CLAIMED -> goto out           /* the caller gets "in progress" or "unknown" */
#else
  :: seenState == CLAIMED
#endif
  :: seenState == NONE || seenState == RELEASED
  fi;
  write(v, me, CLAIMED, result);
  if
  :: result == CONFLICT -> toldNotRun[me] = false; goto out
  :: result == NOT_APPLIED -> toldNotRun[me] = true; goto out
  :: result == AMBIGUOUS -> toldNotRun[me] = true; goto abandon
  :: result == OK
  fi;
  atomic { v = version }   /* the version of this attempt's write, from the response */

  /* the VM may crash here, with the claim stored and nothing sent */
  if :: !crashed -> crashed = true; goto out :: skip fi;

  /* dispatch, at most once */
  if
  :: outcome = RELEASED                          /* refused: the call did not run */
  :: runs++; ranBy[me] = true; outcome = RAN
  :: runs++; ranBy[me] = true; outcome = UNKNOWN /* ran, response lost */
  :: outcome = UNKNOWN                           /* did not run, but the VM cannot know */
  fi;
  if :: outcome == RELEASED -> toldNotRun[me] = true :: else fi;
#ifdef RELEASE_UNKNOWN
  if :: outcome == UNKNOWN -> outcome = RELEASED :: else fi;
#endif

  /* settle: retry until the store accepts the write or the VM crashes */
  do
  :: write(v, me, outcome, result);
     if
     :: result == OK || result == CONFLICT -> break
     :: !crashed -> crashed = true; break
     :: else
     fi
  od;
  goto out;

abandon:
#ifndef NO_ABANDON
  /* Release the attempt, which was never dispatched. The release changes the version of
     the stored record, so that the claiming write fails if it is applied late. */
  do
  :: atomic { seenState = state; seenAttempt = attempt; v = version };
     if
     :: seenState == CLAIMED && seenAttempt != me -> break
     :: seenState == RAN || seenState == UNKNOWN -> break
     :: seenState == RELEASED && seenAttempt == me -> break
     :: seenState == NONE || (seenState == CLAIMED && seenAttempt == me) ->
        rawWrite(v, me, RELEASED, result);
        if :: result == OK -> break :: !crashed -> crashed = true; break :: else fi
     :: seenState == RELEASED && seenAttempt != me ->
        rawWrite(v, seenAttempt, RELEASED, result);
        if :: result == OK -> break :: !crashed -> crashed = true; break :: else fi
     fi
  od;
#endif
out:
  done++
}

init {
  atomic { run tryCall(1); run tryCall(2) };
  (done == 2 && !lateValid);
  /* If no VM crashed and the call never ran, the record must not stay claimed: a third
     attempt, with the store healthy, would be refused. */
#ifndef SAFETY_ONLY
  assert(crashed || runs > 0 || state != CLAIMED)
#endif
}

/* Invariants: the call runs at most once, and an attempt whose caller got "not-run" did
   not run. */
active proctype monitor() {
end:
  atomic { (runs > 1 || (toldNotRun[1] && ranBy[1]) || (toldNotRun[2] && ranBy[2])) -> assert(false) }
}

/* How long a key that was taken away may still work, as internal/catalog, internal/follow
 * and internal/mirror bound it.
 *
 * VM a reads the store, VM b reads from a. Calls, answers and the news between the VMs
 * take any time, so a freeze or a cut is a long step. A key is taken away at some moment;
 * callers send requests with it at any moment. A request that was sent later than TTL
 * after that moment must not be let in, on either VM.
 *
 *   here            in the code
 *   ask, answer     follow.Follower.once, mirror.client.read
 *   proof           catalog.Current.Prove, follow.At.Sent
 *   admit           forward.run.authorize
 *
 * Switches, each of which takes one safeguard out and must make the check fail:
 *   FROM_ANSWER   a proof counts from the answer's arrival, not from the call's sending
 *   FROM_NEWS     a reader counts a peer's age from the arrival of its answer
 *   NO_AGE        a reader takes a peer's answer for as new as its question
 *   EARLY_CHECK   a request is admitted by a judgement made before it came
 *   STANDS_STILL  a VM's clock may not count time in which the VM is suspended
 */

#define TTL   2
#define MAXT  5
#define NEVER 255

byte now = 0;
byte takenAt = NEVER;

bool knows[2];       /* that the key is gone */
byte proof[2];       /* when what the VM has was the newest; VMs begin with a proof at 0 */
bool sure[2];        /* the last judgement, for EARLY_CHECK */

#ifdef STANDS_STILL
byte stood[2];       /* how long the VM's clock has stood still */
#define OWN(i) (now - stood[i])
#else
#define OWN(i) now
#endif

#define FRESH(i) (!knows[i] && OWN(i) - proof[i] < TTL)

active proctype clock() {
end:
  do
#ifdef STANDS_STILL
  :: atomic { now < MAXT -> now++; if :: stood[0]++ :: skip fi; if :: stood[1]++ :: skip fi }
#else
  :: atomic { now < MAXT -> now++ }
#endif
  od
}

active proctype operator() {
  takenAt = now
}

/* a asks the store; the answer is made at one moment and arrives at another. */
active proctype readerA() {
  byte sent; bool gone;
end:
  do
  :: sent = OWN(0);
     gone = (takenAt != NEVER);
     atomic {
       knows[0] = knows[0] || gone;
#ifdef FROM_ANSWER
       proof[0] = OWN(0);
#else
       if
       :: sent > proof[0] -> proof[0] = sent
       :: else -> skip
       fi;
#endif
       sent = 0; gone = false
     }
  od
}

/* b asks a; a says what it knows and how old that is. */
active proctype readerB() {
  byte sent, age, at; bool gone;
end:
  do
  :: sent = OWN(1);
     atomic { gone = knows[0]; age = OWN(0) - proof[0] }
     atomic {
       knows[1] = knows[1] || gone;
#ifdef FROM_NEWS
       at = OWN(1) - age;
#else
#ifdef NO_AGE
       at = sent;
#else
       if
       :: sent > age -> at = sent - age
       :: else -> at = 0
       fi;
#endif
#endif
       if
       :: at > proof[1] -> proof[1] = at
       :: else -> skip
       fi;
       sent = 0; age = 0; at = 0; gone = false
     }
  od
}

/* a caller sends requests with the key; each reaches one of the VMs later. */
active proctype caller() {
  byte sent, vm;
end:
  do
  :: atomic {
       sent = now;
       if
       :: vm = 0
       :: vm = 1
       fi
     }
     atomic {
#ifdef EARLY_CHECK
       if
       :: sure[vm] -> assert(takenAt == NEVER || sent <= takenAt + TTL)
       :: else -> skip
       fi;
       sure[vm] = FRESH(vm);
#else
       if
       :: FRESH(vm) -> assert(takenAt == NEVER || sent <= takenAt + TTL)
       :: else -> skip
       fi;
#endif
       sent = 0; vm = 0
     }
  od
}

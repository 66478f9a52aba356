/* Model of how long a revoked key is still accepted (internal/catalog, internal/follow,
 * internal/mirror).
 *
 * VM a reads the store, VM b reads from a. Calls and responses may take any time, so a
 * frozen VM or a network partition is a long step. The key is revoked at some point;
 * callers send requests with it at any time. Neither VM may admit a request that was sent
 * more than TTL after the key was revoked.
 *
 *   model             code
 *   readerA, readerB  follow.Follower.once, mirror.client.read
 *   provenAt          catalog.Current.Prove, follow.At.Sent
 *   FRESH, caller     forward.run.authorize
 *
 * Switches, each of which removes one safeguard and must make the assertion fail:
 *   FROM_ANSWER   a proof counts from when the response is received, not from when the
 *                 call was sent
 *   FROM_NEWS     b counts the age of a's proof from when it receives the response
 *   NO_AGE        b ignores the age of a's proof and counts from when it sent the call
 *   EARLY_CHECK   a request is admitted by a check made before the request arrived
 *   STANDS_STILL  a VM's clock may stop while the VM is suspended
 */

#define TTL   2
#define MAXT  5
#define NEVER 255

byte now = 0;
byte revokedAt = NEVER;

bool knowsRevoked[2]; /* the VM's copy no longer has the key */
byte provenAt[2];     /* when the VM's copy was last proven the newest; initially 0 */
bool wasFresh[2];     /* result of the last check, for EARLY_CHECK */

#ifdef STANDS_STILL
byte suspended[2];    /* ticks that the VM's clock did not count */
#define LOCAL_NOW(i) (now - suspended[i])
#else
#define LOCAL_NOW(i) now
#endif

#define FRESH(i) (!knowsRevoked[i] && LOCAL_NOW(i) - provenAt[i] < TTL)

active proctype clock() {
end:
  do
#ifdef STANDS_STILL
  :: atomic { now < MAXT -> now++; if :: suspended[0]++ :: skip fi; if :: suspended[1]++ :: skip fi }
#else
  :: atomic { now < MAXT -> now++ }
#endif
  od
}

active proctype operator() {
  revokedAt = now
}

/* VM a reads the store. It may receive the response any time after the store produced it. */
active proctype readerA() {
  byte sent; bool revoked;
end:
  do
  :: sent = LOCAL_NOW(0);
     revoked = (revokedAt != NEVER);
     atomic {
       knowsRevoked[0] = knowsRevoked[0] || revoked;
#ifdef FROM_ANSWER
       provenAt[0] = LOCAL_NOW(0);
#else
       if
       :: sent > provenAt[0] -> provenAt[0] = sent
       :: else -> skip
       fi;
#endif
       sent = 0; revoked = false
     }
  od
}

/* VM b reads from a, which responds with its copy and the age of its proof. */
active proctype readerB() {
  byte sent, age, at; bool revoked;
end:
  do
  :: sent = LOCAL_NOW(1);
     atomic { revoked = knowsRevoked[0]; age = LOCAL_NOW(0) - provenAt[0] }
     atomic {
       knowsRevoked[1] = knowsRevoked[1] || revoked;
#ifdef FROM_NEWS
       at = LOCAL_NOW(1) - age;
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
       :: at > provenAt[1] -> provenAt[1] = at
       :: else -> skip
       fi;
       sent = 0; age = 0; at = 0; revoked = false
     }
  od
}

/* A caller sends requests with the key; each reaches one of the VMs later. */
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
       :: wasFresh[vm] -> assert(revokedAt == NEVER || sent <= revokedAt + TTL)
       :: else -> skip
       fi;
       wasFresh[vm] = FRESH(vm);
#else
       if
       :: FRESH(vm) -> assert(revokedAt == NEVER || sent <= revokedAt + TTL)
       :: else -> skip
       fi;
#endif
       sent = 0; vm = 0
     }
  od
}

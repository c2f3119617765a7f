/* Claim, takeover and checkpoint of one job by two agents.

   Models src/agent/job_claim.c (claim, reclaim), src/agent/job_checkpoint.c
   (checkpoint), src/agent/job_run.c (outcome), src/agent/session.c (lease) and
   src/entry/takeover.c (requeue). An agent may be delayed between any two
   steps, which covers freezes. A reply of the store may be lost after the
   write; an outage of the store only delays. When a session's lease expires,
   the worker has already stopped its task by itself, since its own lease is
   never renewed past that of the session.

   Broken variants, which the check must detect:
     -DNO_COMPARE  a claim does not compare the revision of the record
     -DNO_LEASE    a worker does not stop its task when its lease expires
     -DNO_EXPIRY   a worker starts a task whose lease has expired */

#define AGENTS 2
#define SESSIONS 2
#define NONE 255

mtype = { queued, running, done };

/* Job record in the store. */
mtype state = queued;
byte holder_agent = NONE;
byte holder_session = NONE;
byte rev = 0;
byte writer = NONE;      /* write id: agent * 32 + number of its write */
byte checkpoint = 0;     /* progress in the last checkpoint */

/* Ground truth at the workers. */
bool task_running[AGENTS];
byte progress[AGENTS];
byte results = 0;        /* results committed in the store */

byte session[AGENTS];
bool expired[4];         /* index: agent * SESSIONS + session */

#define SLOT(a) (a * SESSIONS + session[a])

/* Conditional write with a write id. If its reply is lost, the same write is
   repeated until its outcome is known. */
inline cas(expect, new_state, new_agent, new_session, new_checkpoint, id, ok)
{
  ok = false;
  do
  :: atomic {
#ifdef NO_COMPARE
       (rev < 8) -> rev++; state = new_state; holder_agent = new_agent;
       holder_session = new_session; checkpoint = new_checkpoint; writer = id;
#else
       (rev == expect) -> rev++; state = new_state; holder_agent = new_agent;
       holder_session = new_session; checkpoint = new_checkpoint; writer = id;
#endif
     }
     if
     :: ok = true; break        /* reply received */
     :: skip                    /* reply lost: repeat */
     fi
#ifndef NO_COMPARE
  :: atomic { (rev != expect && writer == id) -> ok = true }; break
  :: atomic { (rev != expect && writer != id) -> ok = false }; break
#else
  :: (rev >= 8) -> break
#endif
  od
}

proctype agent(byte me)
{
  byte known_rev;          /* revision of the record last read or written */
  byte claim_session;      /* session under which the job was claimed */
  byte writes = 0;
  byte resume_at;
  bool ok;

idle:
  do
  :: atomic { (state == queued && rev < 6) ->
       known_rev = rev; resume_at = checkpoint };
     break
  :: (state == done) -> goto over
  :: (rev >= 6) -> goto over
  od;
  claim_session = session[me];
  writes++;
  cas(known_rev, running, me, claim_session, resume_at, me * 32 + writes, ok);
  if
  :: !ok -> goto idle
  :: ok -> known_rev = known_rev + 1
  fi;

start:
  /* The worker starts the task only within the lease it was given. */
  atomic {
    if
#ifdef NO_EXPIRY
    :: true -> task_running[me] = true; progress[me] = resume_at
#else
    :: !expired[me * SESSIONS + claim_session] -> task_running[me] = true;
       progress[me] = resume_at
    :: else -> goto suspended
#endif
    fi
  };

working:
  do
  :: atomic { (task_running[me] && progress[me] < 1) -> progress[me]++ }
  :: atomic { (task_running[me] && progress[me] == 1) ->
       task_running[me] = false };
     writes++;
     cas(known_rev, done, NONE, NONE, 1, me * 32 + writes, ok);
     if
     :: ok -> results++; goto over
     :: !ok -> goto idle
     fi
  :: atomic { (task_running[me]) -> task_running[me] = false }; /* evicted */
     resume_at = progress[me];
     writes++;
     cas(known_rev, queued, NONE, NONE, resume_at, me * 32 + writes, ok);
     goto idle
  :: (!task_running[me]) -> goto suspended
  od;

suspended:
  /* Opens a new session and claims the job under it if the record is
     unchanged, i.e. still names this agent. */
  if
  :: (session[me] + 1 < SESSIONS) -> session[me]++
  :: else -> goto over
  fi;
  claim_session = session[me];
  resume_at = progress[me];
  writes++;
  cas(known_rev, running, me, claim_session, resume_at, me * 32 + writes, ok);
  if
  :: ok -> known_rev = known_rev + 1; goto start
  :: !ok -> goto idle
  fi;

over:
  skip
}

/* Lets the first session of each agent expire, as if it were not renewed. */
active proctype session_expiry()
{
  do
  :: atomic { !expired[0] ->
       expired[0] = true;
#ifndef NO_LEASE
       if :: session[0] == 0 -> task_running[0] = false :: else fi
#endif
     }
  :: atomic { !expired[2] ->
       expired[2] = true;
#ifndef NO_LEASE
       if :: session[1] == 0 -> task_running[1] = false :: else fi
#endif
     }
  :: break
  od
}

/* Entry that requeues the job of an expired session. */
active proctype entry()
{
  byte seen_rev;
  do
  :: atomic { (state == running && expired[holder_agent * SESSIONS
               + holder_session] && rev < 6) -> seen_rev = rev };
     atomic {
       if
       :: (rev == seen_rev) -> rev++; state = queued; holder_agent = NONE;
          holder_session = NONE; writer = NONE
       :: else
       fi
     }
  :: (state == done) -> break
  :: break
  od
}

init
{
  atomic { run agent(0); run agent(1) }
}

ltl one_place { [] !(task_running[0] && task_running[1]) }
ltl one_result { [] (results <= 1) }

/* A chain of takeovers while one agent is silent.

   Models the list of silent agents in the store (src/coord/coord_silent.c),
   takeovers (coord_lead.c, coord_load.c), lease grants (coord_sync_reply.c) and
   the pings of predecessors (coord_predecessor.c). One agent has the run of a
   task. It may hear any coordinator at any time, also one that was replaced and
   does not know it, and its run ends when its grants are over; the lease is
   part of the grant. The reply to a commit may be lost. Clocks agree.

   Broken variants, which the check must detect:
     -DGRANT_LISTED  a grant to a listed agent before a commit without it
     -DLIST_LATE     grants go on while the commit that lists the agent is open
     -DOWN_ONLY      the list has what is left of the writer's own grants only
     -DREAD_ONLY     a successor waits for one grant from the read only */

#define TERMS 3
#define END 4
#define GRANT 1
#define OWN 2

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define MIN(a, b) ((a) < (b) -> (a) : (b))

byte time = 0;
byte leader = 0;         /* term in the store */
bool listed = false;     /* the list in the store names the agent */
short rest;              /* and says this of its grants */
byte grants_end = 0;     /* of all grants that the agent has got */
bool running = true;     /* the first run */
bool placed = false;     /* the task was placed elsewhere */
/* The leader's commit; one that a takeover overtakes has no effect. */
bool in_flight = false;
bool lists_agent = false;
byte sent = 0;
short sent_rest = 0;
bool stopped[TERMS + 1]; /* no longer leads, and knows it or is dead */

active proctype clock()
{
  do
  :: atomic { (running && time < END) ->
       time++;
       if :: time > grants_end -> running = false :: else fi
     }
  :: (!running || time == END) -> break
  od
}

proctype coordinator(byte term)
{
  byte confirmed;        /* when the last confirmed commit was sent */
  byte granted = 0;      /* end of its own grants */
  byte inherited = 0;    /* no grant of a predecessor lasts longer */
  bool silent = false;   /* the store may list the agent */

  /* Takes over and reads the list; its predecessors cannot write any more. */
  atomic {
    (running && leader == term - 1) ->
    leader = term;
    confirmed = time;
    in_flight = false; lists_agent = false; sent = 0; sent_rest = 0;
    if
    :: term > 1 -> inherited = confirmed + OWN
    :: else
    fi;
    if
    :: listed -> silent = true;
#ifdef READ_ONLY
       inherited = MIN(inherited, time + GRANT)
#else
       inherited = MIN(inherited, MAX(time + rest, 0))
#endif
    :: else
    fi
  };
  do
#ifdef GRANT_LISTED
  :: atomic { (running && time < confirmed + OWN
#else
  :: atomic { (running && !silent && time < confirmed + OWN
#endif
               && granted < MIN(time + GRANT, confirmed + OWN)) ->
       granted = MIN(time + GRANT, confirmed + OWN);
       grants_end = MAX(grants_end, granted)
     }
  /* A commit, with or without the agent in its list. */
  :: atomic { (running && !in_flight && leader == term) ->
       in_flight = true;
       sent = time;
       if
       :: (time > confirmed || silent) -> lists_agent = false
       :: lists_agent = true;
#ifndef LIST_LATE
          silent = true;
#endif
#ifdef OWN_ONLY
          sent_rest = granted - time
#else
          sent_rest = MAX(granted, inherited) - time
#endif
       fi
     }
  :: atomic { (running && in_flight && leader == term) ->
       in_flight = false;
       listed = lists_agent;
       rest = sent_rest;
       if
       :: confirmed = sent; silent = lists_agent /* reply received */
       :: skip                                   /* reply lost */
       fi;
       lists_agent = false; sent = 0; sent_rest = 0
     }
  /* All predecessors have answered that they do not lead. */
  :: atomic { (running && inherited > time + GRANT
               && (term < 2 || stopped[1]) && (term < 3 || stopped[2])) ->
       inherited = time + GRANT
     }
  :: atomic { (running && leader == term
               && time > MAX(granted, inherited)) ->
       placed = true
     }
  :: break                   /* is killed, or steps down */
  od;
  atomic {
    stopped[term] = true;
    confirmed = 0; granted = 0; inherited = 0; silent = false
  }
}

init
{
  atomic { run coordinator(1); run coordinator(2); run coordinator(3) }
}

ltl one_run { [] !(placed && running) }

/* Limits on the accepted connections of all listeners of a process: their
   number, the bytes held for unfinished requests, and the time that these
   take. */
#include "hyssopkeel/guard.h"

#include <sys/resource.h>
#include <unistd.h>

#include "guard_counts.h"
#include "hyssopkeel/clock.h"
#include "hyssopkeel/metrics.h"
#include "hyssopkeel/timer.h"

#define TICK_MS 250
/* The clock of the guard advances by no more than this in a tick: a process
   that was frozen has not read what arrived in the meantime. */
#define TICK_MAX_MS (2 * TICK_MS)
/* Connections closed for time-outs in one tick, so that thousands don't delay
   other work. */
#define CLOSED_PER_TICK_MAX 256
#define LINGER_MS 1000
/* A client may have sent the next request just within the limit. */
#define IDLE_MARGIN_MS 1000
/* Share of the budget that is free after connections were closed, so that this
   is not repeated for each byte. */
#define BUDGET_FREED_SHARE 8
/* Idle connections on which bytes turn out to have arrived, in one search. */
#define IDLE_TRIES_MAX 16
/* A client that leaves no room for a response at two successive checks does
   not read; one that is frozen for seconds is not closed. */
#define BLOCKED_CHECK_MS 15000
/* Busy connections that are looked at in one tick or search. */
#define BUSY_TRIES_MAX 64

static struct
{
  gboolean ready;
  TAILQ_HEAD (, hk_guard_group) groups;
  struct hk_conn_limits limits;
  unsigned n_connections;
  unsigned n_clients;
  size_t held_bytes;
  int64_t now_ms;
  int64_t ticked_ms;
  gboolean ticking;
  struct hk_timer tick_timer;
  struct hk_timer shed_timer;
  struct hk_metric *connections;
  struct hk_metric *held;
} guard;

static void on_tick (void *user);

static void
create_metrics (void)
{
  guard_counts_init ();
  guard.connections = hk_metric_get ("hyssopkeel_connections", "");
  guard.held = hk_metric_get ("hyssopkeel_unfinished_request_bytes", "");
}

static void
init_guard (void)
{
  if (guard.ready)
    return;
  guard.ready = TRUE;
  TAILQ_INIT (&guard.groups);
  create_metrics ();
  hk_guard_configure (0, 0);
}

void
hk_guard_configure (int64_t memory_mb, int64_t max_fds)
{
  struct rlimit limit;

  init_guard ();
  if (memory_mb <= 0)
    memory_mb
        = (sysconf (_SC_PHYS_PAGES) * (int64_t)sysconf (_SC_PAGESIZE)) >> 20;
  if (getrlimit (RLIMIT_NOFILE, &limit) == 0
      && (max_fds <= 0 || (rlim_t)max_fds > limit.rlim_cur))
    max_fds = (int64_t)MIN (limit.rlim_cur, (rlim_t)G_MAXINT32);
  guard.limits = hk_conn_limits_derive (memory_mb, max_fds);
  hk_metric_get ("hyssopkeel_unfinished_request_bytes_limit", "")->value
      = (double)guard.limits.budget_bytes;
  hk_metric_get ("hyssopkeel_connections_limit", "")->value
      = guard.limits.connections_max;
  hk_metric_get ("hyssopkeel_client_connections_limit", "")->value
      = guard.limits.client_connections_max;
}

/* Log */

static void
log_counts (void)
{
  g_autofree char *state = NULL;

  if (!guard_counts_due ())
    return;
  state = g_strdup_printf (
      "held_bytes=%zu held_limit=%zu connections=%u connections_limit=%u "
      "clients=%u clients_limit=%u",
      guard.held_bytes, guard.limits.budget_bytes, guard.n_connections,
      guard.limits.connections_max, guard.n_clients,
      guard.limits.client_connections_max);
  guard_counts_log (state);
}

static void
start_ticks (void)
{
  if (guard.ticking)
    return;
  guard.ticking = TRUE;
  guard.ticked_ms = hk_clock_ms ();
  hk_timer_set (&guard.tick_timer, TICK_MS, on_tick, NULL);
}

void
hk_guard_count (enum hk_guard_cause cause)
{
  init_guard ();
  guard_counts_add (cause);
  log_counts ();
  start_ticks ();
}

/* Connections and groups */

void
hk_guard_group_init (struct hk_guard_group *group)
{
  init_guard ();
  for (int i = 0; i < HK_GUARD_N_PHASES; i++)
    TAILQ_INIT (&group->conns[i]);
  TAILQ_INSERT_TAIL (&guard.groups, group, link);
}

void
hk_guard_group_finish (struct hk_guard_group *group)
{
  TAILQ_REMOVE (&guard.groups, group, link);
}

void
hk_guard_add (struct hk_guard_conn *conn, struct hk_guard_group *group)
{
  conn->group = group;
  conn->phase = HK_GUARD_IDLE;
  conn->since_ms = guard.now_ms;
  conn->held_bytes = 0;
  TAILQ_INSERT_TAIL (&group->conns[conn->phase], conn, link);
  group->n_connections++;
  guard.n_connections++;
  guard.n_clients += group->origin == HK_CONN_CLIENT;
  guard.connections->value = guard.n_connections;
  start_ticks ();
}

void
hk_guard_remove (struct hk_guard_conn *conn)
{
  struct hk_guard_group *group = conn->group;

  if (!group)
    return;
  hk_guard_hold (conn, 0);
  TAILQ_REMOVE (&group->conns[conn->phase], conn, link);
  conn->group = NULL;
  group->n_connections--;
  guard.n_connections--;
  guard.n_clients -= group->origin == HK_CONN_CLIENT;
  guard.connections->value = guard.n_connections;
}

void
hk_guard_enter (struct hk_guard_conn *conn, enum hk_guard_phase phase)
{
  if (!conn->group || conn->phase == phase)
    return;
  TAILQ_REMOVE (&conn->group->conns[conn->phase], conn, link);
  conn->phase = phase;
  conn->blocked = FALSE;
  conn->since_ms = guard.now_ms;
  TAILQ_INSERT_TAIL (&conn->group->conns[phase], conn, link);
  start_ticks ();
}

/* Number of connections */

static gboolean
has_room (const struct hk_guard_group *group)
{
  return guard.n_connections < guard.limits.connections_max
         && (group->origin != HK_CONN_CLIENT
             || guard.n_clients < guard.limits.client_connections_max);
}

/* Returns the connection that entered a phase first, or NULL. */
static struct hk_guard_conn *
find_oldest (enum hk_conn_origin origin, enum hk_guard_phase phase)
{
  struct hk_guard_conn *oldest = NULL;
  struct hk_guard_group *group;

  TAILQ_FOREACH (group, &guard.groups, link)
  {
    struct hk_guard_conn *conn = TAILQ_FIRST (&group->conns[phase]);

    if (group->origin == origin && conn
        && (!oldest || conn->since_ms < oldest->since_ms))
      oldest = conn;
  }
  return oldest;
}

/* The next search or check begins with another busy connection. */
static void
requeue_busy (struct hk_guard_conn *conn)
{
  struct hk_guard_list *list = &conn->group->conns[HK_GUARD_BUSY];

  conn->since_ms = guard.now_ms;
  TAILQ_REMOVE (list, conn, link);
  TAILQ_INSERT_TAIL (list, conn, link);
}

/* Closes a connection whose client does not read its responses. */
static gboolean
close_blocked (enum hk_conn_origin origin)
{
  for (int tries = 0; tries < BUSY_TRIES_MAX; tries++)
    {
      struct hk_guard_conn *conn = find_oldest (origin, HK_GUARD_BUSY);
      gboolean blocked;

      if (!conn)
        return FALSE;
      blocked = conn->ops->is_blocked (conn);
      requeue_busy (conn);
      if (!blocked)
        continue;
      hk_guard_count (HK_GUARD_DESCRIPTORS);
      conn->ops->close (conn, HK_GUARD_DESCRIPTORS);
      return TRUE;
    }
  return FALSE;
}

/* Closes the connection that is least needed. Returns FALSE if none can be
   closed. An idle connection on which bytes have arrived is not idle. */
static gboolean
close_one_of (enum hk_conn_origin origin)
{
  static const enum hk_guard_phase order[]
      = { HK_GUARD_LINGER, HK_GUARD_IDLE, HK_GUARD_HEADER, HK_GUARD_BODY };

  for (guint i = 0; i < G_N_ELEMENTS (order); i++)
    for (int tries = 0; tries < IDLE_TRIES_MAX; tries++)
      {
        struct hk_guard_conn *conn = find_oldest (origin, order[i]);

        if (!conn)
          break;
        if (order[i] == HK_GUARD_IDLE)
          {
            conn->ops->receive (conn);
            if (find_oldest (origin, HK_GUARD_IDLE) != conn)
              continue;
          }
        if (order[i] != HK_GUARD_LINGER)
          hk_guard_count (HK_GUARD_DESCRIPTORS);
        conn->ops->close (conn, HK_GUARD_DESCRIPTORS);
        return TRUE;
      }
  return close_blocked (origin);
}

/* Closes a connection of an origin up to @last, in their order. */
static gboolean
close_one (enum hk_conn_origin last)
{
  for (int origin = HK_CONN_CLIENT; origin <= (int)last; origin++)
    if (close_one_of (origin))
      return TRUE;
  return FALSE;
}

gboolean
hk_guard_admit (struct hk_guard_group *group)
{
  if (has_room (group))
    return TRUE;
  if (close_one (group->origin))
    return TRUE;
  group->waiting = TRUE;
  hk_guard_count (HK_GUARD_DESCRIPTORS);
  return FALSE;
}

void
hk_guard_accept_failed (struct hk_guard_group *group)
{
  group->waiting = TRUE;
  hk_guard_count (HK_GUARD_ACCEPT_FAILED);
  close_one (HK_CONN_PEER);
}

/* Bytes held */

struct candidate
{
  struct hk_guard_conn *conn;
  struct hk_conn_load load;
};

static int
compare_candidates (gconstpointer a, gconstpointer b)
{
  return hk_conn_load_compare (&((const struct candidate *)a)->load,
                               &((const struct candidate *)b)->load);
}

static GArray *
collect_candidates (void)
{
  static const enum hk_guard_phase phases[]
      = { HK_GUARD_HEADER, HK_GUARD_BODY };
  GArray *out = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  struct hk_guard_group *group;
  struct hk_guard_conn *conn;

  TAILQ_FOREACH (group, &guard.groups, link)
  for (guint i = 0; i < G_N_ELEMENTS (phases); i++)
    TAILQ_FOREACH (conn, &group->conns[phases[i]], link)
    {
      struct candidate c = { conn,
                             { group->origin, conn->held_bytes,
                               guard.now_ms - conn->since_ms } };

      g_array_append_val (out, c);
    }
  g_array_sort (out, compare_candidates);
  return out;
}

/* Closing a connection removes no other one. */
static void
shed (void *user)
{
  size_t target = guard.limits.budget_bytes
                  - guard.limits.budget_bytes / BUDGET_FREED_SHARE;
  g_autoptr (GArray) candidates = NULL;

  (void)user;
  if (guard.held_bytes <= guard.limits.budget_bytes)
    return;
  candidates = collect_candidates ();
  for (guint i = 0; i < candidates->len && guard.held_bytes > target; i++)
    {
      struct hk_guard_conn *conn
          = g_array_index (candidates, struct candidate, i).conn;

      if (conn->held_bytes == 0)
        continue;
      hk_guard_count (HK_GUARD_MEMORY);
      conn->ops->close (conn, HK_GUARD_MEMORY);
    }
}

void
hk_guard_hold (struct hk_guard_conn *conn, size_t bytes)
{
  if (!conn->group)
    return;
  guard.held_bytes += bytes - conn->held_bytes;
  conn->held_bytes = bytes;
  guard.held->value = (double)guard.held_bytes;
  if (guard.held_bytes > guard.limits.budget_bytes && !guard.shed_timer.iter)
    hk_timer_set (&guard.shed_timer, 0, shed, NULL);
}

/* Time */

static int64_t
phase_limit_ms (const struct hk_guard_group *group, enum hk_guard_phase phase)
{
  switch (phase)
    {
    case HK_GUARD_IDLE:
      return group->limits.idle_ms > 0 ? group->limits.idle_ms + IDLE_MARGIN_MS
                                       : 0;
    case HK_GUARD_HEADER:
      return group->limits.header_ms;
    case HK_GUARD_BODY:
      return group->limits.body_ms;
    case HK_GUARD_LINGER:
      return LINGER_MS;
    case HK_GUARD_BUSY:
    case HK_GUARD_N_PHASES:
    default:
      return 0;
    }
}

static void
close_late (struct hk_guard_conn *conn, enum hk_guard_phase phase)
{
  static const enum hk_guard_cause causes[HK_GUARD_N_PHASES]
      = { [HK_GUARD_IDLE] = HK_GUARD_IDLE_TIMEOUT,
          [HK_GUARD_HEADER] = HK_GUARD_HEADER_TIMEOUT,
          [HK_GUARD_BODY] = HK_GUARD_BODY_TIMEOUT,
          [HK_GUARD_LINGER] = HK_GUARD_IDLE_TIMEOUT };

  if (phase != HK_GUARD_LINGER)
    hk_guard_count (causes[phase]);
  conn->ops->close (conn, causes[phase]);
}

/* Receives what has arrived on a late connection before it is closed. */
static void
check_phase (struct hk_guard_group *group, enum hk_guard_phase phase,
             unsigned *closed)
{
  int64_t limit_ms = phase_limit_ms (group, phase);
  struct hk_guard_conn *conn;

  while (limit_ms > 0 && *closed < CLOSED_PER_TICK_MAX
         && (conn = TAILQ_FIRST (&group->conns[phase]))
         && guard.now_ms - conn->since_ms > limit_ms)
    {
      ++*closed;
      conn->ops->receive (conn);
      if (TAILQ_FIRST (&group->conns[phase]) == conn
          && guard.now_ms - conn->since_ms > limit_ms)
        close_late (conn, phase);
    }
}

static void
check_busy (struct hk_guard_group *group)
{
  struct hk_guard_conn *conn;

  for (int tries = 0; tries < BUSY_TRIES_MAX
                      && (conn = TAILQ_FIRST (&group->conns[HK_GUARD_BUSY]))
                      && guard.now_ms - conn->since_ms > BLOCKED_CHECK_MS;
       tries++)
    {
      gboolean was_blocked = conn->blocked;

      requeue_busy (conn);
      conn->blocked = conn->ops->is_blocked (conn);
      if (!conn->blocked || !was_blocked)
        continue;
      hk_guard_count (HK_GUARD_RESPONSE_TIMEOUT);
      conn->ops->close (conn, HK_GUARD_RESPONSE_TIMEOUT);
    }
}

static void
on_tick (void *user)
{
  int64_t elapsed_ms = hk_clock_ms () - guard.ticked_ms;
  struct hk_guard_group *group;
  unsigned closed = 0;

  (void)user;
  guard.ticked_ms += elapsed_ms;
  guard.now_ms += CLAMP (elapsed_ms, 0, TICK_MAX_MS);
  TAILQ_FOREACH (group, &guard.groups, link)
  {
    for (int phase = 0; phase < HK_GUARD_N_PHASES; phase++)
      check_phase (group, phase, &closed);
    check_busy (group);
    if (group->waiting)
      {
        group->waiting = FALSE;
        if (group->resume)
          group->resume (group);
      }
  }
  log_counts ();
  hk_timer_set (&guard.tick_timer, TICK_MS, on_tick, NULL);
}

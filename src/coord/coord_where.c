/* Tells where the tasks of a job would be placed now, by the code that places
   them, without submitting the job. The job that is asked about lives outside
   the engine; whatever the decision code updates on its way is restored. */
#include "coord.h"

#include <math.h>

/* Bounds the work and the length of an answer; further steps are counted. */
#define STEPS_MAX 8
#define INSTANCES_SHOWN_MAX 5
/* While passes end at their budget a question would delay the next one. */
#define OVERLOADED_RETRY_AFTER_S 1

/* Values that views of candidates or the order of jobs update. */
struct saved_rates
{
  struct hk_instance *in;
  double failure_rate;
  double run_time_ratio;
};

struct saved_order
{
  struct hk_engine_job *job;
  struct hk_order_view order;
  int64_t order_ms;
  uint64_t order_version;
};

struct saved_state
{
  struct hk_coord *c;
  unsigned n_images;
  GArray *rates;  /* of struct saved_rates */
  GArray *orders; /* of struct saved_order */
};

static void
state_save (struct saved_state *s, struct hk_coord *c)
{
  struct hk_engine_job *job;
  struct hk_instance *in;

  s->c = c;
  s->n_images = c->interference_model.names->len;
  s->rates = g_array_new (FALSE, FALSE, sizeof (struct saved_rates));
  s->orders = g_array_new (FALSE, FALSE, sizeof (struct saved_order));
  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  {
    struct saved_rates rates = { in, in->failure_rate, in->run_time_ratio };

    g_array_append_val (s->rates, rates);
  }
  TAILQ_FOREACH (job, &c->engine.active, link)
  {
    struct saved_order order
        = { job, job->order, job->order_ms, job->order_version };

    g_array_append_val (s->orders, order);
  }
}

static void
state_restore (struct saved_state *s)
{
  for (guint i = 0; i < s->rates->len; i++)
    {
      const struct saved_rates *rates
          = &g_array_index (s->rates, struct saved_rates, i);

      rates->in->failure_rate = rates->failure_rate;
      rates->in->run_time_ratio = rates->run_time_ratio;
    }
  for (guint i = 0; i < s->orders->len; i++)
    {
      const struct saved_order *order
          = &g_array_index (s->orders, struct saved_order, i);

      order->job->order = order->order;
      order->job->order_ms = order->order_ms;
      order->job->order_version = order->order_version;
    }
  hk_interference_model_forget_from (&s->c->interference_model, s->n_images);
  g_array_unref (s->rates);
  g_array_unref (s->orders);
}

/* A job that the engine does not know, as it would be after its submission. */
static void
probe_init (struct hk_engine_job *job, struct hk_coord *c,
            const hk_job_spec *spec, int64_t now)
{
  unsigned n = spec->steps.steps_len;

  *job = (struct hk_engine_job){ .engine = &c->engine,
                                 .spec = *spec,
                                 .version = 1,
                                 .accepted_ms = now,
                                 .accepted_wall_ms = coord_wall_ms (),
                                 .steps = g_new0 (struct hk_engine_step, n) };
  for (unsigned i = 0; i < n; i++)
    {
      struct hk_engine_step *step = &job->steps[i];

      step->job = job;
      step->index = i;
      step->spec = &spec->steps.steps_val[i];
      step->waiting = step->spec->count;
      step->tasks = g_new0 (struct hk_engine_task, step->spec->count);
      for (unsigned t = 0; t < step->spec->count; t++)
        {
          step->tasks[t].step = step;
          step->tasks[t].index = t;
          step->tasks[t].ready_ms = now;
        }
    }
  coord_order_update (c, job, now);
}

static void
probe_finish (struct hk_engine_job *job)
{
  for (unsigned i = 0; i < job->spec.steps.steps_len; i++)
    g_free (job->steps[i].tasks);
  g_free (job->steps);
}

static void
add_int (json_object *obj, const char *key, int64_t value)
{
  json_object_object_add (obj, key, json_object_new_int64 (value));
}

static void
add_text (json_object *obj, const char *key, const char *value)
{
  json_object_object_add (obj, key, json_object_new_string (value));
}

/* JSON has no infinity; such a value is left out. */
static void
add_double (json_object *obj, const char *key, double value)
{
  char text[64];

  if (!isfinite (value))
    return;
  g_snprintf (text, sizeof text, "%.3f", value);
  json_object_object_add (obj, key, json_object_new_double_s (value, text));
}

static json_object *
describe_instance (const struct coord_pass *p, unsigned i)
{
  const struct hk_job_place_view *v = &p->views[i];
  const struct hk_instance *in = p->instances[i];
  json_object *obj = json_object_new_object ();

  add_text (obj, "instance", in->name);
  add_text (obj, "domain", in->domain ? in->domain : "");
  add_double (obj, "score", p->scores[i]);
  add_int (obj, "free_cpu_milli",
           p->need.best_effort ? v->best_effort_free_milli
                               : v->cpu_free_milli);
  if (p->need.best_effort)
    add_double (obj, "expected_speed", v->expected_speed);
  if (p->rack)
    add_text (obj, "place", v->near ? "near" : "remote");
  add_double (obj, "run_time_ratio", v->run_time_ratio);
  add_int (obj, "report_age_ms", p->now - in->last_report_ms);
  return obj;
}

/* Index of the best candidate that is not marked in @shown, or -1. As in
   coord_pass_best(), the first of equal ones. */
static int
next_best (const struct coord_pass *p, const gboolean *shown)
{
  int best = -1;

  for (unsigned i = 0; i < p->n; i++)
    if (!shown[i] && !isinf (p->scores[i])
        && (best < 0 || p->scores[i] > p->scores[best]))
      best = (int)i;
  return best;
}

static gboolean
is_shown (const struct coord_pass *p, const gboolean *shown,
          const struct hk_instance *in)
{
  for (unsigned i = 0; i < p->n; i++)
    if (shown[i] && p->instances[i] == in)
      return TRUE;
  return FALSE;
}

/* Counts the instances that are not shown by their obstacle, in the order in
   which a pass looks at them, up to as many as it looks at. */
static void
add_others (json_object *obj, struct coord_pass *p,
            const struct hk_engine_task *task, const gboolean *shown,
            struct hk_instance *first)
{
  struct hk_engine *e = &p->c->engine;
  unsigned counts[COORD_WAIT_REASONS] = { 0 };
  unsigned n_all = g_hash_table_size (e->instances);
  struct hk_instance *in = first ? first : TAILQ_FIRST (&e->instance_list);
  json_object *others = json_object_new_object ();

  for (unsigned i = 0; i < MIN (n_all, HK_PASS_CANDIDATES_MAX); i++)
    {
      if (!is_shown (p, shown, in))
        counts[coord_task_obstacle (p, task, in)]++;
      in = TAILQ_NEXT (in, next);
      if (!in)
        in = TAILQ_FIRST (&e->instance_list);
    }
  for (int i = 0; i < COORD_WAIT_REASONS; i++)
    if (counts[i] > 0)
      add_int (others, coord_wait_reason_name (i), counts[i]);
  json_object_object_add (obj, "others", others);
  add_int (obj, "not_examined", n_all - MIN (n_all, HK_PASS_CANDIDATES_MAX));
}

/* Returns whether the task would wait for a slot near its data. */
static gboolean
add_near_wait (json_object *obj, struct coord_pass *p,
               struct hk_engine_task *task)
{
  struct hk_locality_decision decision;
  struct hk_locality_view v;
  json_object *wait;

  if (!coord_locality_explain (p, task, &v, &decision))
    return FALSE;
  wait = json_object_new_object ();
  add_double (wait, "expected_wait_ms", v.expected_wait_ms);
  add_double (wait, "gain_ms", v.factor > 0 ? (v.factor - 1.0) * v.run_ms : 0);
  add_double (wait, "factor", v.factor);
  add_int (wait, "limit_ms", v.limit_ms);
  json_object_object_add (obj, "near_wait", wait);
  return decision.wait;
}

static json_object *
explain_step (struct coord_pass *p, struct hk_engine_step *step)
{
  json_object *obj = json_object_new_object ();
  json_object *list = json_object_new_array ();
  struct hk_engine_task *task = &step->tasks[0];
  struct hk_instance *first = p->c->engine.cursor;
  struct coord_rack *rack = coord_rack_of (p->c, step);
  guint first_near = rack ? rack->first : 0;
  gboolean shown[HK_PASS_CANDIDATES_MAX] = { FALSE };
  int64_t oldest_ms = 0;
  gboolean waits;
  int best;

  coord_pass_begin_step (p, task);
  /* The turn of candidates is that of passes. */
  p->c->engine.cursor = first;
  if (rack)
    rack->first = first_near;
  best = coord_pass_best (p, task);
  add_int (obj, "step", step->index);
  add_int (obj, "tasks", step->spec->count);
  waits = add_near_wait (obj, p, task);
  add_text (obj, "decision",
            waits ? "wait_near" : (best < 0 ? "wait" : "place"));
  if (best >= 0 && !waits)
    add_text (obj, "instance", p->instances[best]->name);
  for (unsigned n = 0; n < INSTANCES_SHOWN_MAX && best >= 0; n++)
    {
      shown[best] = TRUE;
      json_object_array_add (list, describe_instance (p, (unsigned)best));
      best = next_best (p, shown);
    }
  json_object_object_add (obj, "best", list);
  for (unsigned i = 0; i < p->n; i++)
    oldest_ms = MAX (oldest_ms, p->now - p->instances[i]->last_report_ms);
  if (p->n > 0)
    add_int (obj, "oldest_report_age_ms", oldest_ms);
  add_others (obj, p, task, shown, first);
  return obj;
}

static unsigned
count_best_effort_waiting (struct hk_coord *c)
{
  const struct hk_engine_job *job;
  unsigned n = 0;

  TAILQ_FOREACH (job, &c->engine.active, link)
  if (job->steps[0].spec->flags & HK_STEP_BEST_EFFORT)
    for (unsigned i = 0; i < job->spec.steps.steps_len; i++)
      n += job->steps[i].waiting > 0 && hk_engine_step_ready (&job->steps[i]);
  return n;
}

static json_object *
explain_steps (struct hk_coord *c, const hk_job_spec *spec, int64_t now,
               unsigned *n_left_out)
{
  json_object *list = json_object_new_array ();
  struct hk_engine_job job;
  struct coord_pass p;

  probe_init (&job, c, spec, now);
  coord_pass_init (&p, c, now);
  p.n_waiting = count_best_effort_waiting (c) + 1;
  *n_left_out = 0;
  for (unsigned i = 0; i < spec->steps.steps_len; i++)
    {
      if (!hk_engine_step_ready (&job.steps[i]))
        continue;
      if (json_object_array_length (list) < STEPS_MAX)
        json_object_array_add (list, explain_step (&p, &job.steps[i]));
      else
        (*n_left_out)++;
    }
  probe_finish (&job);
  return list;
}

static json_object *
explain (struct hk_coord *c, const hk_job_spec *spec, int64_t now)
{
  json_object *obj = json_object_new_object ();
  struct hk_admission_view v = { 0 };
  const char *reason = "";
  unsigned retry_after_s = 0;
  unsigned n_left_out;
  gboolean admitted = coord_admission (c, spec, &v, &retry_after_s, &reason);

  add_text (obj, "coordinator", c->name);
  add_int (obj, "term", (int64_t)c->term);
  json_object_object_add (obj, "admitted", json_object_new_boolean (admitted));
  if (!admitted)
    {
      add_text (obj, "reason", reason);
      add_int (obj, "retry_after_s", retry_after_s);
      add_double (obj, "backlog_core_ms", v.backlog_core_ms);
      add_double (obj, "rate_cores", v.rate_cores);
    }
  json_object_object_add (obj, "steps",
                          explain_steps (c, spec, now, &n_left_out));
  add_int (obj, "steps_left_out", n_left_out);
  return obj;
}

/* Whether the interference model can number the images of the job without
   dropping its estimates. Those of current runs get their numbers first, as
   in the next pass, so that the numbers of the question are the last ones. */
static gboolean
has_room_for_images (struct hk_coord *c, const hk_job_spec *spec)
{
  const struct hk_interference_model *model = &c->interference_model;
  const struct hk_instance *in;
  unsigned n_new = 0;

  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  coord_sharing_of (c, in);
  for (unsigned i = 0; i < spec->steps.steps_len; i++)
    n_new += !g_hash_table_contains (model->images,
                                     spec->steps.steps_val[i].image);
  return hk_interference_model_has_room (model, MIN (n_new, STEPS_MAX));
}

static const char *
find_refusal (struct hk_coord *c, const hk_job_spec *spec, int64_t now)
{
  struct hk_error err;

  if (c->state != COORD_LEADING)
    return "does not lead";
  if (coord_isolated (c, now))
    return "this process is cut off";
  if (coord_store_failing (c, now))
    return "the store does not answer";
  if (c->round_open)
    return "the coordinator is overloaded";
  if (hk_engine_spec_check (spec, c->record_max_bytes, &err) < 0)
    return "the job is not valid";
  if (!has_room_for_images (c, spec))
    return "too many images are known to ask about another";
  return NULL;
}

/* Runs to its end before anything else does, so there is one at a time. */
void
coord_where_answer (struct hk_coord *c, const hk_job_spec *spec,
                    hk_coord_where_done done, void *user)
{
  int64_t now = hk_clock_ms ();
  int64_t began_us = hk_clock_us ();
  hk_where_reply reply = { .reason = (char *)"", .answer = (char *)"" };
  const char *refusal = find_refusal (c, spec, now);
  g_autoptr (json_object) obj = NULL;
  struct saved_state saved;

  if (refusal)
    {
      reply.outcome = c->state == COORD_LEADING ? HK_JOB_REQUEST_REFUSED
                                                : HK_JOB_REQUEST_NOT_LEADING;
      reply.reason = (char *)refusal;
      reply.retry_after_s = OVERLOADED_RETRY_AFTER_S;
    }
  else
    {
      state_save (&saved, c);
      obj = explain (c, spec, now);
      state_restore (&saved);
      reply.outcome = HK_JOB_REQUEST_DONE;
      reply.answer = (char *)json_object_to_json_string_ext (
          obj, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
    }
  hk_log (HK_LOG_INFO, "where", NULL, spec->id,
          "event=where_answered queue=%.64s steps=%u outcome=%d why=\"%s\" "
          "took_us=%" G_GINT64_FORMAT,
          spec->queue, spec->steps.steps_len, reply.outcome, reply.reason,
          hk_clock_us () - began_us);
  done (&reply, user);
}

static void
reply_rpc (const hk_where_reply *reply, void *user)
{
  hk_rpc_reply (user, reply);
}

void
coord_on_where (struct hk_rpc_request *req, void *args, void *user)
{
  const hk_where_args *where = args;

  coord_where_answer (user, &where->job, reply_rpc, req);
}

#ifndef HYSSOPKEEL_AGENT_H
#define HYSSOPKEEL_AGENT_H

#include "hyssopkeel/settings.h"

struct hk_agent;

/**
 * hk_agent_new() - create the agent of one endpoint.
 * @settings: validated settings; must outlive the agent.
 * @on_finish: called with 0 after a drain, or with a negative code on failure,
 *             e.g. HK_ERR_CONFLICT if another agent has taken the worker
 *             over.
 * @user: argument of @on_finish.
 *
 * Return: agent that is not started; free it with hk_agent_free().
 */
struct hk_agent *hk_agent_new (const struct hk_settings *settings,
                               void (*on_finish) (int code, void *user),
                               void *user);

/**
 * hk_agent_start() - start all tasks of the agent.
 * @agent: agent.
 * @err: filled on failure.
 *
 * Return: 0 or a negative code.
 */
int hk_agent_start (struct hk_agent *agent, struct hk_error *err);

/**
 * hk_agent_drain() - stop gracefully.
 * @agent: agent; the on_finish given to hk_agent_new() is called at the end.
 */
void hk_agent_drain (struct hk_agent *agent);

/**
 * hk_agent_free() - stop at once and free the agent.
 * @agent: agent.
 */
void hk_agent_free (struct hk_agent *agent);

#endif

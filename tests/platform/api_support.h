#ifndef API_SUPPORT_H
#define API_SUPPORT_H

#include "../../platform/submission_api.h"
#include "../support/jobs.h"
#include "../support/memory_store.h"

#define API_JOB_PATH "/p/0123456789abcdef"

/**
 * struct api_fixture - an entry that leads, with one queue at "/p/" of host
 * "h.example" and pool "pool".
 * @store: its store.
 * @coord: its coordinator.
 * @rpc: address of the coordinator.
 * @queues: the queue.
 * @api: HTTP API.
 * @clients: address of the API.
 * @session: client.
 * @done: whether the last request has its response.
 * @body: body of the last response.
 */
struct api_fixture
{
  struct memory_store store;
  struct hk_coord *coord;
  char *rpc;
  struct hk_queues queues;
  struct submission_api api;
  char *clients;
  SoupSession *session;
  gboolean done;
  char *body;
};

/** api_fixture_init() - start the entry and wait until it leads. */
void api_fixture_init (struct api_fixture *f);

/** api_fixture_finish() - stop it. */
void api_fixture_finish (struct api_fixture *f);

/** api_send() - send a request and wait for the response; @body may be NULL.
 *
 * Return: status; 0 if the connection broke. */
unsigned api_send (struct api_fixture *f, const char *method, const char *path,
                   const char *body);

#endif

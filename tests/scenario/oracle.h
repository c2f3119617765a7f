#ifndef ORACLE_H
#define ORACLE_H

#include "traffic.h"

/**
 * struct oracle - ground truth: what the worker stand-ins recorded.
 * @lines: lines of all records, each prefixed with the name of the worker.
 */
struct oracle
{
  GPtrArray *lines;
};

/**
 * oracle_read() - read the records of all workers.
 * @o: memory owned by the caller.
 * @c: cluster.
 */
void oracle_read (struct oracle *o, struct cluster *c);

/**
 * oracle_finish() - release all memory held.
 * @o: ground truth.
 */
void oracle_finish (struct oracle *o);

/**
 * oracle_count() - count the lines that begin with the words given.
 * @o: ground truth.
 * @prefix: whole words, such as "task_start j1".
 *
 * Return: number of lines.
 */
int oracle_count (const struct oracle *o, const char *prefix);

/**
 * oracle_check() - check the guarantees against records and responses.
 * @o: ground truth.
 * @traffic: requests and their outcomes.
 *
 * Return: newly allocated texts of violations, empty if there are none.
 */
GPtrArray *oracle_check (const struct oracle *o,
                         const struct traffic *traffic);

#endif
